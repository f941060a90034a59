package grebehoist.trial.scale;

import java.util.Arrays;

/**
 * The most bytes in any 11 s. Time is cut into quarters of a second and a window takes one more than 11 s have, so that the figure
 * is never too low.
 */
final class RateWindow {
    static final long WINDOW_US = 11_000_000;
    private static final long SLICE_US = 250_000;
    private static final int SLICES = (int) (WINDOW_US / SLICE_US) + 1;

    private final int[] slices = new int[SLICES];
    private long slice = Long.MIN_VALUE;
    private long sum;
    private long greatest;

    /** Counts bytes; times never go back. */
    void add(long nowUs, int bytes) {
        long now = Math.floorDiv(nowUs, SLICE_US);
        if (slice == Long.MIN_VALUE || now - slice >= SLICES) {
            Arrays.fill(slices, 0);
            sum = 0;
            slice = now;
        }
        while (slice < now) {
            slice++;
            int i = Math.floorMod(slice, SLICES);
            sum -= slices[i];
            slices[i] = 0;
        }
        slices[Math.floorMod(slice, SLICES)] += bytes;
        sum += bytes;
        greatest = Math.max(greatest, sum);
    }

    /** Returns the bytes of the greatest window. */
    long greatest() {
        return greatest;
    }

    void reset() {
        Arrays.fill(slices, 0);
        slice = Long.MIN_VALUE;
        sum = 0;
        greatest = 0;
    }
}
