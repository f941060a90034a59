package grebehoist.fleet.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The items of a scope up to a version, without gaps. What comes early waits; what comes late or again changes nothing: so it does not matter in which
 * order, how often and by which ways changes come.
 */
final class Replica {
    /** What came into force, and what was there before. */
    interface Sink {
        /** An item is in force; {@code before} is what was, or null. */
        void applied(Item item, Item before);
    }

    /** So much may wait for what is missing before it; the rest is asked for again. */
    static final int MOST_EARLY = 256;

    private static final int MOST_GAPS = 8;

    private final String scope;
    private final Rules rules;
    private final Map<String, Item> items = new HashMap<>(4);
    /** By the version before; null where nothing waits, as nearly always. */
    private TreeMap<Long, Link> early;

    private long have;
    private int hash;

    Replica(String scope, Rules rules) {
        this.scope = scope;
        this.rules = rules;
    }

    /** Returns up to which version all is here. */
    long have() {
        return have;
    }

    /** Returns the hash of the items in force. */
    int hash() {
        return hash;
    }

    /** Returns what is missing before what waits: the first few. */
    List<Message.Gap> gaps() {
        if (early == null) {
            return List.of();
        }
        var gaps = new ArrayList<Message.Gap>();
        long at = have;
        for (Link link : early.values()) {
            if (link.prev() > at && gaps.size() < MOST_GAPS) {
                gaps.add(new Message.Gap(at, link.prev()));
            }
            at = Math.max(at, link.version());
        }
        return gaps;
    }

    /** Returns how much waits. */
    int waiting() {
        return early == null ? 0 : early.size();
    }

    Item item(String key) {
        return items.get(key);
    }

    Collection<Item> items() {
        return items.values();
    }

    List<Item> sorted() {
        var all = new ArrayList<>(items.values());
        all.sort((a, b) -> a.key().compareTo(b.key()));
        return all;
    }

    /** Takes a change, and what has waited for it. */
    void take(Link link, Sink sink) {
        if (link.version() <= have) {
            return;
        }
        if (!rules.follows(have, link.prev(), link.version())) {
            wait(link);
            return;
        }
        apply(link, sink);
        while (early != null && early.firstKey() <= have) {
            Link next = early.pollFirstEntry().getValue();
            early = early.isEmpty() ? null : early;
            if (next.version() > have) {
                apply(next, sink);
            }
        }
    }

    private void wait(Link link) {
        early = early == null ? new TreeMap<>() : early;
        if (early.size() >= MOST_EARLY && early.lastKey() > link.prev()) {
            early.pollLastEntry();
        }
        if (early.size() < MOST_EARLY) {
            early.put(link.prev(), link);
        }
    }

    private void apply(Link link, Sink sink) {
        have = link.version();
        if (link.key() == null) {
            return;
        }
        Item item = link.item(scope);
        Item before = item.removed() ? items.remove(item.key()) : items.put(item.key(), item);
        hash ^= before == null ? 0 : Ids.state(before.key(), before.version());
        hash ^= item.removed() ? 0 : Ids.state(item.key(), item.version());
        sink.applied(item, before);
    }
}
