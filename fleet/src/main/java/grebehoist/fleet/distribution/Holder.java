package grebehoist.fleet.distribution;

import java.util.List;

/** What a control machine holds, and what it gives to proxies and its fellow holders. Got from a {@link DistributionNode}. */
public final class Holder {
    Holder() { }

    /** Answers a writer's call. Never null. */
    public Answer answer(long nowUs, Call call) {
        return new Answer.Refusal("to come", -1, false);
    }

    /** Returns the names of the scopes that are held. */
    public List<String> scopes() {
        return List.of();
    }

    /** Returns the items of a scope that are in force, by key; empty where there is no such scope. */
    public List<Item> items(String scope) {
        return List.of();
    }

    /** Returns the version of a scope's last change that was taken, as known here; -1 where there is no such scope. */
    public long version(String scope) {
        return -1;
    }

    /** Returns whether this counts as a holder of a scope: it knows what its fellow holders knew when it started. */
    public boolean counts(String scope) {
        return false;
    }

    /** Returns how many of the other machines have not told yet what they hold since this one started. */
    public int unheard() {
        return 0;
    }

    /** Returns how far a scope has got; null where there is no such scope. */
    public Progress progress(long nowUs, String scope) {
        return null;
    }
}
