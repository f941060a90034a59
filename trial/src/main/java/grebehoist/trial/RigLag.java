package grebehoist.trial;

import grebehoist.testkit.Rig;

/** How late the thread of the stand-ins was: what it sees then has happened earlier, and the witness's times are wrong by as much. */
final class RigLag {
    private static final long PERIOD_US = 10_000;

    private final Rig rig;
    private volatile long worstUs;

    /** Begins to measure, for as long as the rig lives. */
    RigLag(Rig rig) {
        this.rig = rig;
        expect(rig.now() + PERIOD_US);
    }

    private void expect(long atUs) {
        rig.later(atUs, () -> {
            worstUs = Math.max(worstUs, rig.now() - atUs);
            expect(rig.now() + PERIOD_US);
        });
    }

    /** Begins to measure anew. */
    void reset() {
        worstUs = 0;
    }

    /** Returns the worst so far, in microseconds. */
    long worstUs() {
        return worstUs;
    }
}
