package grebehoist.trial;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Something that goes wrong for a time.
 *
 * @param atUs when, from the start of the script, and {@code forUs}: for how long
 * @param who the members that it happens to, or that datagrams come from
 * @param to the members that datagrams go to, where the kind has such
 * @param rate of datagrams, for kinds that draw
 */
public record Fault(Kind kind, long atUs, long forUs, List<Integer> who, List<Integer> to, double rate) {
    /** What goes wrong. */
    public enum Kind {
        /** Stopped and continued. */
        PAUSE,
        /** Datagrams between all are lost. */
        LOSS,
        /** They come late, by up to 2 s, and so out of order. */
        LATE,
        /** They come twice. */
        TWICE,
        /** None from these to those. */
        ONEWAY,
        /** None between these and those, in either direction. */
        SPLIT,
        /** Those are told nothing by these, who hear everything. */
        MUTE,
        /** Killed, and started again at the end. */
        KILL,
        /** Killed, and started again within 200 ms. */
        RESTART,
        /** Told to end in good order, and started again at the end. */
        LEAVE,
        /** A slow processor: whatever is due comes late, again and again. */
        SLOW;

        /** Returns its name on the command line and in a history. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private static final long LATE_US = 2_000_000;

    public Fault {
        who = List.copyOf(who);
        to = List.copyOf(to);
    }

    /** Returns when it is over. */
    public long endUs() {
        return atUs + forUs;
    }

    /** Returns whether no datagram gets from one to another because of it. */
    boolean cuts(int from, int target) {
        return switch (kind) {
            case ONEWAY, MUTE -> who.contains(from) && to.contains(target);
            case SPLIT -> who.contains(from) && to.contains(target) || who.contains(target) && to.contains(from);
            default -> false;
        };
    }

    /**
     * Draws what becomes of a datagram while some faults are active.
     *
     * @return by how much each copy of it is late, in microseconds; nothing where it is lost or cut
     */
    static long[] delaysUs(List<Fault> active, int from, int to, SplittableRandom random) {
        int copies = 1;
        long delayUs = 0;
        for (Fault f : active) {
            boolean drawn = f.rate > 0 && random.nextDouble() < f.rate;
            if (f.cuts(from, to) || f.kind == Kind.LOSS && drawn) {
                return new long[0];
            }
            copies += f.kind == Kind.TWICE && drawn ? 1 : 0;
            delayUs += f.kind == Kind.LATE && drawn ? random.nextLong(LATE_US) : 0;
        }
        var delays = new long[copies];
        for (int i = 0; i < copies; i++) {
            delays[i] = delayUs + i * random.nextLong(1, LATE_US);
        }
        return delays;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s at %.1f s for %.1f s of %s%s%s",
                kind.word(),
                atUs / 1e6,
                forUs / 1e6,
                who,
                to.isEmpty() ? "" : " to " + to,
                rate > 0 ? String.format(Locale.ROOT, " rate %.2f", rate) : "");
    }
}
