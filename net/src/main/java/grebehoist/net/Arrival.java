package grebehoist.net;

/**
 * When bytes of a client came, as far as can be known; all in microseconds on the clock of {@link LoopTimers}.
 *
 * @param mayHaveComeUs the earliest time at which they may have come to this machine
 * @param acceptedUs when their connection was accepted, where they are the first on it; else {@link #NOT_FIRST}
 * @param readUs when they were read
 */
public record Arrival(long mayHaveComeUs, long acceptedUs, long readUs) {
    /** They are not the first on their connection. */
    public static final long NOT_FIRST = -1;

    private static final long MS = 1_000;

    /** Says where the time went, for the operators. */
    @Override
    public String toString() {
        String unread = (readUs - mayHaveComeUs) / MS + " ms at most from its coming to its read";
        return acceptedUs == NOT_FIRST
                ? unread
                : unread + ", " + (acceptedUs - mayHaveComeUs) / MS + " of them until it was accepted";
    }
}
