package grebehoist.net;

import java.util.concurrent.TimeUnit;

/**
 * Does what a start needs and what may fail for a moment: again and again, with growing pauses, until it works or a time is over. Blocks
 * its thread, so it is not for an event loop; there a timer and a {@link Backoff} do the same.
 */
public final class BoundedRetry {
    /**
     * A step that may fail.
     *
     * @param <T> what it brings
     * @param <E> how it fails
     */
    @FunctionalInterface
    public interface Step<T, E extends Exception> {
        /** Tries it once. */
        T run() throws E;
    }

    /**
     * Judges a failure.
     *
     * @param <E> how the step fails
     */
    @FunctionalInterface
    public interface Failed<E extends Exception> {
        /** Hears of a failure; returns whether another try may help. */
        boolean mayPass(E failure);
    }

    private final long untilNs;
    private final Backoff backoff;

    /**
     * Makes one whose time begins now.
     *
     * @param patienceMs after so long the next failure is the last
     * @param backoff the pauses
     */
    public BoundedRetry(long patienceMs, Backoff backoff) {
        this.untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        this.backoff = backoff;
    }

    /**
     * Runs a step until it works.
     *
     * @param kind the failures after which it is tried again; others pass
     * @throws E the last failure, after the time is over or where another try would not help
     */
    public <T, E extends Exception> T run(Step<T, E> step, Class<E> kind, Failed<E> failed)
            throws E, InterruptedException {
        while (true) {
            try {
                return step.run();
            } catch (Exception e) {
                if (!kind.isInstance(e)) {
                    throw e;
                }
                E failure = kind.cast(e);
                if (!failed.mayPass(failure) || System.nanoTime() - untilNs > 0) {
                    throw failure;
                }
                TimeUnit.MILLISECONDS.sleep(backoff.next());
            }
        }
    }
}
