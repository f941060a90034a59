package grebehoist.trial.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * Times from taken to in force, from what the writer was told and what each hollow proxy says. It knows no protocol. Called by several
 * threads; judged once at the end.
 */
final class Judge {
    /** A change is in force everywhere reachable within so long. */
    static final long WORST_US = 11_000_000;

    private static final int MOST_FINDINGS = 30;

    /** A version of a scope that was taken, and when. */
    private record Taken(long version, long askedUs, long takenUs) {}

    /** A proxy has this version of a scope in force. */
    private record Seen(long version, long atUs) {}

    /** A fault of a kind, or a proxy that can't be reached: from when, until when. */
    private record Span(String kind, long fromUs, long untilUs) {
        boolean meets(long from, long until) {
            return fromUs <= until && from <= untilUs;
        }
    }

    /**
     * What came of it.
     *
     * @param findings what must not be
     * @param delays taken to in force in microseconds, by what was wrong meanwhile
     * @param excused pairs of a change and a proxy that a fault kept from it, judged from the fault's end on in {@code delays}
     * @param gone pairs of a change and a proxy that was (re)started and took it with its fill, or that was still cut off at the end
     */
    record Judgement(
            List<String> findings,
            Map<String, Histogram> delays,
            Histogram writer,
            long changes,
            long excused,
            long gone) {
        Histogram all() {
            var all = new Histogram(3);
            delays.values().forEach(all::add);
            return all;
        }
    }

    private final Plan plan;
    private final List<String> names;
    private final Map<Integer, List<Taken>> taken = new HashMap<>();
    private final List<Map<Integer, List<Seen>>> seen = new ArrayList<>();
    private final List<List<Span>> starts = new ArrayList<>();
    /** For each proxy, of the fleet's scope and of its cell's. */
    private final List<List<List<Span>>> cuts = new ArrayList<>();

    private final List<Span> faults = new ArrayList<>();
    private final Set<String> findings = new TreeSet<>();
    private long[] base;
    private int found;
    private long lines;

    Judge(Plan plan) {
        this.plan = plan;
        this.names = plan.scopes();
        for (int p = 0; p < plan.everyone(); p++) {
            seen.add(new HashMap<>());
            starts.add(new ArrayList<>());
            cuts.add(List.of(new ArrayList<>(), new ArrayList<>()));
        }
    }

    /** All proxies have these versions; what comes from now on is judged. */
    synchronized void begin(long[] versions) {
        base = versions.clone();
    }

    synchronized void taken(int scope, long version, long askedUs, long takenUs) {
        if (base == null) {
            return;
        }
        List<Taken> of = taken.computeIfAbsent(scope, s -> new ArrayList<>());
        long before = of.isEmpty() ? base[scope] : of.get(of.size() - 1).version();
        if (version <= before) {
            found(names.get(scope) + ": version " + version + " is taken after " + before);
        } else {
            of.add(new Taken(version, askedUs, takenUs));
        }
    }

    synchronized void inForce(int proxy, int scope, long version, long atUs) {
        List<Seen> of = seen.get(proxy).computeIfAbsent(scope, s -> new ArrayList<>());
        long before = of.isEmpty()
                ? base == null ? 0 : base[scope]
                : of.get(of.size() - 1).version();
        if (version < before) {
            found("p" + proxy + " goes back from " + before + " to " + version + " of " + names.get(scope));
        }
        of.add(new Seen(version, atUs));
        lines++;
    }

    /** A proxy that had begun from nothing has at least these versions of all its scopes. */
    synchronized void filled(int proxy, long[] versions, long startedUs, long atUs) {
        starts.get(proxy).add(new Span("start", startedUs, atUs));
        for (int scope : plan.scopesOf(proxy)) {
            seen.get(proxy).computeIfAbsent(scope, s -> new ArrayList<>()).add(new Seen(versions[scope], atUs));
        }
    }

    synchronized void fault(String kind, long fromUs, long untilUs) {
        faults.add(new Span(kind, fromUs, untilUs));
    }

    /** No machine that has the fleet's scope, or those of the proxy's cell, could be reached by it. */
    synchronized void cut(int proxy, boolean fleet, long fromUs, long untilUs) {
        cuts.get(proxy).get(fleet ? 0 : 1).add(new Span("cut", fromUs, untilUs));
    }

