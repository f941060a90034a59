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
    /** How often the loop shows that it runs. */
    private static final long HEARTBEAT_US = 10_000;
    /** A timer or a heartbeat that is later than this finds a loop that was held up. */
    private static final long HELD_UP_US = 2 * HEARTBEAT_US;
    /**
     * Held up for longer than this, a loop may have missed a good part of the time that it has to take notice of a client's leaving,
     * 0.1 s, and of a drain, 250 ms.
     */
    private static final long LONG_HELD_UP_US = 50_000;
    /** So long at most a loop counts as catching up with what came while it was held up. */
    private static final long MOST_CATCHING_UP_US = 3_000_000;
    /** Long enough that the loop looks at its sockets in between. */
    private static final long LOOK_US = 1_000;

    private final EventLoop loop;
    private final Ticker ticker;
    private final long originUs;
    private long lastHeartbeatAt;
    private long heldUpFrom = Long.MAX_VALUE;
    private long catchingUpUntil;
    private long lastHeldUpFrom = Long.MAX_VALUE;
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
        this.lastHeartbeatAt = nowUs;
        LoopTasks.every(loop, log, HEARTBEAT_US, TimeUnit.MICROSECONDS, this::heartbeat);
    }

    private void heartbeat() {
        long now = now();
        heldUpFrom = now - lastHeartbeatAt > HELD_UP_US ? lastHeartbeatAt : Long.MAX_VALUE;
        if (now - lastHeartbeatAt > LONG_HELD_UP_US) {
            // Taking in what came during one stop may be the next: what has not been read yet is as old as the first.
            lastHeldUpFrom = now < catchingUpUntil ? lastHeldUpFrom : lastHeartbeatAt;
            catchingUpUntil = Math.max(catchingUpUntil, now + Math.min(now - lastHeldUpFrom, MOST_CATCHING_UP_US));
        }
        lastHeartbeatAt = now;
    }

    /**
     * Returns when a byte that is read now may have come. Where the loop was held up, by a pause of the process or a long
     * batch, the byte may have waited all the while, and a deadline counted from now would be too late. That shows in an
     * overdue heartbeat; the stop may have begun right after the one before it. As heartbeats and reads take turns, it
     * holds until the one after it.
     */
    public long arrivedAt() {
        long now = now();
        return Math.min(heldUpFrom, now - lastHeartbeatAt > HELD_UP_US ? lastHeartbeatAt : now);
    }

    /**
     * Returns whether the loop was held up for long, and not long ago: connections that came meanwhile are accepted one by
     * one, and whoever is at their other end may have left.
     */
    public boolean catchingUp() {
        return heldUpSince() != Long.MAX_VALUE;
    }

    /** Returns when the loop was last seen before the long stop that it is catching up with, or {@link Long#MAX_VALUE}. */
    public long heldUpSince() {
        long now = now();
        return now - lastHeartbeatAt > LONG_HELD_UP_US
                ? lastHeartbeatAt
                : now < catchingUpUntil ? lastHeldUpFrom : Long.MAX_VALUE;
    }

    @Override
    public boolean settling() {
        return now() - arrivedAt() > LONG_HELD_UP_US;
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
            if (!looked && now() - atUs > HELD_UP_US) {
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
