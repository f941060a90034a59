package grebehoist.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests that may have run and must not run again: what comes again under such an id is the same request. An answer does not end
 * that, as its client may have left just before it, or right behind it without having read it. Kept for a bounded time and in a bounded
 * number, the newest. Used by the engine's thread.
 */
final class RecentRequests {
    /** Longer than any client of the operators' pages waits before it asks again. */
    static final long KEPT_US = 10_000_000;
    /** What fits into a megabyte or two. */
    static final int MOST = 8_192;

    /** When each was put here, the oldest first. */
    private final Map<String, Long> ended = new LinkedHashMap<>();

    /** A request has ended, and may have run. */
    void add(String id, long nowUs) {
        forgetOld(nowUs);
        ended.remove(id);
        ended.put(id, nowUs);
        if (ended.size() > MOST) {
            removeOldest();
        }
    }

    /** Returns whether a request of this id may have run. */
    boolean contains(String id, long nowUs) {
        if (ended.isEmpty()) {
            return false;
        }
        forgetOld(nowUs);
        return ended.containsKey(id);
    }

    private void forgetOld(long nowUs) {
        while (!ended.isEmpty() && nowUs - ended.values().iterator().next() > KEPT_US) {
            removeOldest();
        }
    }

    private void removeOldest() {
        var oldest = ended.keySet().iterator();
        oldest.next();
        oldest.remove();
    }
}
