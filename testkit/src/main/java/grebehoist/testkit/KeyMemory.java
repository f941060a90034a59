package grebehoist.testkit;

import java.util.HashMap;
import java.util.Map;

/** What one group of backends remembers of keyed requests: a repeat within the window does nothing. */
final class KeyMemory {
    private record Entry(long until, String body) {}

    private final Map<String, Entry> entries = new HashMap<>();
    private long sweepAtUs;

    /** Returns the body that was made for this key inside its window, or null where it is new. */
    String recall(String key, long nowUs) {
        Entry entry = entries.get(key);
        return entry == null || entry.until < nowUs ? null : entry.body;
    }

    void remember(String key, String body, long nowUs, long windowUs) {
        entries.put(key, new Entry(nowUs + windowUs, body));
        if (nowUs >= sweepAtUs) {
            sweepAtUs = nowUs + 1_000_000;
            entries.values().removeIf(e -> e.until < nowUs);
        }
    }

    int size() {
        return entries.size();
    }
}
