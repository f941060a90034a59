package grebehoist.fleet.distribution;

/** What a proxy or a control machine has to tell. */
public sealed interface DistributionChange {
    /** A proxy: all of a scope up to this version is in force here. Versions of a scope only grow. */
    record InForce(String scope, long version) implements DistributionChange {}

    /** A proxy: an item is in force here, new or changed. */
    record Applied(Item item) implements DistributionChange {}

    /** A proxy: an item is no more; {@code item} is the one that was in force. */
    record Removed(Item item, long version) implements DistributionChange {}

    /** A proxy: a scope is got from another machine from now on, as the one before does not answer. */
    record SourceMoved(String scope, int from, int to) implements DistributionChange {}

    /** A proxy: what it has of a scope differs from what the machine has; all of it is got anew, and what is in force stays until then. */
    record Refilling(String scope, int from) implements DistributionChange {}

    /** A proxy: a machine knows no such scope; what is in force stays. */
    record NoSuchScope(String scope, int from) implements DistributionChange {}

    /** A control machine: a change was taken; it is given to proxies from now on. */
    record Committed(Item item) implements DistributionChange {
        /** Returns the scope. */
        public String scope() {
            return item.scope();
        }

        /** Returns the version. */
        public long version() {
            return item.version();
        }
    }

    /** A control machine: it has heard all that its fellow holders have to say, and counts as a holder of all of its scopes. */
    record Filled(int scopes) implements DistributionChange {}
}
