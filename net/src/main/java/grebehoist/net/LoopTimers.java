package grebehoist.net;

import grebehoist.engine.Log;
import grebehoist.engine.Timers;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Ticker;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.TimeUnit;

/**
 * Time and timers of an event loop. The clock is Unix time in microseconds, read from the system once and carried on by
 * the loop's monotonic ticker: so it compares with the start times that discovery tells, and never goes back when the
 * system's time is set.
 */
public final class LoopTimers implements Timers {
    /** A loop that has nothing to do polls the kernel so often, so that what it reads is known to be that young. */
    private static final long POLL_US = 10_000;
    /** Two polls of an idle loop, and a new connection's way to its first read: times that are nearer than this are not told apart. */
    private static final long RESOLUTION_US = 25_000;
    /** Of the 250 ms that a drain's grace lasts 150 are for a process that is held up before its write; half of the rest. */
    private static final long NEWS_AGE_US = 50_000;
    /** A timer that is later than this looks for what came before its time. */
    private static final long LATE_TIMER_US = 2 * POLL_US;
    /** Long enough that the loop looks at its sockets in between. */
    private static final long LOOK_US = 1_000;

    private final EventLoop loop;
    private final Ticker ticker;
    private final long originUs;
    private final PollHistory polls;
    private final Log log;

    /** Makes a clock that starts at the system's time. */
    public LoopTimers(EventLoop loop) {
        this(loop, new StderrLog());
    }

    /**
     * Makes a clock that starts at the system's time.
     *
     * @param log hears of actions that fail
     */
    public LoopTimers(EventLoop loop, Log log) {
        this(loop, log, ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()));
    }

    /** Makes a clock that shows {@code nowUs} now. */
    public LoopTimers(EventLoop loop, long nowUs) {
        this(loop, new StderrLog(), nowUs);
    }

    private LoopTimers(EventLoop loop, Log log, long nowUs) {
        this.loop = loop;
        this.log = log;
        this.ticker = loop.ticker();
        this.originUs = nowUs - ticker.nanoTime() / 1_000;
        this.polls = PollHistory.of(loop);
        LoopTasks.every(loop, log, POLL_US, TimeUnit.MICROSECONDS, () -> {});
    }

    /**
     * Returns when a byte that is read now may have come, from a channel of which no more is known: when the loop last began a poll that
     * it has worked off.
     */
    public long arrivedAt() {
        return resolved(at(polls.completeNs()));
    }

    /** Returns a time that has passed, or the time now where the two are not told apart. */
    long resolved(long us) {
        long now = now();
        return now - us > RESOLUTION_US ? us : now;
    }

    /** What this process was told may wait in its sockets for as long as the last poll that has been worked off is old. */
    @Override
    public boolean settling() {
        return now() - at(polls.completeNs()) > NEWS_AGE_US;
    }

    @Override
    public long now() {
        return at(ticker.nanoTime());
    }

    /** Returns the time that this clock showed at a time of the loop's ticker. */
    long at(long tickerNs) {
        return originUs + tickerNs / 1_000;
    }

    @Override
    public Timer at(long atUs, Runnable action) {
        return new Scheduled(atUs, action);
    }

    private final class Scheduled implements Timer, Runnable {
        private final long atUs;
        private final Runnable action;
        private Future<?> future;
        private boolean looked;

        Scheduled(long atUs, Runnable action) {
            long now = now();
            this.atUs = Math.max(atUs, now);
            this.action = action;
            this.future = LoopTasks.after(loop, log, this.atUs - now, TimeUnit.MICROSECONDS, this);
        }

        @Override
        public void run() {
            if (!looked && now() - atUs > LATE_TIMER_US) {
                looked = true;
                future = LoopTasks.after(loop, log, LOOK_US, TimeUnit.MICROSECONDS, this);
            } else {
                action.run();
            }
        }

        @Override
        public void cancel() {
            future.cancel(false);
        }
    }
}
