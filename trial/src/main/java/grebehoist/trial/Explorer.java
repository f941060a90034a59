package grebehoist.trial;

import grebehoist.fleet.FleetNode;
import grebehoist.fleet.membership.Change;
import grebehoist.fleet.membership.Membership;
import grebehoist.fleet.membership.Message;
import grebehoist.fleet.membership.State;
import grebehoist.fleet.membership.Terms;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Goes through everything that can happen to a few members in so many steps, as long as no more than so many things go wrong: at each
 * step each message is delivered, lost, late by a step or comes twice, and each member may crash, start again, be stopped or go on. The real
 * state machines, on a time that moves by steps. After the steps nothing goes wrong any more, and all is to be found out in time.
 */
public final class Explorer {
    /** Time moves by this, in microseconds: a tick. */
    private static final long STEP_US = 250_000;

    private static final long PAUSE_US = 1_000_000;
    static final Terms TERMS = new Terms(
            2 * STEP_US, STEP_US, STEP_US, STEP_US, PAUSE_US, 2 * STEP_US + 100_000, 4_000, 2_000_000, 600_000_000);
    /** Before anything goes wrong all have found each other, or nobody has begun. */
    private static final int QUIET = 10;
    /** So many steps after the last fault all is to be known. */
    private static final int TAIL = 90;

    private static final int MOST_FOUND = 5;
    private static final int FATES = 4;

    /**
     * What was gone through.
     *
     * @param plays ways through, each another one
     * @param states different states of all members together, as far as they show it
     * @param found what must not be, with the way there: the shortest first
     */
    public record Result(long plays, long states, List<String> found) {}

    private final int members;
    private final int steps;
    private final int budget;
    private final boolean converged;
    private final FleetNode.Maker maker;
    private final Set<Long> states = ConcurrentHashMap.newKeySet();
    private final AtomicLong plays = new AtomicLong();
    private final ConcurrentLinkedQueue<String> found = new ConcurrentLinkedQueue<>();

    private Explorer(int members, int steps, int budget, boolean converged, FleetNode.Maker maker) {
        this.members = members;
        this.steps = steps;
        this.budget = budget;
        this.converged = converged;
        this.maker = maker;
    }

    /**
     * Goes through all of it, on all cores.
     *
     * @param budget how many things go wrong at most
     * @param converged whether all know each other before, or all begin with the first step
     */
    public static Result explore(int members, int steps, int budget, boolean converged, FleetNode.Maker maker) {
        var explorer = new Explorer(members, steps, budget, converged, maker);
        // The way on which nothing goes wrong; each other one goes wrong for the first time somewhere along it.
        List<Integer> options = explorer.play(List.of());
        explorer.branches(options, List.of()).parallelStream().forEach(explorer::from);
        return new Result(
                explorer.plays.get(),
                explorer.states.size(),
                explorer.found.stream()
                        .sorted((a, b) -> a.length() - b.length())
                        .toList());
    }

    /** A choice other than the first, at a point of a way. */
    private record Choice(int at, int what) {}

    private List<List<Choice>> branches(List<Integer> options, List<Choice> before) {
        int from = before.isEmpty() ? 0 : before.get(before.size() - 1).at() + 1;
        var branches = new ArrayList<List<Choice>>();
        for (int at = from; at < options.size(); at++) {
            for (int what = 1; what < options.get(at); what++) {
                var longer = new ArrayList<>(before);
                longer.add(new Choice(at, what));
                branches.add(longer);
            }
        }
        return branches;
    }

    private void from(List<Choice> way) {
        List<Integer> options = play(way);
        if (way.size() < budget && found.size() < MOST_FOUND) {
            branches(options, way).forEach(this::from);
        }
    }

    /** Plays one way, and returns how many choices there were at each point of it. */
    private List<Integer> play(List<Choice> way) {
        plays.incrementAndGet();
        var world = new World(way);
        world.run();
        return world.options;
    }

    /** Random numbers that depend on their place alone: the same way is the same play. */
    private static RandomGenerator random(long seed) {
        long[] drawn = {0};
        return () -> {
            long mixed = (seed * 0x9E3779B97F4A7C15L + ++drawn[0]) * 0xBF58476D1CE4E5B9L;
            mixed = (mixed ^ mixed >>> 31) * 0x94D049BB133111EBL;
            return mixed ^ mixed >>> 29;
        };
    }

    private record Sent(int from, int life, int to, int toLife, Message message) {}

    private final class World {
        private final List<Choice> way;
        private final List<Integer> options = new ArrayList<>();
        private final Membership[] machines = new Membership[members];
        private final int[] life = new int[members];
        private final boolean[] stopped = new boolean[members];
        private final long[] stoppedFor = new long[members];
        private final long[] crashedAt = new long[members];
        private final State[][] views = new State[members][members];
        private final long[][] incarnations = new long[members][members];
        private final List<List<Sent>> sockets = new ArrayList<>();
        private List<Sent> sent = new ArrayList<>();
        private List<Sent> late = new ArrayList<>();
        private int taken;
        private boolean choosing;
        private long now = 1_000_000_000;

        World(List<Choice> way) {
            this.way = way;
            for (int i = 0; i < members; i++) {
                sockets.add(new ArrayList<>());
                crashedAt[i] = Long.MIN_VALUE / 2;
            }
        }

