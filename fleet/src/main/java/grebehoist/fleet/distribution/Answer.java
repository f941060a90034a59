package grebehoist.fleet.distribution;

/** What a holder answers to a {@link Call}. */
public sealed interface Answer {
    /**
     * The scope exists, and nothing older than the epoch changes it.
     *
     * @param head the version of its last change that is known to be taken
     * @param pending a change that may have been taken; null for none
     * @param pendingEpoch the epoch that it was offered in; 0 for none
     */
    record Opened(Lives lives, long head, Item pending, long pendingEpoch) implements Answer {}

    /**
     * It is held: the scope created, or the change kept.
     *
     * @param version of the change, or of the scope that is there
     * @param taken whether it is known here to be taken
     */
    record Held(Lives lives, long version, boolean taken) implements Answer {}

    /**
     * It is not held, and this call will never make it so.
     *
     * @param head the version of the scope's last change known here; -1 where it is not known
     * @param never whether the change can never be taken: another one was, in its place
     */
    record Refusal(String why, long head, boolean never) implements Answer {}
}
