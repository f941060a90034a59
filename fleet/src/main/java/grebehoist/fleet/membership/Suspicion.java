package grebehoist.fleet.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A member that was not reached: since when, and who says so. Each further doubter shortens it (Lifeguard, 4.2). */
final class Suspicion {
    /** Kept of those that say the same. */
    static final int MOST_DOUBTERS = 4;

    private long sinceUs;
    private long lookedAt;
    private int lastLooks;
    private final Set<Integer> doubters = new LinkedHashSet<>();
    private final Set<Integer> buriers = new LinkedHashSet<>();

    Suspicion(long sinceUs) {
        this.sinceUs = sinceUs;
        this.lookedAt = sinceUs;
    }

    /** Returns whether that is new. */
    boolean doubt(int by) {
        return by >= 0 && doubters.size() < MOST_DOUBTERS && doubters.add(by);
    }

    /** Somebody holds it dead already. */
    void bury(int by) {
        if (buriers.size() < MOST_DOUBTERS) {
            buriers.add(by);
        }
    }

    List<Integer> doubters() {
        return new ArrayList<>(doubters);
    }

    /** This process was stopped: that time does not count. */
    void put(long offUs) {
        sinceUs += offUs;
    }

    int buriers() {
        return buriers.size();
    }

    long lookedAt() {
        return lookedAt;
    }

    void looked(long nowUs) {
        lookedAt = nowUs;
    }

    /** How often it was asked once more before the end. */
    int lastLooks() {
        return lastLooks;
    }

    void lastLook() {
        lastLooks++;
    }

    long sinceUs() {
        return sinceUs;
    }

    /**
     * Returns whether one of this age has been long enough. Two others that hold the member dead have waited themselves: then the
     * pause that is borne is enough.
     */
    static boolean over(long ageUs, int doubters, int buriers, Terms terms, int members) {
        if (buriers >= 2 && ageUs >= terms.pauseUs()) {
            return true;
        }
        long least = terms.leastSuspicionUs(members);
        long most = terms.mostSuspicionUs(members);
        double further = Math.max(0, doubters - 1);
        double shortened = most - (most - least) * Math.log(further + 1) / Math.log(Terms.DOUBTERS + 1.0);
        return ageUs >= Math.max(least, shortened);
    }
}
