package grebehoist.tasks;

/**
 * Which run of a task comes next, and whether its holder is fit for it. Runs are numbered by time, one number each period, and each is done within
 * its period. So that this holds by any member's clock, a run comes a little after its period begins, by as much as clocks may differ.
 *
 * <p>Kept from one holding to the next is only what stays true: the greatest run that is known to have been done. Which run is due always follows
 * from the clock. Where a receiver is further ahead than clocks may differ, as after a clock was wrong, it is given the number after its last
 * once a period, so that no clock stops a task. No I/O; times are microseconds.
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
    /** The clocks of two members differ by no more than this, or by a part of a short period. */
    private static final long CLOCKS_APART_US = 1_200_000;

    private static final int CLOCKS_APART_PART = 4;
    /** A receiver that is ahead by no more than this, or by one period, is waited for. */
    private static final long MOST_AHEAD_US = 60_000_000;

    private final long everyUs;
    private final long beginsAfterUs;
    private final long mostAhead;
    /** The greatest run that is known to have been done, by whomever. */
    private long done;
    /** No call is made before that: after one that has failed, and while the receiver is far ahead. */
    private long restsUntilUs;

    private int failures;

    Runs(long everyUs) {
        this.everyUs = everyUs;
        this.beginsAfterUs = Math.min(CLOCKS_APART_US, everyUs / CLOCKS_APART_PART);
        this.mostAhead = Math.max(1, MOST_AHEAD_US / everyUs);
    }

    /** The task is held anew: whether this process is fit for it shows anew. */
    void begin() {
        failures = 0;
    }

    /** Returns the run that is due, or 0 for none. */
    long due(long nowUs) {
        long period = nowUs / everyUs;
        if (nowUs < restsUntilUs || nowUs - period * everyUs < beginsAfterUs) {
            return 0;
        }
        if (done < period) {
            return period;
        }
        return isFarAhead(period) ? done + 1 : 0;
    }

    private boolean isFarAhead(long period) {
        return done - period > mostAhead;
    }

    /**
     * A call has ended.
     *
     * @param before the last run that the receiver had done before, or 0 where it does not say
     * @return how many runs nobody did before this one
     */
    long ended(long nowUs, long run, Heard heard, long before) {
        done = Math.max(done, before);
        failures = heard == Heard.FAILED ? failures + 1 : 0;
        if (heard == Heard.FAILED || heard == Heard.FENCED_OFF) {
            restsUntilUs = nowUs + AGAIN_US;
            return 0;
        }
        done = Math.max(done, run);
        long period = nowUs / everyUs;
        restsUntilUs = isFarAhead(period) ? (period + 1) * everyUs : 0;
        return heard == Heard.DONE && before > 0 ? Math.max(0, run - before - 1) : 0;
    }

    /** Returns whether another proxy is to have the task: this one can't do it. */
    boolean unfit() {
        return failures >= MOST_FAILURES;
    }
}
