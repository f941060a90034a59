package grebehoist.trial;

import grebehoist.fleet.membership.State;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges what members held of each other, by what was done to them. It knows no protocol: who ran when, what was cut when, and what each
 * said that it held. Times are microseconds of one clock. Used by one thread.
 */
public final class Referee {
    /** What a member held of another. */
    private record Held(State state, long incarnation) {}

    private record Span(long fromUs, long toUs, Fault fault) {}

    /** A member may be held dead for what was done to it so long ago. */
    private static final long BLAMED_US = 30_000_000;
    /** The clock that stops a process and the process itself do not agree to the millisecond. */
    private static final long SLACK_US = 300_000;

    private static final long LOOK_US = 1_000_000;
    private static final long NEW_US = 5_000_000;
    private static final int MOST_KEPT = 100_000;
    private static final Set<Fault.Kind> STOPPING =
            EnumSet.of(Fault.Kind.PAUSE, Fault.Kind.KILL, Fault.Kind.RESTART, Fault.Kind.LEAVE);
    private static final int MOST_FINDINGS = 50;

    private final int members;
    private final long pauseUs;
    private final List<Map<Integer, Held>> views = new ArrayList<>();
    private final boolean[] running;
    private final long[] startedAt;
    private final long youngUs;
    /** How many share the load by a member's own count. */
    private final Map<Integer, Integer> sharedBy = new HashMap<>();

    private final List<Span> spans = new ArrayList<>();
    private final List<String> findings = new ArrayList<>();
    /** Who was reached from whom in which second; kept as it is asked for again and again. */
    private final Map<Long, BitSet> lately = new HashMap<>();

    private final Map<String, Integer> counts = new TreeMap<>();

    /**
     * Makes one for so many members, of which none runs yet.
     *
     * @param pauseUs pauses of less than this are borne
     * @param youngUs who has come or woken up so long ago may not be counted by all yet
     */
    public Referee(int members, long pauseUs, long youngUs) {
        this.youngUs = youngUs;
        this.members = members;
        this.pauseUs = pauseUs;
        running = new boolean[members];
        startedAt = new long[members];
        for (int i = 0; i < members; i++) {
            views.add(new HashMap<>());
        }
    }

    /** A member begins a life: it holds nothing yet. */
    public void started(long atUs, int who) {
        running[who] = true;
        startedAt[who] = atUs;
        views.get(who).clear();
        sharedBy.remove(who);
        count("started");
    }

    /** A member runs no more, until it is started again. */
    public void ended(long atUs, int who) {
        running[who] = false;
        sharedBy.remove(who);
        count("ended");
    }

    /** Something is done to members; {@link Long#MAX_VALUE} stands for an end that is yet to be told. */
    public void fault(Fault fault, long fromUs, long toUs) {
        spans.add(new Span(fromUs, toUs, fault));
        lately.clear();
        count("fault " + fault.kind().word());
    }

    /** A member says what it holds of another, or of itself. */
    public void viewed(long atUs, int by, int of, State state, long incarnation) {
        count("view " + state.name().toLowerCase(Locale.ROOT));
        if (by == of) {
            if (state != State.ALIVE) {
                found("self", atUs, "member " + by + " holds itself " + state);
            }
            return;
        }
        Held before = views.get(by).put(of, new Held(state, incarnation));
        if (before != null && !before.state().mayAct() && state.mayAct() && incarnation <= before.incarnation()) {
            found(
                    "raised",
                    atUs,
                    "member " + by + " holds " + of + " " + state + " at incarnation " + incarnation + ", after "
                            + before.state() + " at " + before.incarnation());
        }
        if (before != null && incarnation < before.incarnation() && state != State.ALIVE) {
            found(
                    "back",
                    atUs,
                    "member " + by + " goes back to incarnation " + incarnation + " of " + of + " from "
                            + before.incarnation());
        }
        if (state == State.DEAD && !excused(atUs, by, of)) {
            found(
                    "falsely dead",
                    atUs,
                    "member " + by + " holds " + of + " dead, which ran, was heard of and was not stopped for "
                            + pauseUs / 1_000 + " ms");
        }
        if (state == State.DEAD && running[of]) {
            count("dead while running, excused or not");
        }
    }

    /**
     * Whether what was done to a member, or between it and the one that judges it, is reason enough: it did not run, was stopped for longer
     * than is borne, or for a while there was no way from it to that one, not even over others.
     */
    private boolean excused(long atUs, int by, int of) {
        // Who has just come holds what others hold, and these are judged themselves.
        if (!running[of] || atUs - startedAt[of] < BLAMED_US || atUs - startedAt[by] < NEW_US) {
            return true;
        }
        if (spans.stream()
                .filter(s -> s.fromUs() <= atUs && s.toUs() > atUs - BLAMED_US)
                .anyMatch(s -> switch (s.fault().kind()) {
                    case PAUSE ->
                        s.fault().who().contains(of) && Math.min(atUs, s.toUs()) - s.fromUs() > pauseUs - SLACK_US;
                    case KILL, RESTART, LEAVE -> s.fault().who().contains(of);
                    default -> false;
                })) {
            return true;
        }
        for (long t = Math.max(0, atUs - BLAMED_US); t < atUs - LOOK_US; t += LOOK_US) {
            // A new process believes nobody who has not heard of it: without a way there is none back.
            if (!way(t, of, by) || startedAt[by] > t - BLAMED_US && !way(t, by, of)) {
                return true;
            }
        }
        return false;
    }