    synchronized void found(String text) {
        found++;
        if (findings.size() < MOST_FINDINGS) {
            findings.add(text);
        }
    }

    /** Returns how many lines said that something is in force. */
    synchronized long lines() {
        return lines;
    }

    /** Returns what was found, the first ones, and how many there are. */
    synchronized List<String> findings() {
        var told = new ArrayList<>(findings);
        if (found > findings.size()) {
            told.add(found + " findings in all");
        }
        return told;
    }

    /** Judges all that was told. */
    synchronized Judgement judge(long endUs) {
        Map<String, Histogram> delays = new TreeMap<>();
        var writer = new Histogram(3);
        long changes = 0;
        long[] excused = new long[2];
        for (List<Taken> of : taken.values()) {
            changes += of.size();
            of.forEach(t -> writer.recordValue(Math.max(0, t.takenUs() - t.askedUs())));
        }
        for (int p = 0; p < plan.everyone(); p++) {
            for (int scope : plan.scopesOf(p)) {
                List<Taken> of = taken.get(scope);
                if (of != null) {
                    judge(p, scope, of, endUs, delays, excused);
                }
            }
        }
        return new Judgement(findings(), delays, writer, changes, excused[0], excused[1]);
    }

    private void judge(
            int proxy, int scope, List<Taken> changes, long endUs, Map<String, Histogram> delays, long[] excused) {
        List<Seen> events = seen.get(proxy).getOrDefault(scope, List.of());
        int at = 0;
        for (Taken change : changes) {
            while (at < events.size() && events.get(at).version() < change.version()) {
                at++;
            }
            long inForceUs = at < events.size()
                    ? Math.max(change.takenUs(), events.get(at).atUs())
                    : Long.MAX_VALUE;
            long untilUs = Math.min(inForceUs, endUs);
            if (starts.get(proxy).stream().anyMatch(s -> s.meets(change.takenUs(), untilUs))) {
                excused[1]++;
                continue;
            }
            List<Span> cut = cuts.get(proxy).get(scope == 0 ? 0 : 1).stream()
                    .filter(s -> s.meets(change.takenUs(), untilUs))
                    .toList();
            long fromUs = change.takenUs();
            if (!cut.isEmpty()) {
                fromUs = Math.max(
                        fromUs, cut.stream().mapToLong(Span::untilUs).max().orElseThrow());
                if (fromUs >= endUs) {
                    excused[1]++;
                    continue;
                }
                excused[0]++;
            }
            if (inForceUs == Long.MAX_VALUE) {
                found("p" + proxy + " does not have version " + change.version() + " of " + names.get(scope)
                        + " in force, " + (endUs - fromUs) / 1_000 + " ms after it was taken or the way to it is open");
                continue;
            }
            long delayUs = Math.max(0, inForceUs - fromUs);
            delays.computeIfAbsent(cut.isEmpty() ? during(fromUs, inForceUs) : "after a cut", k -> new Histogram(3))
                    .recordValue(delayUs);
            if (delayUs > WORST_US) {
                found(String.format(
                        Locale.ROOT,
                        "p%d has version %d of %s in force %.1f s after it was taken",
                        proxy,
                        change.version(),
                        names.get(scope),
                        delayUs / 1e6));
            }
        }
    }

    private String during(long fromUs, long untilUs) {
        var kinds = faults.stream()
                .filter(f -> f.meets(fromUs, untilUs))
                .sorted(Comparator.comparing(Span::kind))
                .map(Span::kind)
                .collect(Collectors.toCollection(LinkedHashSet::new));
        return kinds.isEmpty() ? "calm" : String.join("+", kinds);
    }

    /** Returns whether all proxies say that they have at least these versions of all their scopes in force. */
    synchronized boolean all(long[] versions) {
        return all(versions, 0);
    }

    /** The same of those from a number on. */
    synchronized boolean all(long[] versions, int from) {
        for (int p = from; p < plan.everyone(); p++) {
            for (int scope : plan.scopesOf(p)) {
                List<Seen> of = seen.get(p).getOrDefault(scope, List.of());
                long have = of.isEmpty()
                        ? base == null ? 0 : base[scope]
                        : of.get(of.size() - 1).version();
                if (have < versions[scope]) {
                    return false;
                }
            }
        }
        return true;
    }
}
