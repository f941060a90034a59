package grebehoist.tasks;

/**
 * Which run of a task comes next, and whether its holder is fit for it. Runs are numbered by time, one number each period; where the receiver
 * is ahead of this process's clock the number after its last is taken, so that no clock that is wrong stops a task. No I/O; times are
 * microseconds.
 */
final class Runs {
    /** What an answer means. */
    enum Heard {
        /** Done now. */
        DONE,
        /** Somebody has done it before. */
        DONE_BEFORE,
        /** The receiver has seen a greater token: this process holds nothing. */
        FENCED_OFF,
        /** No answer, or one that says that it went wrong. */
        FAILED
    }

    /** So many failures in a row, and another proxy is to try. */
    static final int MOST_FAILURES = 3;

    private static final long AGAIN_US = 100_000;

    private final long everyUs;
    private long last;
    private long nextAtUs;
    private int failures;

    Runs(long everyUs) {
        this.everyUs = everyUs;
    }

    /** The task is held anew: what the receiver did meanwhile is not known. */
    void begin() {
        nextAtUs = 0;
        failures = 0;
    }

    /** Returns the run that is due, or 0 for none. */
    long due(long nowUs) {
        return nowUs < nextAtUs ? 0 : Math.max(nowUs / everyUs, last + 1);
    }

    /**
     * A call has ended.
     *
     * @param before the last run that the receiver had done before, or 0 where it does not say
     * @return how many runs nobody did before this one
     */
    long ended(long nowUs, long run, Heard heard, long before) {
        if (heard == Heard.FAILED) {
            failures++;
            nextAtUs = nowUs + AGAIN_US;
            return 0;
        }
        failures = 0;
        long missed = heard == Heard.DONE && before > 0 ? Math.max(0, run - before - 1) : 0;
        last = Math.max(last, heard == Heard.DONE ? run : before);
        // On the grid of periods, so that a holder that follows goes on at the same pace.
        nextAtUs = (nowUs / everyUs + 1) * everyUs;
        return missed;
    }

    /** Returns whether another proxy is to have the task: this one can't do it. */
    boolean unfit() {
        return failures >= MOST_FAILURES;
    }
}
