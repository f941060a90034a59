package grebehoist.fleet.membership;

import java.util.BitSet;

/**
 * How many share the load: the largest fleet that this may be. Who comes counts at once. Who is dead counts on for a while, and as long
 * as half or more of those that shared it are not heard: then it may be this member that is cut off, and the others go on sending.
 */
final class FleetSize {
    private final Terms terms;
    private final int self;
    private final int members;
    private final BitSet sharing = new BitSet();
    private long minoritySince = Long.MAX_VALUE;
    private Change.Count told;
    private boolean settled;

    FleetSize(Terms terms, int self, int members) {
        this.terms = terms;
        this.self = self;
        this.members = members;
        sharing.set(0, members);
    }

    /** What was held may be of the past: it is all of them again until this is looked at. */
    void forget() {
        sharing.set(0, members);
    }

    /**
     * Looks at all members.
     *
     * @param sure whether what is held is of the present and somebody answers
     * @return the count if it has changed, or null
     */
    Change.Count look(long nowUs, Entry[] entries, boolean sure) {
        int alive = 0;
        int ended = 0;
        settled = true;
        var counting = new BitSet();
        for (Entry e : entries) {
            alive += e.number == self || e.state == State.ALIVE ? 1 : 0;
            ended += e.state == State.LEFT ? 1 : 0;
            if (e.number == self || counts(e, nowUs)) {
                counting.set(e.number);
                // It may count no more when it has been dead for long enough.
                settled &= e.state.mayAct();
            }
        }
        counting.or(sharing);
        boolean most = sure && 2 * alive > counting.cardinality() - ended;
        minoritySince = most ? Long.MAX_VALUE : Math.min(minoritySince, nowUs);
        sharing.or(counting);
        if (most || nowUs - minoritySince >= terms.minorityHoldUs()) {
            for (Entry e : entries) {
                sharing.set(e.number, e.number == self || counts(e, nowUs));
            }
        } else {
            // Whoever left, or died long ago, may have come back where it is not heard.
            sharing.set(0, entries.length);
            settled = false;
        }
        var count = new Change.Count(
                alive, sharing.cardinality(), sharing.get(0, self).cardinality());
        boolean changed = !count.equals(told);
        told = count;
        return changed ? count : null;
    }

    /** Returns whether time alone changes nothing any more. */
    boolean settled() {
        return settled;
    }

    private boolean counts(Entry e, long nowUs) {
        return switch (e.state) {
            case UNKNOWN, ALIVE, SUSPECT -> true;
            case DEAD -> nowUs - e.sinceUs < terms.countHoldUs();
            case LEFT -> nowUs - e.sinceUs < Terms.LEFT_HOLD_US;
        };
    }

    /** Returns the last count. */
    Change.Count told() {
        return told;
    }
}
