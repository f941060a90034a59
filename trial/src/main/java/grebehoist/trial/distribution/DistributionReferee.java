package grebehoist.trial.distribution;

import grebehoist.fleet.distribution.Item;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Knows what writers were told and what came into force where, and says what must not be. A scope of which two holders have lost their memory together is
 * excused from then on: what only these two had is lost, as is said of the design.
 */
final class DistributionReferee {
    /** What must not be. */
    record Finding(String what, long atUs, String how) {
        @Override
        public String toString() {
            return String.format("%s at %.2f s: %s", what, atUs / 1e6, how);
        }
    }

    /** A change by what it does; each that a writer makes differs from all others. */
    private record Content(int kind, String key, int value) {
        static Content of(Item item) {
            return new Content(item.kind(), item.key(), item.value() == null ? -1 : Arrays.hashCode(item.value()));
        }
    }

    private static final int MOST_FOUND = 20;

    private final int enough;
    private final List<Finding> findings = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Set<String> excused = new HashSet<>();
    private final Map<String, TreeMap<Long, Item>> committed = new HashMap<>();
    private final Map<String, Set<Content>> refused = new HashMap<>();
    private final Map<Item, Set<Integer>> holding = new HashMap<>();
    /** Of each life of a proxy: up to where each scope was said to be in force. */
    private final Map<Integer, Map<String, Long>> inForce = new HashMap<>();

    /** Makes one who holds that so many holders of a change are enough. */
    DistributionReferee(int enough) {
        this.enough = enough;
    }

    void found(String what, long atUs, String how) {
        if (findings.size() < MOST_FOUND) {
            findings.add(new Finding(what, atUs, how));
        }
    }

    void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    List<Finding> findings() {
        return findings;
    }

    Map<String, Integer> counts() {
        return counts;
    }

    void excuse(String scope) {
        if (excused.add(scope)) {
            count("scopes excused");
        }
    }

    boolean excused(String scope) {
        return excused.contains(scope);
    }

    // Writers

    /** A holder has said that it holds a change, whether or not its word came through. */
    void held(int machine, Item change) {
        holding.computeIfAbsent(change, c -> new HashSet<>()).add(machine);
    }

    void taken(long atUs, Item change) {
        count("taken");
        if (refused.getOrDefault(change.scope(), Set.of()).contains(Content.of(change))) {
            found("taken after refused", atUs, change.toString());
        }
        agree(atUs, change, "a writer was told so");
    }

    /** A writer was told that this will never be in force. */
    void refused(long atUs, Item change) {
        count("refused");
        refused.computeIfAbsent(change.scope(), s -> new HashSet<>()).add(Content.of(change));
        for (Item known :
                committed.getOrDefault(change.scope(), new TreeMap<>()).values()) {
            if (Content.of(known).equals(Content.of(change)) && !excused(change.scope())) {
                found("refused and in force", atUs, known.toString());
            }
        }
    }

    // Machines and proxies

    /** Somebody acts on a change as taken; these hold it now. */
    void inForce(long atUs, String by, Item change, Set<Integer> holders) {
        if (excused(change.scope())) {
            return;
        }
        Set<Integer> held = holding.computeIfAbsent(change, c -> new HashSet<>());
        held.addAll(holders);
        if (held.size() < enough) {
            found("in force before it was taken", atUs, change + " at " + by + ", held by " + held);
        }
        if (refused.getOrDefault(change.scope(), Set.of()).contains(Content.of(change))) {
            found("refused and in force", atUs, change + " at " + by);
        }
        agree(atUs, change, by);
    }

    private void agree(long atUs, Item change, String by) {
        Item before =
                committed.computeIfAbsent(change.scope(), s -> new TreeMap<>()).putIfAbsent(change.version(), change);
        if (before != null && !before.equals(change) && !excused(change.scope())) {
            found("two changes of one version", atUs, before + " and " + change + ": " + by);
        }
    }

    void started(int proxy) {
        inForce.remove(proxy);
    }

    /** A proxy says that all of a scope up to a version is in force; these are its items. */
    void inForce(long atUs, int proxy, String scope, long version, List<Item> items) {
        Map<String, Long> of = inForce.computeIfAbsent(proxy, p -> new HashMap<>());
        long before = of.getOrDefault(scope, 0L);
        if (excused(scope)) {
            return;
        }
        if (version <= before) {
            found(
                    "a version that does not grow",
                    atUs,
                    scope + " at proxy " + proxy + ": " + version + " after " + before);
        }
        of.put(scope, version);
        whole(atUs, "proxy " + proxy, scope, version, byKey(items));
    }

    private static Map<String, Item> byKey(Iterable<Item> items) {
        Map<String, Item> last = new HashMap<>();
        items.forEach(i -> last.put(i.key(), i));
        return last;
    }

    /** All that is up to a version must be there, unless something later has its place. */
    private void whole(long atUs, String by, String scope, long version, Map<String, Item> items) {
        TreeMap<Long, Item> all = committed.getOrDefault(scope, new TreeMap<>());
        Map<String, Item> last = byKey(all.values());
        last.forEach((key, item) -> {
            Item has = items.get(key);
            if (item.version() <= version && (item.removed() ? has != null : !item.equals(has))) {
                found(
                        "said to be in force and is not",
                        atUs,
                        item + " at " + by + ", which has " + has + ", at version " + version);
            }
        });
    }

    // The end

    /** All has settled: this is what somebody has of a scope. */
    void settled(long atUs, String by, String scope, long version, List<Item> items) {
        if (excused(scope)) {
            return;
        }
        TreeMap<Long, Item> all = committed.getOrDefault(scope, new TreeMap<>());
        long head = all.isEmpty() ? 0 : all.lastKey();
        if (version != head) {
            found("not settled", atUs, scope + " at " + by + " is at " + version + ", not " + head);
            return;
        }
        whole(atUs, by, scope, version, byKey(items));
        Map<String, Item> last = byKey(all.values());
        for (Item item : items) {
            if (!item.equals(last.get(item.key()))) {
                found("more than was taken", atUs, item + " at " + by + ", taken is " + last.get(item.key()));
            }
        }
    }

    /** Each version up to the last is known. */
    void nothingLost(long atUs, String scope) {
        if (excused(scope)) {
            return;
        }
        TreeMap<Long, Item> all = committed.getOrDefault(scope, new TreeMap<>());
        long expected = 1;
        for (long version : all.keySet()) {
            if (version != expected++) {
                found("a version that is missing", atUs, scope + " has no " + (expected - 1));
                return;
            }
        }
    }
}
