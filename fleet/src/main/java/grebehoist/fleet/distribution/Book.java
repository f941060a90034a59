package grebehoist.fleet.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** A holder's copy of a scope: the items, and the changes that survive, removals for a time among them, in the order of their versions. */
final class Book {
    private record Tombstone(String key, long version, long atUs) {}

    private final Rules rules;
    private final Replica replica;
    private final TreeMap<Long, Item> chain = new TreeMap<>();
    /** Versions of the removals that survive, by key. */
    private final Map<String, Long> removed = new HashMap<>(4);

    private final Deque<Tombstone> tombstones = new ArrayDeque<>(2);
    private long floor;

    Book(String scope, Rules rules) {
        this.rules = rules;
        this.replica = new Replica(scope, rules);
    }

    Replica replica() {
        return replica;
    }

    long head() {
        return replica.have();
    }

    /** Removals up to this version may have been forgotten. */
    long floor() {
        return floor;
    }

    void floor(long least) {
        floor = Math.max(floor, least);
    }

    /** Returns the version of the last change that survives; 0 for none. */
    long last() {
        return chain.isEmpty() ? 0 : chain.lastKey();
    }

    /** Returns the change that survives next after a version; null for none. */
    Link after(long version) {
        Map.Entry<Long, Item> next = chain.higherEntry(version);
        if (next == null) {
            return null;
        }
        Long before = chain.lowerKey(next.getKey());
        return Link.of(before == null ? 0 : before, next.getValue());
    }

    /** Returns whether so many changes at least survive after one version and up to another one. */
    boolean between(long from, long to, int least) {
        int n = 0;
        for (long ignored : chain.subMap(from, false, Math.max(from, to), true).keySet()) {
            if (++n >= least) {
                return true;
            }
        }
        return false;
    }

    /** Returns the surviving change of a version; null where none is. */
    Item at(long version) {
        return chain.get(version);
    }

    void take(long nowUs, Link link, int mostTombstones, Replica.Sink sink) {
        replica.take(link, (item, before) -> {
            if (before != null) {
                chain.remove(before.version());
            }
            Long tombstone = removed.remove(item.key());
            if (tombstone != null) {
                chain.remove(tombstone);
            }
            if (!item.removed()) {
                chain.put(item.version(), item);
            } else if (rules.remembers(item)) {
                chain.put(item.version(), item);
                removed.put(item.key(), item.version());
                tombstones.addLast(new Tombstone(item.key(), item.version(), nowUs));
                if (tombstones.size() > mostTombstones) {
                    forget(tombstones.removeFirst());
                }
            }
            sink.applied(item, before);
        });
    }

    /** Forgets removals that were made before a time. */
    void forgetUntil(long untilUs) {
        while (!tombstones.isEmpty() && tombstones.peekFirst().atUs() < untilUs) {
            forget(tombstones.removeFirst());
        }
    }

    private void forget(Tombstone t) {
        floor = Math.max(floor, t.version());
        if (removed.remove(t.key(), t.version())) {
            chain.remove(t.version());
        }
    }

    /** Returns how many removals are remembered. */
    int tombstones() {
        return removed.size();
    }
}
