package grebehoist.net;

import java.util.concurrent.TimeUnit;

/** Lets so many things pass in each second. Used by one thread. */
public final class RateLimit {
    private final int mostPerSecond;
    private long second = Long.MIN_VALUE;
    private int passed;

    /** Makes one through which nothing has passed. */
    public RateLimit(int mostPerSecond) {
        this.mostPerSecond = mostPerSecond;
    }

    /**
     * Returns whether one more may pass, and counts it.
     *
     * @param nowNs the time of a monotonic clock, in nanoseconds
     */
    public boolean mayPass(long nowNs) {
        long now = Math.floorDiv(nowNs, TimeUnit.SECONDS.toNanos(1));
        if (now != second) {
            second = now;
            passed = 0;
        }
        return ++passed <= mostPerSecond;
    }
}
