package grebehoist.trial;

import grebehoist.fleet.FleetNode;
import grebehoist.fleet.lease.LeaseChange;
import grebehoist.fleet.lease.LeaseTerms;
import grebehoist.fleet.lease.Leases;
import grebehoist.fleet.lease.Protocol;
import grebehoist.fleet.membership.Change;
import grebehoist.fleet.membership.Membership;
import grebehoist.fleet.membership.Terms;
import grebehoist.fleet.wire.KeyRing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Members on virtual time: the real state machines, seals and bytes, and between them a network that loses, delays, repeats and cuts as a
 * script says. Equal scripts give equal plays. Each member's clock shows another time.
 */
public final class VirtualFleet {
    /** Hears what members say of what they hold. */
    public interface Listener {
        /** A member says that something has changed. */
        void changed(long atUs, int by, Change change);
    }

    /**
     * The tasks of a fleet.
     *
     * @param tasks so many, 0 for none
     * @param protocol of so many voters; a test puts another one in its place
     * @param drift rates of clocks differ from real time by this at most: what the protocol bears, or more
     */
    public record Tasks(int tasks, IntFunction<Protocol> protocol, double drift) {
        static final Tasks NONE = new Tasks(0, n -> null, 0);

        /** Returns those that hold unless others are set. */
        public static Tasks standard(int tasks) {
            return new Tasks(
                    tasks,
                    n -> new Protocol(LeaseTerms.standard(), n),
                    LeaseTerms.standard().drift());
        }
    }

    /** What was sent: datagrams, their bytes, and those of the longest. */
    public record Traffic(long datagrams, long bytes, int longest) {}

    private static final long S = 1_000_000;
    /** All have found each other by then, and faults begin. */
    static final long FAULTS_FROM_US = 10 * S;

    private static final int SOCKET = 200;
    private static final long YOUNG_US = 10 * S;
    private static final long SLOW_US = 250_000;
    private static final List<KeyRing.Key> KEYS =
            List.of(new KeyRing.Key(1, "a key for trials, of 32 bytes...".getBytes(StandardCharsets.UTF_8)));

