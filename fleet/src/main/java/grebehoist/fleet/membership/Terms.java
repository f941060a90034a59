package grebehoist.fleet.membership;

/**
 * The times and bounds of membership, all in microseconds of a clock that does not go back. What can be derived is derived.
 *
 * @param periodUs between two probes of a member; each period one member is probed
 * @param directUs a direct answer is waited for so long, then others are asked
 * @param tickUs how often {@link Membership#tick} is to be called
 * @param gossipUs how often news that is new is passed on beside the probes
 * @param pauseUs a member that is stopped for less than this is never held dead for it
 * @param awayUs a tick that is later than this shows that this process was stopped itself
 * @param bytesPerS what a member may send a second, counted over a second; probes and answers go first
 * @param countHoldUs a member that was found dead counts as one that shares the load for so long
 * @param minorityHoldUs and so long where less than half of those that shared it are heard
 */
public record Terms(
        long periodUs,
        long directUs,
        long tickUs,
        long gossipUs,
        long pauseUs,
        long awayUs,
        int bytesPerS,
        long countHoldUs,
        long minorityHoldUs) {
    private static final long MS = 1_000;
    private static final long S = 1_000 * MS;

    /** Members that news is passed on to at a time. */
    static final int FANOUT = 2;
    /** Members that are asked to probe for this one. */
    static final int HELPERS = 3;
    /** So many doubters shorten a suspicion to its least. */
    static final int DOUBTERS = 3;
    /** Local health goes from 0, well, up to this: all waits grow by as much (Lifeguard, 4.1). */
    static final int MOST_ILL = 8;
    /** How often a piece of news is passed on, in units of the binary logarithm of the number of members (SWIM, 4.1). */
    static final int LAMBDA = 2;
    /** In this time after a start nobody is suspected of whom nothing was ever heard. */
    static final long GRACE_US = 10 * S;
    /** One that said that it ends counts for so long yet. */
    static final long LEFT_HOLD_US = S;
    /** Then whoever suspects it asks it itself for so long. */
    static final long LAST_LOOK_US = 900_000;
    /** A part of the view is compared with another member's this often, for what got lost. */
    static final long SYNC_US = 5 * S;
    /** Whoever was dead or left is looked for this often. */
    static final long REVISIT_US = 2 * S;

    public Terms {
        if (periodUs <= 0
                || directUs <= 0
                || directUs >= periodUs
                || tickUs <= 0
                || gossipUs < tickUs
                || pauseUs < 0
                || awayUs < 2 * tickUs
                || bytesPerS < 1_000
                || countHoldUs < 0
                || minorityHoldUs < countHoldUs) {
            throw new IllegalArgumentException("terms that contradict each other: " + this);
        }
    }

    /** Those that hold unless others are set: pauses of up to 5 s are borne. */
    public static Terms standard() {
        return bearing(5 * S);
    }

    /** Those that bear pauses of up to so long. */
    public static Terms bearing(long pauseUs) {
        return new Terms(500 * MS, 200 * MS, 50 * MS, 200 * MS, pauseUs, 300 * MS, 4_000, 60 * S, 600 * S);
    }

    /** Returns how long news takes to reach all of so many members, some of it lost on the way. */
    public long spreadUs(int members) {
        return periodUs + gossipUs * (long) Math.ceil(Math.log(members + 1.0) / Math.log(1 + FANOUT));
    }

    /** Returns how long a member may be suspected at least before it is asked for the last time: its objection has to have come by then. */
    public long leastSuspicionUs(int members) {
        return pauseUs + spreadUs(members);
    }

    /** Returns how long where one member alone doubts it. */
    public long mostSuspicionUs(int members) {
        return leastSuspicionUs(members) + 4 * periodUs;
    }

    /** Returns how often a piece of news is passed on. */
    int transmissions(int members) {
        return LAMBDA * (int) Math.ceil(Math.log(members + 1.0) / Math.log(2));
    }
}
