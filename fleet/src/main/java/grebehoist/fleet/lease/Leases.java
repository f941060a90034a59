package grebehoist.fleet.lease;

import grebehoist.fleet.lease.Claim.Phase;
import grebehoist.fleet.lease.LeaseMessage.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;

/**
 * One member's part in the leases of a fleet: it wants tasks, and may be one of the voters. What is safe is decided by {@link Protocol};
 * this decides when to ask whom. No clock, thread or socket: times are microseconds of a clock that never goes back.
 *
 * <p>Kept for each task: a claim, a vote and when to ask next. Which members are alive only says who asks first.
 */
public final class Leases {
    /** Where what it says goes. */
    public interface Output {
        /** Sends a message to a member, which may be this one. */
        void send(int to, LeaseMessage message);

        /** Tells what has changed. */
        void changed(LeaseChange change);
    }

    /**
     * Who this member is.
     *
     * @param life differs from every earlier life of this member
     * @param set the number of the set of voters: who has another one is not answered
     * @param voters numbers of members
     * @param tasks their names; the place in the list is a task's number
     */
    public record Setup(int self, int members, long life, int set, List<Integer> voters, List<String> tasks) {
        public Setup {
            voters = List.copyOf(voters);
            tasks = List.copyOf(tasks);
            if (voters.isEmpty()
                    || voters.stream().distinct().count() < voters.size()
                    || voters.stream().anyMatch(v -> v < 0 || v >= members)) {
                throw new IllegalArgumentException("voters " + voters + " of " + members + " members");
            }
        }
    }

    /** What is held of a task, for people. */
    public record Seen(
            String task, boolean holds, long token, long leftUs, int holder, int place, int granted, int refused) {}

    /** What is known of one task beside the claim. */
    private static final class Task {
        private final String name;
        private final long hash;
        private Claim claim = Claim.NONE;
        /** Null in the silence of a voter, and of a member that is none. */
        private Vote vote;

        private long tryAtUs;
        private long askedAtUs;
        /** How often that question was said again, as far as it makes the next time later. */
        private int asks;

        private long renewAtUs;
        /** Voters that say that somebody else has it, a bit each, and until when, as far as they have said. */
        private long heldBy;

        private long heldUntilUs;
        private int holder = -1;
        private long handedUntilUs;
        /** It is not given home before that. */
        private long homeAtUs;
        /** Something that was begun with this task is over by then. */
        private long busyUntilUs;

        private int place;
        private boolean wanted = true;
        private int granted;
        private int refused;

        Task(String name) {
            this.name = name;
            this.hash = name.chars().asLongStream().reduce(7, (h, c) -> 31 * h + c);
        }
    }

    /** So many of the first members ask for a task; the others would only find it held. */
    private static final int CANDIDATES = 3;

    private static final int MOST_DOUBLED = 2;
    private static final long PLACES_EVERY_US = 500_000;
    private static final long LEARN_EVERY_US = 300_000;
    private static final int LEARN_FROM = 5;
    private static final long HANDED_US = 1_000_000;
    /** A round so far beyond what was heard of is a lie: some 35 years of milliseconds. */
    private static final long INCREDIBLE = 1L << 40;
    /** A task goes home to the member that comes first for it when it was held here for so long, one task a second. */
    private static final long HOME_AFTER_US = 10_000_000;

    private static final long HOME_EVERY_US = 1_000_000;
    /** Or so long where that one would not have it. */
    private static final long NOT_WANTED_US = 60_000_000;

    private final Protocol protocol;
    private final Setup setup;
    private final RandomGenerator random;
    private final IntPredicate alive;
    private final Output out;
    private final Task[] tasks;
    private final boolean voter;
    private boolean speaking;
    private long highest;
    private long startedAt;
    private long placesAt;
    private long learnAt;
    private long wentHomeAt;
    private boolean leaving;
    private long incredible;
    private long otherSets;

    /**
     * Makes one that is yet to be started.
     *
     * @param floor tokens are greater than this: milliseconds of the wall clock, which is used for nothing else
     * @param alive whether a member may be asked to do something, this one included
     */
    public Leases(Protocol protocol, Setup setup, long floor, RandomGenerator random, IntPredicate alive, Output out) {
        if (protocol.voters() != setup.voters().size()) {
            throw new IllegalArgumentException(
                    setup.voters().size() + " voters, and a protocol for " + protocol.voters());
        }
        this.protocol = protocol;
        this.setup = setup;
        this.highest = Math.max(0, floor);
        this.random = random;
        this.alive = alive;
        this.out = out;
        this.tasks = setup.tasks().stream().map(Task::new).toArray(Task[]::new);
        this.voter = setup.voters().contains(setup.self());
    }

