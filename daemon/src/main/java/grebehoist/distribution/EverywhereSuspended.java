package grebehoist.distribution;

import grebehoist.fleet.distribution.Item;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Which backends are suspended by an item of any scope that this process holds, and by which. Used by one thread. */
final class EverywhereSuspended {
    private final Map<String, Set<String>> scopes = new HashMap<>();

    /** An item is in force; returns whether a backend is suspended or back by that. */
    boolean applied(Item item) {
        // Another kind under the same key takes a suspension's place.
        return item.kind() == Item.SUSPENSION
                ? scopes.computeIfAbsent(item.key(), k -> new HashSet<>()).add(item.scope())
                        && scopes.get(item.key()).size() == 1
                : removed(item);
    }

    /** An item is no more; returns whether a backend is back by that. */
    boolean removed(Item item) {
        Set<String> by = scopes.get(item.key());
        if (by == null || !by.remove(item.scope()) || !by.isEmpty()) {
            return false;
        }
        scopes.remove(item.key());
        return true;
    }

    /** Returns whether a backend is suspended. */
    boolean holds(String backend) {
        return scopes.containsKey(backend);
    }

    /** Returns all that are suspended. */
    Set<String> ids() {
        return Set.copyOf(scopes.keySet());
    }
}
