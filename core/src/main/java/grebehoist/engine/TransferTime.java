package grebehoist.engine;

/** How long a message may take to be read by a peer that reads slowly: 32 kB a second, half of what the slowest are known for. */
public final class TransferTime {
    /** The time for one byte, in microseconds. */
    public static final long US_A_BYTE = 31;

    private TransferTime() {}

    /** Returns the time, in microseconds, by which a peer that reads on has read so many bytes. */
    public static long slowestUs(long bytes) {
        return bytes * US_A_BYTE;
    }
}
