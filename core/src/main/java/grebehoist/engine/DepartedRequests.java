package grebehoist.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests whose clients left before their answer and which may have run: what comes again under such an id is the same request.
 * Kept for a bounded time and in a bounded number, the newest. Used by the engine's thread.
 */
final class DepartedRequests {
    /** Longer than any client of the operators' pages waits before it asks again. */
    static final long KEPT_US = 10_000_000;
    /** What fits into a megabyte or two. */
    static final int MOST = 8_192;

    /** When each was put here, the oldest first. */
    private final Map<String, Long> departed = new LinkedHashMap<>();

    /** A request's client has left, and it may have run. */
    void add(String id, long nowUs) {
        forgetOld(nowUs);
        departed.remove(id);
        departed.put(id, nowUs);
        if (departed.size() > MOST) {
            removeOldest();
        }
    }

    /** Returns whether a request of this id may have run for a client that has left. */
    boolean contains(String id, long nowUs) {
        if (departed.isEmpty()) {
            return false;
        }
        forgetOld(nowUs);
        return departed.containsKey(id);
    }

    private void forgetOld(long nowUs) {
        while (!departed.isEmpty() && nowUs - departed.values().iterator().next() > KEPT_US) {
            removeOldest();
        }
    }

    private void removeOldest() {
        var oldest = departed.keySet().iterator();
        oldest.next();
        oldest.remove();
    }
}