    /** Begins: a voter in silence. */
    public void start(long nowUs) {
        startedAt = nowUs;
        for (Task t : tasks) {
            t.tryAtUs = nowUs + random.nextLong(protocol.terms().placeUs() + 1);
        }
        tick(nowUs);
    }

    private boolean silent(long nowUs) {
        return nowUs - startedAt < protocol.silenceUs();
    }

    /** Time has passed: to be called some ten times a lease at least. */
    public void tick(long nowUs) {
        if (leaving) {
            return;
        }
        if (!silent(nowUs)) {
            speak();
        } else if (nowUs >= learnAt) {
            learn(nowUs);
        }
        if (nowUs >= placesAt) {
            placesAt = nowUs + PLACES_EVERY_US;
            for (Task t : tasks) {
                t.place = Places.place(t.hash, setup.self(), setup.members(), alive);
            }
            goHome(nowUs);
        }
        for (int i = 0; i < tasks.length; i++) {
            tick(nowUs, i, tasks[i]);
        }
    }

    /** The silence of a voter is over: it grants nothing that is not beyond all that it has heard of. */
    private void speak() {
        if (voter && !speaking) {
            speaking = true;
            for (Task t : tasks) {
                t.vote = protocol.fresh(highest);
            }
        }
    }

    private void tick(long nowUs, int number, Task t) {
        if (t.claim.token() > 0 && !t.claim.holds(nowUs)) {
            long token = t.claim.token();
            t.claim = t.claim.drop();
            out.changed(new LeaseChange.Ended(number, token, LeaseChange.Why.LAPSED));
        }
        if (t.claim.phase() != Phase.RESTING) {
            if (nowUs - t.claim.sinceUs() > protocol.terms().tryUs()) {
                t.claim = t.claim.rest();
                t.tryAtUs = nowUs + apart(t);
            } else if (nowUs - t.askedAtUs >= protocol.terms().againUs() << t.asks) {
                t.asks = Math.min(t.asks + 1, MOST_DOUBLED);
                ask(nowUs, number, t);
            }
            // Who has just come knows nobody: all would ask for all tasks, and voters that began with it are silent
            // anyway.
        } else if (t.claim.token() > 0
                ? nowUs >= t.renewAtUs
                : t.wanted && t.place < CANDIDATES && nowUs >= t.tryAtUs && !silent(nowUs)) {
            begin(nowUs, number, t);
        }
    }

    /** So long later than others, that they do not ask at the same time again and again. */
    private long apart(Task t) {
        return t.claim.token() > 0
                ? random.nextLong(protocol.terms().againUs())
                : t.place * protocol.terms().placeUs()
                        + random.nextLong(protocol.terms().placeUs() + 1);
    }

    private void begin(long nowUs, int number, Task t) {
        if (highest >= LeaseCodec.MOST_ROUND) {
            return;
        }
        t.heldBy = 0;
        t.asks = 0;
        t.claim = protocol.begin(t.claim, nowUs, new Ballot(++highest, setup.self(), setup.life()));
        ask(nowUs, number, t);
    }

    private void ask(long nowUs, int number, Task t) {
        t.askedAtUs = nowUs;
        Phase phase = t.claim.phase();
        Ballot ballot = t.claim.ballot();
        long answers = t.claim.answers();
        for (int i = 0; i < setup.voters().size(); i++) {
            if ((answers & 1L << i) == 0) {
                say(
                        nowUs,
                        setup.voters().get(i),
                        phase == Phase.PREPARING ? Kind.PREPARE : Kind.PROPOSE,
                        number,
                        ballot,
                        0,
                        Ballot.NONE);
            }
        }
    }

    private void say(long nowUs, int to, Kind kind, int task, Ballot ballot, long leftUs, Ballot other) {
        var message = new LeaseMessage(kind, setup.set(), task, ballot, highest, leftUs, other);
        if (to == setup.self()) {
            received(nowUs, to, message);
        } else {
            out.send(to, message);
        }
    }

    private void learn(long nowUs) {
        learnAt = nowUs + LEARN_EVERY_US;
        var others = new ArrayList<Integer>();
        for (int m = 0; m < setup.members(); m++) {
            if (m != setup.self() && !setup.voters().contains(m) && alive.test(m)) {
                others.add(random.nextInt(others.size() + 1), m);
            }
        }
        setup.voters().stream()
                .filter(v -> v != setup.self())
                .forEach(v -> say(nowUs, v, Kind.LEARN, 0, Ballot.NONE, 0, Ballot.NONE));
        others.stream().limit(LEARN_FROM).forEach(m -> say(nowUs, m, Kind.LEARN, 0, Ballot.NONE, 0, Ballot.NONE));
    }

