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
 * The planned end of a process. First it answers all that it has taken and sends clients elsewhere; before it can be killed it gives up its place:
 * it listens no more, and whoever shares something with it is told. Answers that have begun by then go on: the process ends when they are over, or
 * is killed by whoever wants it gone. Each is bounded by its own connections, which end where nothing moves on them.
 *
 * <p>Each step is contained, so one that fails leaves the others. {@link #run} is called by a thread of its own; all else is done on the loop's.
 */
final class Shutdown {
    /** Whose end it is. Called on the loop's thread. */
    interface Owner {
        /** What this process had to do with other proxies is over; may be called again. */
        void leave();

        /** The place is given up, and answers that have begun go on; called again from time to time. */
        void finishing();
    }

    /** New connections go on coming for so long after the signal. */
    private static final long FRONT_LAG_MS = 500;
    /** An upgraded process is used for so long on the connections that it has, each of which ends with its next answer. */
    private static final long HANDED_OVER_MS = 1_000;

    private static final long LOOK_MS = 10;
    private static final long FINISHING_EVERY_MS = 200;
    /** Counted from the longest deadline: the process is killed no sooner than a little after this. */
    private static final long GIVE_UP_PLACE_MS = 600;
    /** The longest deadline counts for no more than this in the time that a process has to give up its place. */
    private static final long LONGEST_COUNTED_MS = 3_000;
    /** So long before the place is given up the last answers are given, so that they get out. */
    private static final long LAST_ANSWERS_MS = 100;
    /** Clients have so long after the last answer to end their connections. */
    private static final long PARTING_US = 1_000_000;
    /** An event loop that has run nothing for so many of these periods has failed, and nothing can be finished on it. */
    private static final long LIVENESS_PERIOD_MS = 1_000;

    private static final int MOST_SILENT_PERIODS = 10;

    private final String process;
    private final EventLoop loop;
    private final LoopTimers timers;
    private final StderrLog log;
    private final Listeners listeners;
    private final List<Pool> pools;
    private final CountDownLatch drained = new CountDownLatch(1);
    /** Counts the looks at the connections, which tell that the loop runs. */
    private volatile long looks;

    // Used by the loop's thread alone.
    private boolean placeGivenUp;
    private long lastAnsweringAt;
    private boolean allClientsLeft;

    Shutdown(String process, EventLoop loop, LoopTimers timers, StderrLog log, Listeners listeners, List<Pool> pools) {
        this.process = process;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.listeners = listeners;
        this.pools = pools;
    }

    /**
     * Ends in order; returns when all is done.
     *
     * @param handsOver whether another process of this proxy takes the clients over
     * @param owner leaves at once where it hands over, else when the place is given up
     */
    void run(boolean handsOver, Owner owner) {
        long longestMs = pools.stream().mapToLong(Pool::longestDeadlineUs).max().orElse(0) / 1_000;
        long mostMs = Math.min(longestMs, LONGEST_COUNTED_MS) + GIVE_UP_PLACE_MS;
        listeners.end();
        loop.execute(() -> begin(handsOver, owner, mostMs));
        LoopTasks.after(
                loop, log, handsOver ? HANDED_OVER_MS : FRONT_LAG_MS, TimeUnit.MILLISECONDS, this::stopListening);
        try {
            boolean all = drained.await(mostMs, TimeUnit.MILLISECONDS);
            loop.submit(() -> giveUpPlace(all, owner)).awaitUninterruptibly(LOOK_MS);
            if (!all) {
                awaitAnswers();
            }
            loop.submit(this::finish).awaitUninterruptibly(LOOK_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitAnswers() throws InterruptedException {
        int silentPeriods = 0;
        long seen = looks;
        while (silentPeriods < MOST_SILENT_PERIODS && !drained.await(LIVENESS_PERIOD_MS, TimeUnit.MILLISECONDS)) {
            silentPeriods = looks == seen ? silentPeriods + 1 : 0;
            seen = looks;
        }
    }

    private void begin(boolean handsOver, Owner owner, long mostMs) {
        log.line(process
                + (handsOver ? ": handing over to the process that has come up beside this one" : ": draining"));
        log.event(new LogEvent("shutdown", process, "SERVING", handsOver ? "HANDING_OVER" : "DRAINING", "SIGTERM"));
        listeners.each(Front::closeAfterAnswers);
        long answerBy = timers.now() + TimeUnit.MILLISECONDS.toMicros(mostMs - LAST_ANSWERS_MS);
        pools.forEach(
                p -> LoopTasks.contained(log, () -> p.answerAllBy(answerBy)).run());
        if (handsOver) {
            // The one that follows has this one's place among the members too.
            LoopTasks.contained(log, owner::leave).run();
            listeners.each(l -> l.handOver(() -> log.line(process + ": listens no more")));
        }
    }

    private void stopListening() {
        listeners.each(Front::stopListening);
        LoopTasks.every(loop, log, LOOK_MS, TimeUnit.MILLISECONDS, this::look);
    }

    private void look() {
        looks++;
        long now = timers.now();
        if (!listeners.busy()) {
            allClientsLeft = true;
            drained.countDown();
        } else if (!placeGivenUp || listeners.answering() > 0) {
            lastAnsweringAt = now;
        } else if (now - lastAnsweringAt > PARTING_US) {
            drained.countDown();
        }
    }

    /** Whoever is to have this process's place can have it from now on, however long an answer takes. */
    private void giveUpPlace(boolean all, Owner owner) {
        placeGivenUp = true;
        LoopTasks.contained(log, owner::leave).run();
        listeners.close();
        if (!all) {
            LoopTasks.contained(log, owner::finishing).run();
            LoopTasks.every(loop, log, FINISHING_EVERY_MS, TimeUnit.MILLISECONDS, owner::finishing);
            int answering = listeners.answering();
            log.line(process + ": listens no more, ends when " + answering + " answers are over");
            log.event(new LogEvent(
                    "shutdown", process, "DRAINING", "FINISHING", answering + " answers are on their way"));
        }
    }

    private void finish() {
        int unanswered = pools.stream().mapToInt(Pool::unanswered).sum();
        if (unanswered > 0) {
            log.count(Counter.ENDED_UNANSWERED);
            log.line(process + ": ends with " + unanswered + " requests unanswered");
        }
        log.line(process + (allClientsLeft ? ": drained" : ": ends with clients still connected"));
        log.event(new LogEvent(
                "shutdown",
                process,
                "DRAINING",
                "ENDED",
                allClientsLeft ? "all clients have left" : "nothing is owed any more"));
    }
}
