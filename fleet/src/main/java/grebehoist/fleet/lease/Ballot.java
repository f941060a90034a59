package grebehoist.fleet.lease;

/**
 * One try of one life of a member to get a task. No two are equal: a member draws each round once in a life, and lives differ. A voter
 * promises one ballot of a round at most, so the round alone orders them.
 *
 * @param round grows over all tasks and members, as far as they have heard of each other
 * @param life tells the lives of a member apart; who starts again is somebody else
 */
public record Ballot(long round, int member, long life) {
    /** Before every ballot. */
    public static final Ballot NONE = new Ballot(0, -1, 0);

    /** Returns whether both are of the same life of the same member. */
    public boolean sameLife(Ballot other) {
        return member == other.member && life == other.life;
    }

    /** Returns whether this may not come any more once another one was promised. */
    boolean below(Ballot promised) {
        return round <= promised.round && !equals(promised);
    }
}