        void run() {
            for (int i = 0; i < members; i++) {
                begin(i);
            }
            for (int step = 0; converged && step < QUIET; step++) {
                step();
            }
            choosing = true;
            for (int step = 0; step < steps; step++) {
                happens();
                step();
            }
            choosing = false;
            for (int i = 0; i < members; i++) {
                stopped[i] = false;
            }
            for (int step = 0; step < TAIL; step++) {
                step();
            }
            // One that alone is left can't tell whether it is cut off: what it knew last stays.
            long left = Arrays.stream(machines).filter(m -> m != null).count();
            for (int by = 0; by < members && left > 1; by++) {
                for (int of = 0; of < members; of++) {
                    if (by != of
                            && machines[by] != null
                            && (machines[of] == null ? views[by][of].mayAct() : views[by][of] != State.ALIVE)) {
                        wrong("member " + by + " holds " + of + " " + views[by][of] + ", which "
                                + (machines[of] == null ? "crashed" : "runs"));
                    }
                }
            }
        }

        private int choose(int of) {
            if (!choosing) {
                return 0;
            }
            int at = options.size();
            options.add(of);
            if (taken < way.size() && way.get(taken).at() == at) {
                return way.get(taken++).what();
            }
            return 0;
        }

        /** Nothing, or one member crashes or starts again, or is stopped or goes on. */
        private void happens() {
            int what = choose(1 + 2 * members) - 1;
            if (what < 0) {
                return;
            }
            int who = what / 2;
            if (what % 2 == 1) {
                stopped[who] = machines[who] != null && !stopped[who];
            } else if (machines[who] == null) {
                begin(who);
            } else {
                machines[who] = null;
                stopped[who] = false;
                crashedAt[who] = now;
                life[who]++;
            }
        }

        private void begin(int who) {
            int lives = ++life[who];
            Arrays.fill(views[who], State.UNKNOWN);
            Arrays.fill(incarnations[who], 0);
            sockets.get(who).clear();
            machines[who] = maker.make(
                    TERMS, who, members, "n" + who, "z" + who, random(31L * who + lives), new Membership.Output() {
                        @Override
                        public void send(int to, Message message) {
                            // The seal sees to it that only this life of the receiver takes it: it has to have been
                            // heard of.
                            sent.add(new Sent(who, lives, to, life[to], message));
                        }

                        @Override
                        public void changed(Change change) {
                            if (change instanceof Change.Viewed v && life[who] == lives) {
                                viewed(who, v);
                            }
                        }
                    });
            machines[who].start(now);
        }

        private void step() {
            now += STEP_US;
            for (int i = 0; i < members; i++) {
                stoppedFor[i] = stopped[i]
                        ? stoppedFor[i] + STEP_US
                        : machines[i] != null && stoppedFor[i] > PAUSE_US ? stoppedFor[i] : 0;
                if (machines[i] != null && !stopped[i]) {
                    read(i);
                    machines[i].tick(now);
                }
            }
            // Two rounds: a question and its answer take less than a step.
            for (int round = 0; round < 2; round++) {
                List<Sent> moving = sent;
                sent = new ArrayList<>();
                for (Sent s : moving) {
                    switch (choose(FATES)) {
                        case 0 -> arrive(s);
                        case 1 -> {}
                        case 2 -> late.add(s);
                        default -> {
                            arrive(s);
                            late.add(s);
                        }
                    }
                }
            }
            List<Sent> due = late;
            late = new ArrayList<>();
            due.forEach(s -> sockets.get(s.to()).add(s));
            remember();
        }

        private void arrive(Sent s) {
            sockets.get(s.to()).add(s);
            if (!stopped[s.to()]) {
                read(s.to());
            }
        }

        private void read(int who) {
            List<Sent> waiting = new ArrayList<>(sockets.get(who));
            sockets.get(who).clear();
            for (Sent s : waiting) {
                if (machines[who] != null && life[who] == s.toLife() && life[s.from()] == s.life()) {
                    machines[who].received(now, s.from(), s.message());
                }
            }
        }

        private void viewed(int by, Change.Viewed v) {
            int of = v.member();
            if (by == of) {
                if (v.state() != State.ALIVE) {
                    wrong("member " + by + " holds itself " + v.state());
                }
                return;
            }
            if (!views[by][of].mayAct() && v.state().mayAct() && v.incarnation() <= incarnations[by][of]) {
                wrong("member " + by + " holds " + of + " " + v.state() + " at incarnation " + v.incarnation()
                        + " after " + views[by][of]);
            }
            boolean running =
                    machines[of] != null && stoppedFor[of] <= PAUSE_US && now - crashedAt[of] > TAIL * STEP_US;
            if (v.state() == State.DEAD && running) {
                wrong("member " + by + " holds " + of + " dead, which ran all the time");
            }
            views[by][of] = v.state();
            incarnations[by][of] = v.incarnation();
        }

        private void wrong(String what) {
            if (found.size() < MOST_FOUND) {
                found.add(what + ", by " + way);
            }
        }

        /** The state that all show: who holds what of whom, and who runs. */
        private void remember() {
            long hash = 17;
            for (int i = 0; i < members; i++) {
                hash = 31 * hash + (machines[i] == null ? 1 : stopped[i] ? 2 : 3);
                if (machines[i] == null) {
                    continue;
                }
                hash = 31 * hash
                        + (machines[i].present() ? 1 : 0)
                        + (machines[i].isCutOff() ? 2 : 0)
                        + (machines[i].isNotHeard() ? 4 : 0);
                for (int j = 0; j < members; j++) {
                    hash = (hash * 31 + machines[i].state(j).ordinal()) * 31 + machines[i].incarnation(j);
                    hash = 31 * hash + machines[i].notReachedBy(j).hashCode();
                }
                hash = 31 * hash + machines[i].seen(i, now).incarnation();
            }
            states.add(hash * 0x9E3779B97F4A7C15L
                    + IntStream.range(0, members)
                            .map(i -> sockets.get(i).size())
                            .sum());
        }
    }
}