    /** A message has come from a member. */
    public void received(long nowUs, int from, LeaseMessage m) {
        if (m.set() != setup.set()) {
            otherSets++;
            return;
        }
        long round =
                Math.max(m.highest(), Math.max(m.ballot().round(), m.other().round()));
        if (!hear(round)) {
            return;
        }
        if (m.kind() == Kind.LEARN) {
            say(nowUs, from, Kind.KNOWN, 0, Ballot.NONE, 0, Ballot.NONE);
        } else if (m.task() < tasks.length && m.kind() != Kind.KNOWN) {
            Task t = tasks[m.task()];
            switch (m.kind()) {
                case PREPARE, PROPOSE, RELEASE -> vote(nowUs, from, m, t);
                case HANDOVER -> handed(nowUs, from, m, t);
                default -> answered(nowUs, setup.voters().indexOf(from), m, t);
            }
        }
    }

    /** Somebody has used a round; returns whether that can be believed. */
    private boolean hear(long round) {
        if (round > LeaseCodec.MOST_ROUND || round - highest > INCREDIBLE && highest > INCREDIBLE) {
            incredible++;
            return false;
        }
        highest = Math.max(highest, round);
        return true;
    }

    /** A task is handed to this member, or, with no ballot, handed back by one that does not want it. */
    private void handed(long nowUs, int from, LeaseMessage m, Task t) {
        boolean back = m.ballot().round() == 0;
        if (!t.wanted) {
            if (!back) {
                say(nowUs, from, Kind.HANDOVER, m.task(), Ballot.NONE, 0, Ballot.NONE);
            }
            return;
        }
        t.homeAtUs = back ? nowUs + NOT_WANTED_US : t.homeAtUs;
        t.handedUntilUs = nowUs + HANDED_US;
        t.tryAtUs = nowUs;
        t.place = 0;
    }

    private void vote(long nowUs, int from, LeaseMessage m, Task t) {
        if (!speaking || leaving || m.ballot().member() != from) {
            return;
        }
        if (m.kind() == Kind.RELEASE) {
            t.vote = protocol.release(t.vote, m.ballot());
            return;
        }
        Protocol.Answer answer = m.kind() == Kind.PREPARE
                ? protocol.prepare(t.vote, nowUs, m.ballot())
                : protocol.propose(t.vote, nowUs, m.ballot());
        t.vote = answer.vote();
        if (answer.say() instanceof Protocol.Held held) {
            t.refused++;
            say(nowUs, from, Kind.HELD, m.task(), m.ballot(), held.leftUs(), held.by());
        } else if (answer.say() instanceof Protocol.Higher higher) {
            t.refused++;
            say(nowUs, from, Kind.HIGHER, m.task(), m.ballot(), 0, higher.than());
        } else {
            t.granted += m.kind() == Kind.PROPOSE ? 1 : 0;
            say(
                    nowUs,
                    from,
                    m.kind() == Kind.PREPARE ? Kind.PROMISE : Kind.GRANT,
                    m.task(),
                    m.ballot(),
                    0,
                    Ballot.NONE);
        }
    }

    private void answered(long nowUs, int by, LeaseMessage m, Task t) {
        if (by < 0 || leaving || !t.claim.ballot().equals(m.ballot())) {
            return;
        }
        switch (m.kind()) {
            case PROMISE -> {
                Phase before = t.claim.phase();
                t.claim = protocol.promised(t.claim, nowUs, by, m.ballot());
                if (t.claim.phase() == Phase.PROPOSING && before == Phase.PREPARING) {
                    t.asks = 0;
                    ask(nowUs, m.task(), t);
                }
            }
            case GRANT -> granted(nowUs, by, m, t);
            case HELD -> {
                t.heldBy |= 1L << by;
                t.heldUntilUs = Math.max(t.heldUntilUs, nowUs + m.leftUs());
                t.holder = m.other().member();
                if (2 * (setup.voters().size() - Long.bitCount(t.heldBy))
                        <= setup.voters().size()) {
                    t.claim = t.claim.rest();
                    // Whoever has given it to this one may be heard by the voters a moment later.
                    t.tryAtUs =
                            nowUs < t.handedUntilUs ? nowUs + protocol.terms().againUs() / 4 : t.heldUntilUs + apart(t);
                    t.heldUntilUs = 0;
                }
            }
            case HIGHER -> {
                t.claim = t.claim.rest();
                t.tryAtUs = nowUs + apart(t);
                t.renewAtUs = nowUs + random.nextLong(protocol.terms().againUs());
            }
            default -> {}
        }
    }

