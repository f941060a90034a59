package grebehoist.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** What is yet to be passed on, what was passed on least first (SWIM, 4.1). For each member one rumour and one finding at most. */
final class NewsQueue {
    /** Nothing is shorter, in bytes. */
    private static final int LEAST = 5;
    /** So many are looked at for what still fits. */
    private static final int MOST_LOOKS = 80;

    private record Queued(News news, int times) {}

    private final Map<Integer, Queued> bySubject = new HashMap<>();
    private final SortedMap<Integer, Set<Queued>> byTimes = new TreeMap<>();

    private static int key(News news) {
        return 2 * news.subject() + (news instanceof News.Reach ? 1 : 0);
    }

    void add(News news) {
        add(news, 0);
    }

    /** Adds what counts as passed on so often already. */
    void add(News news, int times) {
        put(new Queued(news, times));
    }

    private void put(Queued q) {
        Queued before = bySubject.put(key(q.news()), q);
        if (before != null) {
            leave(before);
        }
        byTimes.computeIfAbsent(q.times(), t -> new LinkedHashSet<>()).add(q);
    }

    private void leave(Queued q) {
        Set<Queued> same = byTimes.get(q.times());
        same.remove(q);
        if (same.isEmpty()) {
            byTimes.remove(q.times());
        }
    }

    boolean isEmpty() {
        return bySubject.isEmpty();
    }

    int size() {
        return bySubject.size();
    }

    /**
     * Takes what fits; what has been passed on often enough goes away.
     *
     * @param room in bytes
     * @param except nothing that is about this member
     */
    List<News> take(int room, int times, int except) {
        var taken = new ArrayList<Queued>();
        int left = room;
        int looks = 0;
        for (Set<Queued> same : byTimes.values()) {
            for (Queued q : same) {
                if (left < LEAST || ++looks > MOST_LOOKS) {
                    break;
                }
                int bytes = MessageCodec.bytes(q.news());
                if (bytes <= left && q.news().subject() != except) {
                    left -= bytes;
                    taken.add(q);
                }
            }
        }
        for (Queued q : taken) {
            if (q.times() + 1 >= times) {
                leave(q);
                bySubject.remove(key(q.news()));
            } else {
                put(new Queued(q.news(), q.times() + 1));
            }
        }
        return taken.stream().map(Queued::news).toList();
    }
}
