package grebehoist.fleet.lease;

/**
 * What is said about one task.
 *
 * @param task its number, as all have it from their files; 0 where it is about none
 * @param ballot the one that it is about
 * @param highest the highest round that the sender has heard of
 * @param leftUs of {@link Kind#HELD}: how long the grant counts yet, by the voter's clock
 * @param other of {@link Kind#HELD}: who has it; of {@link Kind#HIGHER}: what was promised; else {@link Ballot#NONE}
 */
public record LeaseMessage(Kind kind, int set, int task, Ballot ballot, long highest, long leftUs, Ballot other) {
    /** What it is for. */
    public enum Kind {
        /** May this ballot come? */
        PREPARE,
        /** It may. */
        PROMISE,
        /** Is it granted? */
        PROPOSE,
        /** It is. */
        GRANT,
        /** Somebody else has the task. */
        HELD,
        /** A higher ballot was promised. */
        HIGHER,
        /** It is given back. */
        RELEASE,
        /** The sender has given it back, and the receiver is to take it. */
        HANDOVER,
        /** What is the highest round that you have heard of? */
        LEARN,
        /** This. */
        KNOWN
    }
}