    private void granted(long nowUs, int by, LeaseMessage m, Task t) {
        Claim before = t.claim;
        long asked = before.sinceUs();
        t.claim = protocol.granted(before, nowUs, by, m.ballot());
        if (t.claim.phase() == Phase.RESTING && t.claim.holds(nowUs)) {
            t.renewAtUs = asked + protocol.terms().renewUs();
            t.holder = setup.self();
            if (t.claim.token() != before.token()) {
                if (before.token() > 0) {
                    out.changed(new LeaseChange.Ended(m.task(), before.token(), LeaseChange.Why.LAPSED));
                }
                t.homeAtUs = Math.max(t.homeAtUs, nowUs + HOME_AFTER_US);
                out.changed(new LeaseChange.Held(m.task(), t.claim.token(), t.claim.untilUs()));
            }
        }
    }

    /** One task at a time goes to the member that comes first for it, where that one has been there for a while. */
    private void goHome(long nowUs) {
        if (nowUs - wentHomeAt < HOME_EVERY_US) {
            return;
        }
        for (int i = 0; i < tasks.length; i++) {
            Task t = tasks[i];
            if (t.place > 0 && t.claim.holds(nowUs) && nowUs > t.homeAtUs && nowUs >= t.busyUntilUs) {
                wentHomeAt = nowUs;
                giveBack(nowUs, i);
                return;
            }
        }
    }

    /**
     * This member is to do the task no more for now; the next one is told. While something that was begun is not over nothing is given
     * back: the next one would begin beside it. Then the lease ends by itself, or is asked to be given back again.
     */
    public void giveBack(long nowUs, int number) {
        Task t = tasks[number];
        if (t.claim.equals(Claim.NONE) || nowUs < t.busyUntilUs) {
            return;
        }
        Claim given = t.claim;
        t.claim = protocol.give(given);
        t.tryAtUs = nowUs + protocol.terms().leaseUs();
        if (given.token() > 0) {
            out.changed(new LeaseChange.Ended(number, given.token(), LeaseChange.Why.GIVEN_BACK));
        }
        for (int v : setup.voters()) {
            for (Ballot b : List.of(given.held(), given.ballot())) {
                if (b.round() > 0) {
                    say(nowUs, v, Kind.RELEASE, number, b, 0, Ballot.NONE);
                }
            }
        }
        int next = Places.first(t.hash, setup.self(), setup.members(), alive);
        if (next >= 0 && given.token() > 0) {
            say(nowUs, next, Kind.HANDOVER, number, given.held(), 0, Ballot.NONE);
        }
    }

    /** Whether this member is to have a task at all: one whose receiver fails again and again gives it up. */
    public void want(long nowUs, int number, boolean wanted) {
        tasks[number].wanted = wanted;
        if (!wanted) {
            giveBack(nowUs, number);
        }
    }

    /** Ends in good order: gives back what it holds. As a voter it says nothing from then on. */
    public void leave(long nowUs) {
        for (int i = 0; i < tasks.length && !leaving; i++) {
            giveBack(nowUs, i);
        }
        leaving = true;
    }

    /** A receiver has seen a token that is greater than any heard of here: the next ones are greater. */
    public void raise(long token) {
        hear(token);
    }

    /**
     * Returns the token if this member may begin now with something that takes so long at most, else 0. To be asked right before: by a time
     * that was read after everything else.
     */
    public long mayAct(long nowUs, int task, long forUs) {
        Claim claim = tasks[task].claim;
        return claim.holds(nowUs) && nowUs + forUs <= claim.untilUs() ? claim.token() : 0;
    }

    /** As {@link #mayAct}; and until that time, or {@link #done}, the task is not given back. */
    public long act(long nowUs, int task, long forUs, long mostUs) {
        long token = leaving ? 0 : mayAct(nowUs, task, forUs);
        if (token > 0) {
            tasks[task].busyUntilUs = nowUs + mostUs;
        }
        return token;
    }

    /** What was begun is over. */
    public void done(int task) {
        tasks[task].busyUntilUs = 0;
    }

    /** Returns what is held of each task. */
    public List<Seen> seen(long nowUs) {
        return Arrays.stream(tasks)
                .map(t -> new Seen(
                        t.name,
                        t.claim.holds(nowUs),
                        t.claim.holds(nowUs) ? t.claim.token() : 0,
                        Math.max(0, t.claim.untilUs() - nowUs),
                        t.claim.holds(nowUs) ? setup.self() : t.holder,
                        t.place,
                        t.granted,
                        t.refused))
                .toList();
    }

    /** Returns the names of the tasks, by number. */
    public List<String> tasks() {
        return setup.tasks();
    }

    /** Returns how many messages were of another set of voters. */
    public long otherSets() {
        return otherSets;
    }

    /** Returns how many messages told of a round beyond belief. */
    public long incredible() {
        return incredible;
    }

    /** Returns the highest round heard of. */
    long highest() {
        return highest;
    }
}
