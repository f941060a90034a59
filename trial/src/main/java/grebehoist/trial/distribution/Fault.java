package grebehoist.trial.distribution;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Something that goes wrong for a time.
 *
 * @param who hosts that it happens to, or that are on one side of it
 * @param rate of datagrams, for kinds that draw
 */
record Fault(Kind kind, long atUs, long forUs, List<Integer> who, double rate) {
    /** What goes wrong. */
    enum Kind {
        /** Killed, and started again at the end, from nothing. */
        CRASH,
        /** Stopped and continued. */
        PAUSE,
        /** Datagrams and calls between all are lost. */
        LOSS,
        /** They come late, and so out of order. */
        DELAY,
        /** Datagrams come twice. */
        DUPLICATE,
        /** Nothing comes from these to the others. */
        ONE_WAY,
        /** Nothing comes from these to the others, nor from the others to these. */
        PARTITION
    }

    private static final long[] LOST = {};
    private static final long DELAY_US = 2_000_000;

    Fault {
        who = List.copyOf(who);
    }

    long endUs() {
        return atUs + forUs;
    }

    private boolean cuts(int from, int to) {
        return switch (kind) {
            case ONE_WAY -> who.contains(from) && !who.contains(to);
            case PARTITION -> who.contains(from) != who.contains(to);
            default -> false;
        };
    }

    /**
     * Draws what becomes of a datagram while some faults are active.
     *
     * @return by how much each copy of it is late; nothing where it is lost
     */
    static long[] delaysUs(List<Fault> active, int from, int to, SplittableRandom random) {
        int copies = 1;
        long delayUs = 0;
        for (Fault f : active) {
            boolean drawn = f.rate > 0 && random.nextDouble() < f.rate;
            if (f.cuts(from, to) || f.kind == Kind.LOSS && drawn) {
                return LOST;
            }
            copies += f.kind == Kind.DUPLICATE && drawn ? 1 : 0;
            delayUs += f.kind == Kind.DELAY && drawn ? random.nextLong(DELAY_US) : 0;
        }
        var delays = new long[copies];
        Arrays.fill(delays, delayUs);
        for (int i = 1; i < copies; i++) {
            delays[i] += random.nextLong(DELAY_US);
        }
        return delays;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s at %.1f s for %.1f s of %s%s",
                kind.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                atUs / 1e6,
                forUs / 1e6,
                who,
                rate > 0 ? String.format(Locale.ROOT, " rate %.2f", rate) : "");
    }
}
