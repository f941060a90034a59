package grebehoist.thrift;

/**
 * How many calls of one class and tenant a connection may have begun at once: any number until one is refused, then one, from the time on
 * that the refusal names, and more as calls are served (as RFC 5681 has it for segments: one more for each up to half of what it was, from
 * there on one more for each round). A client that has many calls open, and writes the next as soon as one is refused, would otherwise
 * have most of what there is for all.
 */
final class CallWindow {
    /** A client waits for some seconds at most. */
    private static final long LONGEST_PAUSE_US = 500_000;
    /** From here on nothing has been refused for long enough. */
    private static final int UNBOUNDED = 64;

    private double size = UNBOUNDED;
    private double threshold = UNBOUNDED;
    private int begun;
    private long notBeforeUs = Long.MIN_VALUE;

    /** Returns whether one more call may be begun now. */
    boolean mayBegin(long nowUs) {
        return size >= UNBOUNDED || begun < (int) size && nowUs >= notBeforeUs;
    }

    /** Returns when the time of the last refusal is over. */
    long notBeforeUs() {
        return notBeforeUs;
    }

    /** A call has been begun. */
    void begun() {
        begun++;
    }

    /** A call that was begun has been served. */
    void served() {
        begun--;
        size = Math.min(UNBOUNDED, size + (size < threshold ? 1 : 1 / size));
    }

    /**
     * A call that was begun has been refused.
     *
     * @param retryAfterUs when there may be room, or 0 where it was refused for another reason than that there is none
     */
    void refused(long retryAfterUs, long nowUs) {
        int outBefore = begun--;
        if (retryAfterUs <= 0) {
            return;
        }
        // Those that were begun together are refused together: that is one reason to begin fewer.
        if (nowUs >= notBeforeUs) {
            threshold = Math.max(1, Math.min(size, outBefore) / 2);
        }
        size = 1;
        notBeforeUs = Math.max(notBeforeUs, nowUs + Math.min(retryAfterUs, LONGEST_PAUSE_US));
    }

    /** A call that was begun has failed. */
    void failed() {
        begun--;
    }

    /** Returns whether nothing is to be known of it any more. */
    boolean atRest() {
        return begun == 0 && size >= UNBOUNDED;
    }
}
