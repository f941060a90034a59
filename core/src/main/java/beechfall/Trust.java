package beechfall;

/** What was seen of a backend as a whole, or of one flow there: the requests of a class and tenant. Times in microseconds. */
final class Trust {
    /** A flow that keeps failing at a backend is put off for at most so many of the least pauses. */
    private static final int PAUSES = 8;
    /** An error after so many answers in a row is bad luck: a proxy that sends much would else put off all for one in a thousand. */
    private static final int RUN = 16;
    /** Errors are common from this part of all attempts on; then so many in a row tell of the backend as are no chance any more. */
    private static final double COMMON = 0.005;

    private static final double CHANCE = 1e-4;

    private int out;
    private long heardAt;
    private long pauseUs;
    private long tryAt = Long.MIN_VALUE;
    private int streak;
    private int run;

    int out() {
        return out;
    }

    /** Returns until when it is put off. */
    long tryAt() {
        return tryAt;
    }

    /** Where errors are common at all backends, or seldom here, one is bad luck: only more in a row tell of the backend. */
    boolean badLuck(boolean error, double share) {
        streak = error ? streak + 1 : 0;
        boolean luck = error
                && pauseUs == 0
                && (streak == 1 && run >= RUN || share > COMMON && Math.pow(Math.min(share, 0.1), streak) > CHANCE);
        run = error ? 0 : Math.min(run + 1, RUN);
        return luck;
    }

    /** Not put off, nor silent for too long; after a pause one attempt at a time until one goes well. */
    boolean holds(long now, long silenceUs) {
        return now >= tryAt && (out == 0 || pauseUs == 0 && now - heardAt < silenceUs);
    }

    void sent(long now) {
        heardAt = out++ == 0 ? now : heardAt;
    }

    void ended(long now, boolean heard) {
        out--;
        heardAt = heard ? now : heardAt;
    }

    /** A failure brings the least pause; each that follows a pause doubles it, each answer halves it. */
    void judge(boolean good, long now, long leastUs) {
        if (now >= tryAt) {
            pauseUs = good
                    ? (pauseUs > leastUs ? pauseUs / 2 : 0)
                    : Math.min(Math.max(2 * pauseUs, leastUs), PAUSES * leastUs);
            tryAt = good ? tryAt : now + pauseUs;
        }
    }
}
