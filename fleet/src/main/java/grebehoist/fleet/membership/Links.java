package grebehoist.fleet.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whom this member reaches directly, by what became of its own probes: of each zone the last few outcomes, and the members that answer
 * through others alone. "It is dead" and "it is not reached from here" are different findings, and this is the second.
 */
final class Links {
    /** A member that was missed so often in a row is not reached. */
    static final int MISSED = 3;

    private static final int KEPT = 8;
    private static final int ENOUGH = 4;
    private static final int MOST_ZONES = 64;

    private final Map<String, Deque<Boolean>> outcomes = new HashMap<>();
    private int missing;

    /** One more probe of a member that lives has been answered, directly or through others alone. */
    void note(Entry e, boolean direct) {
        missing += direct ? 0 : 1;
        e.missed = direct ? 0 : Math.min(e.missed + 1, MISSED);
        if (!e.zone.isEmpty() && (outcomes.containsKey(e.zone) || outcomes.size() < MOST_ZONES)) {
            Deque<Boolean> last = outcomes.computeIfAbsent(e.zone, z -> new ArrayDeque<>());
            last.addLast(direct);
            if (last.size() > KEPT) {
                last.removeFirst();
            }
        }
    }

    /** Returns whether anything has ever been missed. */
    boolean changed() {
        return missing > 0;
    }

    /** Returns whether a zone is not reached: three in four of the last probes into it came back through others alone. */
    private boolean lacks(String zone) {
        Deque<Boolean> last = outcomes.getOrDefault(zone, new ArrayDeque<>());
        long direct = last.stream().filter(d -> d).count();
        return last.size() >= ENOUGH && 4 * direct <= last.size();
    }

    /** Returns the zones that are not reached, few enough to be told. */
    List<String> zones() {
        return outcomes.keySet().stream()
                .filter(this::lacks)
                .sorted()
                .limit(News.MOST_REACH)
                .toList();
    }

    /** Returns the members that are not reached beside whole zones, few enough to be told. */
    List<Integer> members(Entry[] entries, List<String> zones) {
        var missed = new ArrayList<Integer>();
        for (Entry e : entries) {
            if (e.missed >= MISSED
                    && e.state.mayAct()
                    && !zones.contains(e.zone)
                    && missed.size() < News.MOST_REACH - zones.size()) {
                missed.add(e.number);
            }
        }
        return missed;
    }
}
