package grebehoist.members;

import beechfall.Balancer;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.State;
import grebehoist.engine.Listed;
import grebehoist.engine.MemberSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Merges what the operators say of backends into what a source lists: a suspended backend is draining, whatever the source
 * says, until it is resumed by all who have suspended it. Stands between a source and the engine. Does no I/O; used by the
 * engine's thread alone.
 *
 * <p>Operators restart a backend while it is suspended, and the source may tell of that only seconds after it is back.
 * So a resumed backend counts as started at that moment (rule 4), until the source lists another start.
 */
public final class Suspensions implements MemberSource.Sink {
    /** A backend that is back: what the source listed as its start then, and the start that it counts as having had. */
    private record Resumed(long listedStartUs, long countedStartUs) {}

    private final MemberSource.Sink next;
    /** What the source has listed, by id; what is gone from the list is gone here. */
    private final Map<String, Listed> list = new LinkedHashMap<>();
    /** What is suspended here, and what is for the whole fleet. */
    private Set<String> here = Set.of();

    private Set<String> everywhere = Set.of();
    /** When each was suspended, by whomever first; it may have left the list since. */
    private final Map<String, Long> suspended = new HashMap<>();
    /** Only of listed backends, so there are no more than these. */
    private final Map<String, Resumed> resumed = new HashMap<>();

    /**
     * Makes one that nothing is suspended in.
     *
     * @param next hears the merged list
     */
    public Suspensions(MemberSource.Sink next) {
        this.next = next;
    }

    /** Returns whether the source lists a backend now. */
    public boolean lists(String id) {
        return list.containsKey(id);
    }

    /** Returns whether a backend is suspended. */
    public boolean holds(String id) {
        return suspended.containsKey(id);
    }

    /** Returns what the source has listed, as it has listed it. */
    public List<Listed> listed() {
        return List.copyOf(list.values());
    }

    /** Returns how many of the listed backends are suspended. */
    public int suspendedOfList() {
        return (int) suspended.keySet().stream().filter(list::containsKey).count();
    }

    @Override
    public void members(ListKind kind, List<Listed> news) {
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            list.clear();
        }
        for (Listed l : news) {
            String id = l.backend().id();
            if (l.backend().state() == State.GONE) {
                list.remove(id);
            } else {
                list.put(id, l);
            }
            Resumed back = resumed.get(id);
            if (back != null && l.backend().startedAtUs() != back.listedStartUs) {
                resumed.remove(id);
            }
        }
        resumed.keySet().retainAll(list.keySet());
        next.members(kind, news.stream().map(this::merged).toList());
    }

    /**
     * Sets what operators have suspended here from now on. What changes is told at once: a backend is back when neither they
     * nor the whole fleet suspend it.
     *
     * @param ids all that are suspended here
     * @param nowUs the time, Unix time in microseconds
     */
    public void set(Set<String> ids, long nowUs) {
        here = ids;
        apply(nowUs);
    }

    /** As {@link #set}, for what is suspended for the whole fleet. */
    public void setEverywhere(Set<String> ids, long nowUs) {
        everywhere = ids;
        apply(nowUs);
    }

    private void apply(long nowUs) {
        var ids = new HashSet<>(here);
        ids.addAll(everywhere);
        var back = new HashSet<>(suspended.keySet());
        back.removeAll(ids);
        boolean changed = !back.isEmpty();
        for (String id : ids) {
            if (suspended.putIfAbsent(id, nowUs) == null) {
                changed = true;
                resumed.remove(id);
            }
        }
        for (String id : back) {
            long since = suspended.remove(id);
            Listed l = list.get(id);
            if (l != null && l.backend().startedAtUs() < since) {
                resumed.put(id, new Resumed(l.backend().startedAtUs(), nowUs));
            }
        }
        if (changed) {
            // The whole list as it is known, and not as news from its source: the module may be waiting to ask it
            // again.
            next.members(
                    ListKind.CACHED, list.values().stream().map(this::merged).toList());
        }
    }

    private Listed merged(Listed l) {
        Balancer.Backend b = l.backend();
        State state = b.state() == State.READY && suspended.containsKey(b.id()) ? State.DRAINING : b.state();
        Resumed back = resumed.get(b.id());
        long started = back == null ? b.startedAtUs() : back.countedStartUs;
        if (state == b.state() && started == b.startedAtUs()) {
            return l;
        }
        return new Listed(
                new Balancer.Backend(b.id(), state, b.kind(), b.zone(), b.cell(), started, b.weight()), l.address());
    }
}
