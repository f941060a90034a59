package grebehoist.fleet.lease;

/**
 * Where one life of a member stands with one task.
 *
 * @param phase of the try that is under way
 * @param ballot of that try
 * @param sinceUs when the question of this phase was first asked
 * @param answers the voters that have said yes to it, a bit each
 * @param token of the holding, 0 for none: what a receiver can tell holdings apart by, each greater than the one before
 * @param held the ballot that was granted last
 * @param untilUs until when the holding counts, by this member's clock
 */
public record Claim(Phase phase, Ballot ballot, long sinceUs, long answers, long token, Ballot held, long untilUs) {
    /** What is asked for. */
    public enum Phase {
        /** Nothing. */
        RESTING,
        /** Whether a ballot may come. */
        PREPARING,
        /** Whether it is granted. */
        PROPOSING
    }

    /** Nothing asked, nothing held. */
    public static final Claim NONE = new Claim(Phase.RESTING, Ballot.NONE, 0, 0, 0, Ballot.NONE, 0);

    /** Returns whether this member holds the task. */
    public boolean holds(long nowUs) {
        return token > 0 && nowUs < untilUs;
    }

    /** The try is over without a grant; what is held stays. */
    Claim rest() {
        return new Claim(Phase.RESTING, Ballot.NONE, 0, 0, token, held, untilUs);
    }

    /** Nothing is held any more. */
    Claim drop() {
        return new Claim(phase, ballot, sinceUs, answers, 0, Ballot.NONE, 0);
    }
}
