package grebehoist.fleet.distribution;

import java.util.List;

/** What is said between proxies and control machines, and between these. Scopes go by {@link Ids#of}, a number of 63 bits. */
sealed interface Message {
    /**
     * What the sender has of some scopes.
     *
     * @param seq to be answered with a {@link Seen} of it; 0 for no answer
     * @param sharers so many machines give changes to the sender now: each has that part of its pace
     */
    record Digest(long seq, int sharers, List<Have> scopes) implements Message {}

    /**
     * What one has of a scope.
     *
     * @param have up to this version all is there
     * @param hash of the items in force at it
     * @param gaps what is missing before what was received beyond that
     * @param fill it is being got from the beginning, and is not yet whole
     */
    record Have(long scope, long have, int hash, boolean fill, List<Gap> gaps) {}

    /** What is after one version, up to another one. */
    record Gap(long from, long to) {}

    /** A digest has come; bits for the scopes of it, in order, that are not the same here. */
    record Seen(long seq, long differ) implements Message {}

    /** Surviving changes of a scope, in the order of their versions. */
    record Changes(long scope, List<Link> links) implements Message {}

    /**
     * What a scope is at its source: nothing survives between {@code last} and {@code head}.
     *
     * @param floor a removal up to this version may have been forgotten
     */
    record Head(long scope, long head, int hash, long floor, long last) implements Message {}

    /** The scope is not there, or is there but not yet whole. */
    record Unheld(long scope, boolean filling) implements Message {}

    /** The sender gets this one from elsewhere from now on, or not at all. */
    record Left(long scope) implements Message {}

    /** The sender has accepted a change. */
    record Holds(long scope, long version, long epoch, long life) implements Message {}

    /** Which scopes after this name do we both hold? */
    record ListAfter(long life, String after) implements Message {}

    /** These; {@code end} where there are no more. */
    record Listing(long life, String after, boolean end, List<Listed> scopes) implements Message {}

    /** One of them. */
    record Listed(String scope, long head, long promised, long pending, long pendingEpoch) {}

    /** A change that is accepted and not yet known to be taken; said before the {@link Listing} that it belongs to. */
    record Pending(long scope, long epoch, Link link) implements Message {}

    /** What is the name of this scope? */
    record Ask(long scope) implements Message {}

    /** It is this. */
    record Named(String scope) implements Message {}
}
