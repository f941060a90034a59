package grebehoist.fleet.distribution;

import java.util.List;

/** What a proxy has of the scopes that it subscribes to. Got from a {@link DistributionNode}. */
public final class Subscriber {
    Subscriber() { }

    /** Subscribes to a scope, from the next tick on; returns why that can't be, or null. */
    public String subscribe(String scope) {
        return null;
    }

    /** Forgets a scope; what was in force of it is not told as removed. */
    public void unsubscribe(String scope) { }

    /** Returns the scopes. */
    public List<String> scopes() {
        return List.of();
    }

    /** Returns the items of a scope that are in force here, by key. */
    public List<Item> items(String scope) {
        return List.of();
    }

    /** Returns the item in force under a key, or null. */
    public Item item(String scope, String key) {
        return null;
    }

    /** Returns up to which version all of a scope is in force here; 0 before anything has come. */
    public long version(String scope) {
        return 0;
    }

    /** Returns how long ago the scope's source last confirmed that this is all there is, in microseconds; -1 for never. */
    public long ageUs(String scope, long nowUs) {
        return -1;
    }

    /** Returns the machine that the scope is got from; -1 where it is not subscribed to. */
    public int source(String scope) {
        return -1;
    }
}
