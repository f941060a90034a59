package grebehoist.net;

import grebehoist.engine.Counter;
import grebehoist.engine.Log;
import grebehoist.engine.LogEvent;
import grebehoist.engine.RuleGuard.Rule;
import grebehoist.engine.RuleGuard.Violation;
import grebehoist.engine.Wait;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Supplier;

/**
 * The log on standard error, and the counts behind the metrics. One thread calls it: the event loop, or the main thread before that; only
 * counting is for any thread. Lines are written by a thread of their own from a bounded queue, so a reader of standard error that stops
 * reading never stops service: what does not fit is dropped and counted.
 */
public final class StderrLog implements Log {
    private static final int LINES_A_SECOND = 20;
    private static final int REASONS_A_SECOND = 5;
    private static final int MOST_QUEUED = 1_024;
    private static final BlockingQueue<String> QUEUE = new ArrayBlockingQueue<>(MOST_QUEUED);

    private final AtomicLongArray counts = new AtomicLongArray(Counter.values().length);
    private final AtomicLongArray violations = new AtomicLongArray(Rule.values().length);
    private long second = Long.MIN_VALUE;
    private int lines;
    private int dropped;
    private final RateLimit reasons = new RateLimit(REASONS_A_SECOND);
    private final WaitHistograms waits = new WaitHistograms();

    /** Standard error belongs to the process, and so does its writer. */
    private static final class Writer {
        private static final Thread THREAD = start();

        private static Thread start() {
            var thread = new Thread(Writer::write, "log");
            thread.setDaemon(true);
            thread.start();
            return thread;
        }

        private static void write() {
            try {
                while (true) {
                    System.err.println(QUEUE.take());
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** What goes wrong thousands of times a second must not take the CPU from what goes well. */
    @Override
    public void line(String text) {
        long now = System.nanoTime() / 1_000_000_000;
        if (now != second) {
            if (dropped > 0) {
                write("(" + dropped + " more lines left out)");
            }
            second = now;
            lines = 0;
            dropped = 0;
        }
        if (++lines > LINES_A_SECOND) {
            dropped++;
            count(Counter.LOG_LINE_DROPPED);
        } else {
            write(text.replace('\n', ' ').replace('\r', ' '));
        }
    }

    private void write(String line) {
        if (!Writer.THREAD.isAlive() || !QUEUE.offer(line)) {
            count(Counter.LOG_LINE_DROPPED);
        }
    }

    /** Waits until what has been logged is written, for a bounded time. */
    public static void flush(long mostMs) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        try {
            while (!QUEUE.isEmpty() && System.nanoTime() - until < 0) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void failure(String what, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        line(what + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    @Override
    public void event(LogEvent event) {
        line(new JsonLine("transition")
                .put("subject", event.subject())
                .put("id", event.id())
                .put("from", event.from())
                .put("to", event.to())
                .put("cause", event.cause())
                .toString());
    }

    @Override
    public void count(Counter counter) {
        counts.incrementAndGet(counter.ordinal());
    }

    /** Returns how often something was counted. */
    public long counted(Counter counter) {
        return counts.get(counter.ordinal());
    }

    @Override
    public void reason(Counter reason, String request, Supplier<String> detail) {
        count(reason);
        if (reasons.mayPass(System.nanoTime())) {
            line(new JsonLine("request")
                    .put("reason", reason.name())
                    .put("request", request)
                    .put("detail", detail.get())
                    .toString());
        }
    }

    @Override
    public void waited(Wait stage, long us) {
        waits.record(stage, us);
    }

    /** Returns how long requests have waited. Used by the engine's thread. */
    public WaitHistograms waits() {
        return waits;
    }

    @Override
    public void violation(Violation violation) {
        violations.incrementAndGet(violation.rule().ordinal());
        line(new JsonLine("invariant_violation")
                .put("rule", violation.rule().name())
                .put("at_us", Long.toString(violation.atUs()))
                .put("request", violation.request())
                .put("attempt", Integer.toString(violation.attempt()))
                .put("endpoint", violation.endpoint())
                .put("detail", violation.detail())
                .toString());
    }

    /** Returns how often a rule was about to be broken. */
    public long violations(Rule rule) {
        return violations.get(rule.ordinal());
    }
}