    private record Event(long atUs, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return atUs != o.atUs ? Long.compare(atUs, o.atUs) : Long.compare(order, o.order);
        }
    }

    private record Arrived(int from, byte[] bytes) {}

    /** One process. */
    private final class Host {
        private final int number;
        private final long clockUs = random.nextLong(3_600 * S);
        private final double rate = tasks.drift() > 0 ? random.nextDouble(-tasks.drift(), tasks.drift()) : 0;
        private FleetNode node;
        private Leases leases;
        private int life;
        private int pauses;
        private int downs;
        private int slow;
        private final Deque<Arrived> socket = new ArrayDeque<>();

        Host(int number) {
            this.number = number;
        }

        void start() {
            life++;
            socket.clear();
            referee.started(now, number);
            int lives = life;
            node = new FleetNode(
                    new FleetNode.Identity(number, hosts.length, "n" + number, script.zone(number)),
                    terms,
                    new KeyRing(KEYS),
                    new SplittableRandom(random.nextLong()),
                    new FleetNode.Output() {
                        @Override
                        public void send(int to, byte[] datagram) {
                            if (life == lives && node != null) {
                                carry(number, to, datagram);
                            }
                        }

                        @Override
                        public void changed(Change change) {
                            told(number, change);
                        }

                        @Override
                        public void changed(LeaseChange change) {
                            if (life == lives) {
                                held(number, change);
                            }
                        }
                    },
                    maker);
            if (tasks.tasks() > 0) {
                leases = node.share(
                        new FleetNode.Tasks(
                                protocol.terms(),
                                1,
                                plan.voters(),
                                IntStream.range(0, tasks.tasks())
                                        .mapToObj(TaskPlan::name)
                                        .toList(),
                                now / 1_000),
                        protocol);
            }
            node.start(local());
            at(now + random.nextLong(terms.tickUs()), () -> tick(lives));
        }

        /** What its clock shows. */
        private long local() {
            return clockUs + now + (long) (now * rate);
        }

        /** The token of a task that it may act on by its clock, whether or not it is stopped; else 0. */
        long token(int task) {
            return leases == null ? 0 : leases.mayAct(local(), task, 0);
        }

        void end() {
            if (node != null) {
                node = null;
                leases = null;
                life++;
                referee.ended(now, number);
            }
        }

        private void tick(int of) {
            if (life != of) {
                return;
            }
            if (pauses == 0) {
                // What waited in the socket is read before the timer runs, or after it.
                boolean first = random.nextBoolean();
                if (first) {
                    read();
                }
                node.tick(local());
                if (!first) {
                    read();
                }
            }
            at(now + terms.tickUs() + (slow > 0 ? random.nextLong(SLOW_US) : random.nextLong(2_000)), () -> tick(of));
        }

        private void read() {
            while (!socket.isEmpty() && node != null) {
                Arrived next = socket.poll();
                node.received(local(), next.from(), next.bytes());
            }
        }

        void arrive(int from, byte[] bytes) {
            if (node == null || socket.size() >= SOCKET) {
                return;
            }
            socket.add(new Arrived(from, bytes));
            if (pauses == 0 && slow == 0) {
                read();
            }
        }
    }

    private final Script script;
    private final Terms terms;
    private final FleetNode.Maker maker;
    private final Listener listener;
    private final Tasks tasks;
    private final TaskPlan plan;
    private final Protocol protocol;
    /** The greatest token with which each task was held. */
    private final long[] tokens;

    private final long[] freeSince;
    private final List<Long> freeUs = new ArrayList<>();
    private final Referee referee;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Host[] hosts;
    private final List<Fault> active = new ArrayList<>();
    private long now;
    private long order;
    private long datagrams;
    private long bytes;
    private int longest;

    /** Makes a fleet that plays a script. */
    public VirtualFleet(Script script, Terms terms, FleetNode.Maker maker, Listener listener) {
        this(script, terms, maker, listener, Tasks.NONE);
    }

    /** Makes a fleet that has tasks. */
    public VirtualFleet(Script script, Terms terms, FleetNode.Maker maker, Listener listener, Tasks tasks) {
        this.tasks = tasks;
        this.plan = new TaskPlan(tasks.tasks(), script.members());
        this.protocol = tasks.protocol().apply(plan.voters().size());
        this.tokens = new long[tasks.tasks()];
        this.freeSince = new long[tasks.tasks()];
        this.script = script;
        this.terms = terms;
        this.maker = maker;
        this.listener = listener;
        this.random = new SplittableRandom(script.seed() ^ 0x5EEDL);
        this.referee = new Referee(script.members(), terms.pauseUs(), YOUNG_US);
        this.hosts = new Host[script.members()];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new Host(i);
        }
    }

    /** Plays a script with the machine as it is. */
    public static Referee play(Script script, Terms terms) {
        return play(script, terms, Membership::new);
    }

    /** Plays a script to its end, and lets all settle. */
    public static Referee play(Script script, Terms terms, FleetNode.Maker maker) {
        return new VirtualFleet(script, terms, maker, (at, by, change) -> {}).playOut().referee;
    }

    /** Plays a script with tasks to its end, and lets all settle. */
    public static VirtualFleet play(Script script, Terms terms, Tasks tasks) {
        return new VirtualFleet(script, terms, Membership::new, (at, by, change) -> {}, tasks).playOut();
    }

    private VirtualFleet playOut() {
        begin();
        run(script.faults().stream().mapToLong(Fault::endUs).max().orElse(script.lengthUs())
                + FAULTS_FROM_US
                + Script.SETTLE_US);
        referee.settled(now);
        for (int t = 0; t < tasks.tasks(); t++) {
            if (holders(t) != 1) {
                referee.found("idle", now, TaskPlan.name(t) + " is held by " + holders(t) + " after all faults");
            }
        }
        return this;
    }

    /** Starts all members within a second, and the faults from {@link #FAULTS_FROM_US} on. */
    public void begin() {
        for (Host h : hosts) {
            at(random.nextLong(S), h::start);
        }
        for (Fault f : script.faults()) {
            at(FAULTS_FROM_US + f.atUs(), () -> begin(f));
            at(FAULTS_FROM_US + f.endUs(), () -> end(f));
        }
        for (long t = FAULTS_FROM_US + 2 * S; t < FAULTS_FROM_US + script.lengthUs() + Script.SETTLE_US; t += S) {
            at(t, () -> referee.lookAtShares(now));
        }
    }

    /** Goes on until a time. */
    public void run(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs() <= untilUs) {
            Event next = events.poll();
            now = next.atUs();
            next.what().run();
        }
        now = untilUs;
    }

    private void at(long atUs, Runnable what) {
        events.add(new Event(atUs, order++, what));
    }

    private void begin(Fault f) {
        active.add(f);
        referee.fault(f, now, now + f.forUs());
        for (int who : f.who()) {
            Host h = hosts[who];
            switch (f.kind()) {
                case PAUSE -> h.pauses++;
                case SLOW -> h.slow++;
                case KILL, RESTART -> {
                    h.downs++;
                    free(h);
                    h.end();
                }
                case LEAVE -> {
                    h.downs++;
                    if (h.node != null && h.pauses == 0) {
                        h.node.leave(h.local());
                    }
                    at(now + 200_000, () -> {
                        if (h.downs > 0) {
                            h.end();
                        }
                    });
                }
                default -> {}
            }
        }
    }

    private void end(Fault f) {
        active.remove(f);
        for (int who : f.who()) {
            Host h = hosts[who];
            switch (f.kind()) {
                case PAUSE -> h.pauses--;
                case SLOW -> h.slow--;
                case KILL, RESTART, LEAVE -> {
                    if (--h.downs == 0) {
                        h.end();
                        h.start();
                    }
                }
                default -> {}
            }
        }
    }

    private void carry(int from, int to, byte[] datagram) {
        datagrams++;
        bytes += datagram.length;
        longest = Math.max(longest, datagram.length);
        long onItsWayUs = random.nextLong(100, 1_000);
        for (long lateUs : Fault.delaysUs(active, from, to, random)) {
            at(now + onItsWayUs + lateUs, () -> hosts[to].arrive(from, datagram));
        }
    }

    private void told(int by, Change change) {
        if (change instanceof Change.Viewed v) {
            referee.viewed(now, by, v.member(), v.state(), v.incarnation());
        } else if (change instanceof Change.Count c) {
            referee.counted(by, c.sharedBy());
        } else if (change instanceof Change.Twin) {
            referee.count("twin");
        } else if (change instanceof Change.CutOff c && c.is()) {
            referee.count("cut off");
        } else if (change instanceof Change.NotHeard h && h.is()) {
            referee.count("not heard");
        } else if (change instanceof Change.Away) {
            referee.count("away");
        } else if (change instanceof Change.Reaches) {
            referee.count("reach");
        }
        listener.changed(now, by, change);
    }

    /** A member holds a task from now on, or no more. Two holdings can only come to overlap when one begins. */
    private void held(int by, LeaseChange change) {
        int task = change.task();
        if (change instanceof LeaseChange.Held h) {
            referee.count("held");
            for (Host other : hosts) {
                if (other.number != by && other.token(task) > 0) {
                    referee.found(
                            "two holders",
                            now,
                            by + " holds " + TaskPlan.name(task) + " with token " + h.token() + " beside "
                                    + other.number + " with " + other.token(task));
                }
            }
            if (h.token() <= tokens[task]) {
                referee.found(
                        "token",
                        now,
                        by + " holds " + TaskPlan.name(task) + " with token " + h.token() + " after " + tokens[task]);
            }
            tokens[task] = Math.max(tokens[task], h.token());
            if (freeSince[task] > 0) {
                freeUs.add(now - freeSince[task]);
                freeSince[task] = 0;
            }
        } else if (change instanceof LeaseChange.Ended e) {
            referee.count(e.why() == LeaseChange.Why.LAPSED ? "lapsed" : "given back");
        }
    }

    private int holders(int task) {
        int holders = 0;
        for (Host h : hosts) {
            holders += h.token(task) > 0 ? 1 : 0;
        }
        return holders;
    }

    /** A holder dies: from here on its tasks wait for the next one. */
    private void free(Host dead) {
        for (int t = 0; t < tasks.tasks(); t++) {
            if (dead.token(t) > 0 && freeSince[t] == 0) {
                freeSince[t] = now;
            }
        }
    }

    /** Returns how long tasks waited whose holder was killed until somebody else held them, in microseconds. */
    public List<Long> waits() {
        return List.copyOf(freeUs);
    }

    /** Returns who judges. */
    public Referee referee() {
        return referee;
    }

    /** Returns what was sent so far. */
    public Traffic traffic() {
        return new Traffic(datagrams, bytes, longest);
    }
}
