package grebehoist.net;

import java.util.SplittableRandom;

/**
 * The pauses between tries of something that is wanted until it is so: each twice the one before up to a bound, and drawn between a half
 * and the whole of that, so that many who began together do not go on together. Used by one thread.
 */
public final class Backoff {
    private final long firstMs;
    private final long mostMs;
    private final SplittableRandom random = new SplittableRandom();
    private long nextMs;

    /**
     * Makes one that is at its first pause.
     *
     * @param firstMs the longest that the first pause may be
     * @param mostMs the longest that any pause may be
     */
    public Backoff(long firstMs, long mostMs) {
        this.firstMs = firstMs;
        this.mostMs = mostMs;
        this.nextMs = firstMs;
    }

    /** Returns the next pause in milliseconds. */
    public long next() {
        long pause = nextMs / 2 + random.nextLong(nextMs / 2 + 1);
        nextMs = Math.min(mostMs, 2 * nextMs);
        return Math.max(1, pause);
    }

    /** Begins with the first pause again. */
    public void reset() {
        nextMs = firstMs;
    }
}
