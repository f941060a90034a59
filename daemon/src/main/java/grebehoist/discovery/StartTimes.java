package grebehoist.discovery;

import beechfall.Balancer.Backend;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.State;
import grebehoist.engine.Listed;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Translates when backends started, which discovery tells in Unix time, into this process's clock, which shows the machine's wall clock
 * as it was at the process's start. Where that was wrong by seconds or by an hour, a cold backend would pass for a warm one, or a warm one for a
 * cold one.
 *
 * <p>The error can't be read anywhere, but it is bounded by what is seen: nothing has started later than now, and a start that is told on a
 * watch has just happened. Within the tolerance nothing is changed; beyond it the clock is taken for wrong by as much as the
 * nearest observation shows, which errs towards colder backends. The clock is monotonic from the process's start on, so the error does not change.
 * A backend's translated start stays what it was when that start was first seen. Used by the loop's thread.
 */
final class StartTimes {
    /** A start is told on a watch within this, where neither the list nor the clock is late. */
    static final long TOLERANCE_US = 2_000_000;

    private record Start(long listedUs, long countedUs) {}

    private final Map<String, Start> starts = new HashMap<>();
    /** How long before now the latest start of any backend was, by this clock. */
    private long leastAgeUs = Long.MAX_VALUE;
    /** The same of starts that were told as changes. */
    private long leastAgeOfNewsUs = Long.MAX_VALUE;

    private boolean listed;

    /** Returns entries with their starts in this process's clock. */
    List<Listed> translate(ListKind kind, List<Listed> entries, long nowUs) {
        boolean news = kind == ListKind.DELTA && listed;
        entries.forEach(e -> observe(e.backend(), news, nowUs));
        List<Listed> translated = entries.stream().map(this::translated).toList();
        forget(kind, entries);
        listed |= kind != ListKind.CACHED;
        return translated;
    }

    private void observe(Backend backend, boolean news, long nowUs) {
        Start known = starts.get(backend.id());
        long startedUs = backend.startedAtUs();
        if (startedUs <= 0 || known != null && known.listedUs == startedUs) {
            return;
        }
        long ageUs = nowUs - startedUs;
        leastAgeUs = Math.min(leastAgeUs, ageUs);
        if (news) {
            leastAgeOfNewsUs = Math.min(leastAgeOfNewsUs, ageUs);
        }
    }

    /** Returns by how much this clock is ahead, as far as can be seen; negative where it is behind. */
    private long aheadUs() {
        if (leastAgeUs < 0) {
            return leastAgeUs;
        }
        return leastAgeOfNewsUs != Long.MAX_VALUE && leastAgeOfNewsUs > TOLERANCE_US ? leastAgeOfNewsUs : 0;
    }

    private Listed translated(Listed entry) {
        Backend b = entry.backend();
        if (b.startedAtUs() <= 0) {
            return entry;
        }
        Start start = starts.get(b.id());
        if (start == null || start.listedUs != b.startedAtUs()) {
            start = new Start(b.startedAtUs(), b.startedAtUs() + aheadUs());
            starts.put(b.id(), start);
        }
        return start.countedUs == start.listedUs
                ? entry
                : new Listed(
                        new Backend(b.id(), b.state(), b.kind(), b.zone(), b.cell(), start.countedUs, b.weight()),
                        entry.address());
    }

    /** Of backends that are gone nothing is kept. */
    private void forget(ListKind kind, List<Listed> entries) {
        if (kind == ListKind.DELTA) {
            entries.stream()
                    .map(Listed::backend)
                    .filter(b -> b.state() == State.GONE)
                    .forEach(b -> starts.remove(b.id()));
        } else {
            Set<String> named = new HashSet<>();
            entries.forEach(e -> named.add(e.backend().id()));
            starts.keySet().retainAll(named);
        }
    }
}