    /** Whether there was a way in a second, over members that ran. */
    private boolean way(long t, int from, int to) {
        long second = t / LOOK_US;
        if (lately.size() > MOST_KEPT) {
            lately.clear();
        }
        return lately.computeIfAbsent(second * members + from, k -> reached(second * LOOK_US, from))
                .get(to);
    }

    private BitSet reached(long t, int from) {
        List<Fault> then = spans.stream()
                .filter(s -> s.fromUs() <= t && t < s.toUs())
                .map(Span::fault)
                .toList();
        List<Fault> cuts = then.stream().filter(f -> !f.to().isEmpty()).toList();
        var stands = new BitSet();
        then.stream()
                .filter(f -> STOPPING.contains(f.kind()))
                .flatMap(f -> f.who().stream())
                .forEach(stands::set);
        var reached = new BitSet();
        reached.set(from);
        var next = new ArrayDeque<Integer>(List.of(from));
        while (!next.isEmpty()) {
            int at = next.poll();
            for (int m = reached.nextClearBit(0); m < members; m = reached.nextClearBit(m + 1)) {
                int target = m;
                if (cuts.stream().noneMatch(f -> f.cuts(at, target))) {
                    reached.set(m);
                    if (!stands.get(m)) {
                        next.add(m);
                    }
                }
            }
        }
        return reached;
    }

    /** A member says how many share the load. */
    public void counted(int who, int howMany) {
        sharedBy.put(who, howMany);
    }

    /** All that run and are not stopped must not make more than one fleet; who is not counted by all yet may come on top. */
    public void lookAtShares(long atUs) {
        double sum = 0;
        int young = 0;
        int fewest = Integer.MAX_VALUE;
        for (Map.Entry<Integer, Integer> share : sharedBy.entrySet()) {
            if (!stopped(share.getKey(), atUs)) {
                sum += 1.0 / share.getValue();
                young += young(share.getKey(), atUs) ? 1 : 0;
                fewest = Math.min(fewest, share.getValue());
            }
        }
        if (sum > 1 + 1.0 * young / fewest + 1e-9) {
            found("shares", atUs, "the members share the load as if there were " + sum + " fleets: " + sharedBy);
        }
    }

    private boolean stopped(int who, long atUs) {
        return spans.stream()
                .anyMatch(s -> s.fault().kind() == Fault.Kind.PAUSE
                        && s.fault().who().contains(who)
                        && s.fromUs() <= atUs
                        && atUs < s.toUs());
    }

    /** Whether it has just come, or woken up, or come back after it had left while some can't hear that. */
    private boolean young(int who, long atUs) {
        if (atUs - startedAt[who] < youngUs) {
            return true;
        }
        boolean cut = spans.stream()
                .anyMatch(s -> !s.fault().to().isEmpty() && s.fromUs() <= atUs && s.toUs() > atUs - youngUs);
        return spans.stream()
                .filter(s -> s.fault().who().contains(who) && s.fromUs() <= atUs)
                .anyMatch(s -> switch (s.fault().kind()) {
                    case PAUSE -> s.toUs() > atUs - youngUs;
                    case LEAVE -> cut;
                    default -> false;
                });
    }

    /** All faults are over, and there was time: everybody that runs is to hold everybody that runs alive, and nobody else. */
    public void settled(long atUs) {
        unsettled().forEach(text -> found("unsettled", atUs, text));
    }

    /** Returns who does not hold yet what is so. */
    public List<String> unsettled() {
        var wrong = new ArrayList<String>();
        for (int by = 0; by < members; by++) {
            for (int of = 0; of < members; of++) {
                if (!running[by] || by == of) {
                    continue;
                }
                Held held = views.get(by).get(of);
                State state = held == null ? State.UNKNOWN : held.state();
                if (running[of] ? state != State.ALIVE : state.mayAct()) {
                    wrong.add("member " + by + " holds " + of + " " + state + ", which "
                            + (running[of] ? "runs" : "does not run"));
                }
            }
        }
        return wrong;
    }

    /** What was begun without an end is over. */
    public void healed(Fault fault, long atUs) {
        spans.replaceAll(s -> s.fault() == fault && s.toUs() == Long.MAX_VALUE ? new Span(s.fromUs(), atUs, fault) : s);
        lately.clear();
    }

    /** Something else that must not be. */
    public void found(String what, long atUs, String text) {
        count("FOUND " + what);
        if (findings.size() < MOST_FINDINGS) {
            findings.add(String.format(Locale.ROOT, "%s at %.3f s: %s", what, atUs / 1e6, text));
        }
    }

    /** Counts what happened, for people. */
    public void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    /** Returns what must not be, each with its time. */
    public List<String> findings() {
        return List.copyOf(findings);
    }

    /** Returns what happened, by count. */
    public Map<String, Integer> counts() {
        return Map.copyOf(counts);
    }
}
