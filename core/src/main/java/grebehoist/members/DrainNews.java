package grebehoist.members;

import beechfall.Balancer.ListKind;
import beechfall.Balancer.State;
import grebehoist.engine.Listed;
import grebehoist.engine.MemberSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * What one process of a proxy and the others have been told by discovery of backends that drain or are gone. A proxy has been told when any of its
 * processes has, and each of them is to act on it, also one that discovery does not answer.
 *
 * <p>Stands between the source of backends and what is behind it, and lets everything pass. Does no I/O; used by the engine's thread alone.
 */
public final class DrainNews implements MemberSource.Sink {
    /** News is told to the others, and believed by them, for so long; discovery takes some seconds at most to tell each process itself. */
    public static final long KEPT_MS = 30_000;
    /** So many backends at most are told to the others, the latest. */
    public static final int MOST_TOLD = 1_024;
    /** A whole list may have been on its way for so long, and be older than what another process has been told. */
    private static final long ON_ITS_WAY_MS = 1_000;

    private final MemberSource.Sink next;
    private final LongSupplier clockMs;
    private final Consumer<Map<String, Long>> publish;
    /** What the source has listed, by id. */
    private final Map<String, State> listed = new HashMap<>();
    /** When the source last told of a backend by itself. */
    private final Map<String, Long> changedAt = new HashMap<>();

    private long wholeAt = Long.MIN_VALUE / 2;
    /** When this process, and when another, was told that a backend drains or is gone. */
    private final Map<String, Long> told = new HashMap<>();

    private Map<String, Long> toldElsewhere = Map.of();

    /**
     * Makes one that knows nothing.
     *
     * @param next hears what the source tells
     * @param clockMs a clock that all processes of this machine share, in milliseconds
     * @param publish hears when this process was told what, by backend, whenever that changes
     */
    public DrainNews(MemberSource.Sink next, LongSupplier clockMs, Consumer<Map<String, Long>> publish) {
        this.next = next;
        this.clockMs = clockMs;
        this.publish = publish;
    }

    @Override
    public void members(ListKind kind, List<Listed> news) {
        if (kind == ListKind.CACHED) {
            news.forEach(l -> listed.put(l.backend().id(), l.backend().state()));
        } else if (kind != ListKind.FAILED) {
            take(kind, news);
        }
        next.members(kind, news);
    }

    private void take(ListKind kind, List<Listed> news) {
        long now = clockMs.getAsLong();
        var before = Map.copyOf(told);
        if (kind == ListKind.FULL) {
            wholeAt = now;
            var gone = new HashSet<>(listed.keySet());
            news.forEach(l -> gone.remove(l.backend().id()));
            gone.forEach(id -> change(id, State.GONE, now));
        }
        for (Listed l : news) {
            String id = l.backend().id();
            State state = l.backend().state();
            if (kind == ListKind.DELTA || listed.get(id) != state) {
                change(id, state, now);
            }
        }
        told.values().removeIf(at -> now - at >= KEPT_MS);
        changedAt.values().removeIf(at -> now - at >= KEPT_MS);
        if (!told.equals(before)) {
            publish.accept(latest());
        }
    }

    private void change(String id, State state, long now) {
        changedAt.put(id, now);
        if (state == State.READY) {
            told.remove(id);
        } else {
            told.putIfAbsent(id, now);
        }
        if (state == State.GONE) {
            listed.remove(id);
        } else {
            listed.put(id, state);
        }
    }

    private Map<String, Long> latest() {
        if (told.size() <= MOST_TOLD) {
            return Map.copyOf(told);
        }
        var latest = new HashMap<String, Long>();
        told.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .limit(MOST_TOLD)
                .forEach(e -> latest.put(e.getKey(), e.getValue()));
        return Map.copyOf(latest);
    }

    /** Sets what other processes of this proxy have been told, by backend, and when. */
    public void toldElsewhere(Map<String, Long> news) {
        toldElsewhere = news;
    }

    /** Returns the backends that drain by what others have been told, and are ready by what this process's own source has said before that. */
    public Set<String> held() {
        long now = clockMs.getAsLong();
        var held = new HashSet<String>();
        toldElsewhere.forEach((id, at) -> {
            boolean olderHere = at > wholeAt - ON_ITS_WAY_MS && at > changedAt.getOrDefault(id, Long.MIN_VALUE);
            if (now - at < KEPT_MS && listed.get(id) == State.READY && olderHere) {
                held.add(id);
            }
        });
        return held;
    }
}
