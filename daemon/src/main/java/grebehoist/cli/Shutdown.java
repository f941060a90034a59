package grebehoist.cli;

import grebehoist.engine.Counter;
import grebehoist.engine.LogEvent;
import grebehoist.net.Front;
import grebehoist.net.LoopTasks;
import grebehoist.net.LoopTimers;
import grebehoist.net.StderrLog;
import grebehoist.pool.Pool;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The planned end of a process: answers all that it has taken, sends clients elsewhere, and ends before it is killed. Each step is contained, so
 * one that fails leaves the others, and the process ends in time whatever fails.
 */
final class Shutdown {
    /** New connections go on coming for so long after the signal. */
    private static final long FRONT_LAG_MS = 500;
    /** An upgraded process is used for so long on the connections that it has, each of which ends with its next answer. */
    private static final long HANDED_OVER_MS = 1_000;

    private static final long LOOK_MS = 10;
    /** The process is killed so long after the longest deadline, counted from the signal; a little earlier it ends. */
    private static final long KILL_MS = 600;
    /** The longest deadline counts for no more than this in the time that a process has to end. */
    private static final long LONGEST_COUNTED_MS = 3_000;
    /** So long before it ends the last answers are given, so that they get out. */
    private static final long LAST_ANSWERS_MS = 100;

    private final String process;
    private final EventLoop loop;
    private final LoopTimers timers;
    private final StderrLog log;
    private final Listeners listeners;
    private final List<Pool> pools;
    private final CountDownLatch drained = new CountDownLatch(1);

    Shutdown(String process, EventLoop loop, LoopTimers timers, StderrLog log, Listeners listeners, List<Pool> pools) {
        this.process = process;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.listeners = listeners;
        this.pools = pools;
    }

    /**
     * Ends in order; returns when all is done, or the time is up.
     *
     * @param handsOver whether another process of this proxy takes the clients over
     * @param leave on the loop's thread, what this process had to do with others is over: at once where it hands over, else at the end
     */
    void run(boolean handsOver, Runnable leave) {
        long longestMs = pools.stream().mapToLong(Pool::longestDeadlineUs).max().orElse(0) / 1_000;
        long mostMs = Math.min(longestMs, LONGEST_COUNTED_MS) + KILL_MS;
        listeners.end();
        loop.execute(() -> begin(handsOver, leave, mostMs));
        LoopTasks.after(
                loop, log, handsOver ? HANDED_OVER_MS : FRONT_LAG_MS, TimeUnit.MILLISECONDS, this::stopListening);
        try {
            boolean all = drained.await(mostMs, TimeUnit.MILLISECONDS);
            loop.submit(() -> finish(all, leave)).awaitUninterruptibly(LOOK_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void begin(boolean handsOver, Runnable leave, long mostMs) {
        log.line(process
                + (handsOver ? ": handing over to the process that has come up beside this one" : ": draining"));
        log.event(new LogEvent("shutdown", process, "SERVING", handsOver ? "HANDING_OVER" : "DRAINING", "SIGTERM"));
        listeners.each(Front::closeAfterAnswers);
        long answerBy = timers.now() + TimeUnit.MILLISECONDS.toMicros(mostMs - LAST_ANSWERS_MS);
        pools.forEach(
                p -> LoopTasks.contained(log, () -> p.answerAllBy(answerBy)).run());
        if (handsOver) {
            // The one that follows has this one's place among the members too.
            LoopTasks.contained(log, leave).run();
            listeners.each(l -> l.handOver(() -> log.line(process + ": listens no more")));
        }
    }

    private void stopListening() {
        listeners.each(Front::stopListening);
        LoopTasks.every(loop, log, LOOK_MS, TimeUnit.MILLISECONDS, () -> {
            if (!listeners.busy()) {
                drained.countDown();
            }
        });
    }

    private void finish(boolean all, Runnable leave) {
        LoopTasks.contained(log, leave).run();
        int unanswered = pools.stream().mapToInt(Pool::unanswered).sum();
        if (unanswered > 0) {
            log.count(Counter.ENDED_UNANSWERED);
            log.line(process + ": ends with " + unanswered + " requests unanswered");
        }
        log.line(process + (all ? ": drained" : ": ends with clients still connected"));
        log.event(new LogEvent("shutdown", process, "DRAINING", "ENDED", all ? "all clients have left" : "time is up"));
    }
}
