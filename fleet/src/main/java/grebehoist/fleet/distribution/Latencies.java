package grebehoist.fleet.distribution;

import java.util.Arrays;

/** The last times that something took, as many as there is room for. */
final class Latencies {
    static final Latencies NONE = new Latencies();
    private static final int MOST = 8_192;

    private int[] us = new int[8];
    private int next;
    private int size;

    void add(long took) {
        if (size == us.length && size < MOST) {
            us = Arrays.copyOf(us, Math.min(MOST, 2 * size));
        }
        us[next] = (int) Math.min(Integer.MAX_VALUE, took);
        size = Math.max(size, next + 1);
        next = (next + 1) % MOST;
    }

    /** Returns what so great a part took at most; -1 for none. */
    long at(double part) {
        if (size == 0) {
            return -1;
        }
        int[] sorted = Arrays.copyOf(us, size);
        Arrays.sort(sorted);
        return sorted[Math.max(0, (int) Math.ceil(part * size) - 1)];
    }
}
