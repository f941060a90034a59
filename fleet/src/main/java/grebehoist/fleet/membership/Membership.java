package grebehoist.fleet.membership;

import grebehoist.fleet.wire.Post;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One member's view of the others. Members are numbered as the configuration lists them; who is not listed is none.
 *
 * <p>No clock, thread or socket: each call comes with the time in microseconds, which never goes back, and what is to be sent or told
 * goes to an {@link Output} before it returns. Equal seeds and calls give equal output. Kept for each member: an entry, a rumour and a
 * finding; beside them {@link #MOST_RELAYS} relays.
 */
public class Membership {
    /** Where what it says goes. */
    public interface Output {
        /** Sends a message to a member. */
        void send(int to, Message message);

        /** Tells what has changed. */
        void changed(Change change);
    }

    /** A view of one member, for people. */
    public record Seen(
            int member,
            String name,
            String zone,
            State state,
            long incarnation,
            long ageUs,
            List<Integer> doubters,
            String why,
            News.Reach reach) {}

    /** Somebody's question that this member passes on. */
    private record Relay(int asker, long seq, int target, long untilUs) {}

    /** The probe of this period. */
    private static final class Probe {
        private final int target;
        private final long seq;
        private final long beganUs;
        private final long askUs;
        private final long endUs;
        private final List<Integer> nacks = new ArrayList<>(Terms.HELPERS);
        private long againUs;
        private int asks;
        private List<Integer> asked = List.of();
        private boolean direct;
        private boolean indirect;

        Probe(int target, long seq, long beganUs, long askUs, long endUs) {
            this.target = target;
            this.seq = seq;
            this.beganUs = beganUs;
            this.askUs = askUs;
            this.againUs = askUs - (askUs - beganUs) / 2;
            this.endUs = endUs;
        }
    }

    static final int MOST_RELAYS = 64;
    /** An incarnation that is so far beyond a member's own word is a lie. */
    static final long INCREDIBLE = 1L << 20;
    /** Of so many probes nothing came back at all, not even from those that were asked: it is this member that is cut off. */
    private static final int SILENT = 3;
    /** Or of so many of the last eight, where a single way is left. */
    private static final int MOSTLY_SILENT = 6;
    /** A suspect is looked for by this member itself this often, and by so many of all members at a time. */
    private static final long LOOK_EVERY_US = 1_500_000;

    private static final double LOOKERS = 16;
    private static final int LAST_LOOKS = 3;
    private static final int MOST_ASKS = 2;
    /** Members that are spoken to at a time while few ways are left. */
    private static final int SEEKING = 5;
    /** In this time an objection has gone round, where it gets out at all, and so long it counts that it did not. */
    private static final long NOT_HEARD_US = 3_000_000;

    private static final long NOT_HEARD_FOR_US = 10_000_000;
    /** Whoever was not there for longer may have missed that somebody came back. */
    private static final long MISSED_MUCH_US = 2_000_000;

    private static final long OBJECT_EVERY_US = 1_000_000;
    private static final int OBJECTORS = 50;
    /** How often a member that was never heard of before is told of. */
    private static final int FIRST_TIMES = 4;

    private static final long REACH_EVERY_US = 10_000_000;
    private static final long REACH_KEPT_US = 30_000_000;
    private static final long PULL_EVERY_US = 70_000;
    private static final long PULL_AGAIN_US = 300_000;
    /** What each datagram has beside its body, in bytes. */
    private static final int AROUND = Post.MOST_BYTES - Post.ROOM;

    private static final int WAKE_PINGS = 3;

    private final Terms terms;
    private final int self;
    private final String name;
    private final String zone;
    private final RandomGenerator random;
    private final Output out;
    private final Entry[] entries;
    private final NewsQueue queue = new NewsQueue();
    private final LocalHealth health = new LocalHealth();
    private final Links links = new Links();
    private final FleetSize size;
    private final Map<Long, Relay> relays = new LinkedHashMap<>();
    private final long[] reachAt;
    private final int[] order;
    private int next;
    private int again = -1;
    private long incarnation;
    private boolean leaving;
    private long seq;
    private Probe probe;
    private long startedAt;
    private long tickedAt;
    private long gossipAt;
    private long syncAt;
    private long revisitAt;
    private long objectAt;
    /** How many others have told whom they do not reach. */
    private int reaching;

    private long sizeAt;
    private long pullAt;
    private int pullFrom;
    private long pullSeq;
    private boolean pulling = true;
    private boolean present;
    private long presentFrom = 1;
    private boolean cutOff;
    private boolean notHeard;
    private long notHeardUntil;
    /** When it last objected to what was said of it, and with which incarnation. */
    private long objectedAt;

    private long objectedWith;
    /** The last concluded probes, the newest in the lowest bit: 1 where nothing came back. */
    private int silent;

    private int concluded;
    private int foreign;
    private double bytes;
    private long incredible;
    /** How many are suspect, and whether the count of members may change yet: what is calm costs nothing. */
    private int suspects;

    private boolean unsettled = true;

    /**
     * Makes one that is yet to be started.
     *
     * @param self this member's number, from 0
     * @param name and {@code zone}: what it tells of itself
     */
    public Membership(
            Terms terms, int self, int members, String name, String zone, RandomGenerator random, Output out) {
        this.terms = terms;
        this.self = self;
        this.name = MessageCodec.cut(name);
        this.zone = MessageCodec.cut(zone);
        this.random = random;
        this.out = out;
        this.entries = new Entry[members];
        this.order = new int[members];
        this.reachAt = new long[members];
        for (int i = 0; i < members; i++) {
            entries[i] = new Entry(i);
            order[i] = i;
        }
        this.size = new FleetSize(terms, self, members);
        this.next = members;
        entries[self].name = this.name;
        entries[self].zone = this.zone;
        entries[self].state = State.ALIVE;
    }

    /** Begins: asks others what they know, of this member as well. */
    public void start(long nowUs) {
        startedAt = nowUs;
        tickedAt = nowUs;
        entries[self].sinceUs = nowUs;
        for (Entry e : entries) {
            e.sinceUs = nowUs;
        }
        syncAt = nowUs + Terms.SYNC_US;
        revisitAt = nowUs + Terms.REVISIT_US;
        bytes = terms.bytesPerS();
        if (entries.length == 1) {
            incarnation = 1;
            nowPresent();
            pulling = false;
        } else {
            wakePings();
        }
        tick(nowUs);
    }

    /** Time has passed: to be called every {@link Terms#tickUs}, and never less than that after what came meanwhile was taken in. */
    public void tick(long nowUs) {
        long gap = nowUs - tickedAt;
        tickedAt = nowUs;
        bytes = Math.min(terms.bytesPerS(), bytes + gap * terms.bytesPerS() / 1e6);
        if (wasAway(gap)) {
            wake(nowUs, gap);
        } else if (gap > 2 * terms.tickUs()) {
            health.worse(1);
        }
        if (notHeard && nowUs >= notHeardUntil) {
            notHeard = false;
            out.changed(new Change.NotHeard(false));
        }
        if (cutOff || notHeard) {
            suspicionsWait(gap);
        }
        if (!leaving) {
            probe(nowUs);
            bury(nowUs);
            pull(nowUs);
            revisit(nowUs);
        }
        relays.values().removeIf(r -> {
            if (nowUs >= r.untilUs()) {
                send(r.asker(), Message.Kind.NACK, r.seq(), r.target());
            }
            return nowUs >= r.untilUs();
        });
        gossip(nowUs);
        look(nowUs);
    }

    // What a pause does

    /** Whether a tick that comes so late shows that this process was stopped. */
    protected boolean wasAway(long gapUs) {
        return gapUs > terms.awayUs();
    }

    /** It judges nobody by what it did not hear while it was stopped, tells that it lives, and asks what there is now. */
    private void wake(long nowUs, long gapUs) {
        out.changed(new Change.Away(gapUs));
        probe = null;
        again = -1;
        relays.clear();
        suspicionsWait(gapUs);
        silent = 0;
        concluded = 0;
        if (gapUs > MISSED_MUCH_US) {
            size.forget();
            unsettled = true;
        }
        if (entries.length > 1) {
            present = false;
            unsettled = true;
            presentFrom = seq + 1;
            out.changed(new Change.Present(false));
        }
        if (gapUs > terms.periodUs() && incarnation > 0 && !leaving) {
            raise(incarnation);
        }
        pulling = entries.length > 1;
        pullFrom = 0;
        pullAt = nowUs;
        wakePings();
    }

    private void suspicionsWait(long us) {
        for (Entry e : entries) {
            if (e.suspicion != null) {
                e.suspicion.put(us);
            }
        }
    }

    private void wakePings() {
        for (int i = 0; i < WAKE_PINGS && entries.length > 1; i++) {
            int to = random.nextInt(entries.length);
            if (to != self && entries[to].state.mayAct()) {
                send(to, Message.Kind.PING, ++seq, to);
            }
        }
    }

    private void nowPresent() {
        if (!present) {
            present = true;
            unsettled = true;
            out.changed(new Change.Present(true));
        }
    }

    // Probes

    private void probe(long nowUs) {
        if (probe != null && !probe.direct && nowUs < probe.endUs && nowUs >= probe.againUs) {
            // One in three datagrams lost must not mean that half of the members are asked for, and many of them
            // doubted.
            probe.againUs = nowUs + terms.directUs() / 2;
            send(probe.target, Message.Kind.PING, probe.seq, probe.target);
            if (nowUs >= probe.askUs && probe.asks < MOST_ASKS && !probe.indirect) {
                ask();
            }
        }
        if (probe == null || nowUs >= probe.endUs) {
            if (probe != null) {
                conclude(nowUs);
            }
            begin(nowUs);
        }
    }

    private void begin(long nowUs) {
        int target = again >= 0 && entries[again].state.mayAct() ? again : nextInOrder();
        again = -1;
        // Who judges nobody need not wait: it wants to know when it is over.
        long scale = cutOff ? 1 : patience(health.scale());
        if (target < 0) {
            probe = null;
            return;
        }
        probe = new Probe(target, ++seq, nowUs, nowUs + scale * terms.directUs(), nowUs + scale * terms.periodUs());
        send(target, Message.Kind.PING, probe.seq, target);
    }

    /** All in turn, in an order that is drawn anew for each round (SWIM, 4.3): the time until a member is probed is bounded. */
    private int nextInOrder() {
        for (int tried = 0; tried <= order.length; tried++) {
            if (next >= order.length) {
                for (int i = order.length - 1; i > 0; i--) {
                    int j = random.nextInt(i + 1);
                    int held = order[i];
                    order[i] = order[j];
                    order[j] = held;
                }
                next = 0;
            }
            int candidate = order[next++];
            if (candidate != self && entries[candidate].state.mayAct()) {
                return candidate;
            }
        }
        return -1;
    }

    /** What waits are multiplied by. */
    protected int patience(int scale) {
        return scale;
    }

    private void ask() {
        probe.asks++;
        if (probe.asks == 1) {
            probe.asked = helpers(probe.target);
        }
        probe.asked.forEach(helper -> send(helper, Message.Kind.ASK, probe.seq, probe.target));
    }

    /** Members to ask: of other zones first, each of another one, and nobody that is known not to reach the target. */
    private List<Integer> helpers(int target) {
        var able = new ArrayList<Integer>();
        for (Entry e : entries) {
            if (e.number != self && e.number != target && e.state == State.ALIVE) {
                able.add(random.nextInt(able.size() + 1), e.number);
            }
        }
        var chosen = new ArrayList<Integer>();
        Integer known = fewWays() ? lastAnswered() : -1;
        if (able.remove(known)) {
            chosen.add(known);
        }
        var zones = new ArrayList<String>(List.of(zone));
        while (chosen.size() < Terms.HELPERS && !able.isEmpty()) {
            int best = able.stream()
                    .min(Comparator.comparingInt(m -> (zones.contains(entries[m].zone) ? 1 : 0)
                            + (entries[m].reach != null && entries[m].reach.lacks(target, entries[target].zone)
                                    ? 2
                                    : 0)))
                    .orElseThrow();
            able.remove(Integer.valueOf(best));
            chosen.add(best);
            zones.add(entries[best].zone);
        }
        return chosen;
    }

    private void conclude(long nowUs) {
        Entry e = entries[probe.target];
        boolean anything = probe.direct || probe.indirect || !probe.nacks.isEmpty();
        silent = (silent << 1 | (anything ? 0 : 1)) & 0xFF;
        concluded++;
        if (cutOff && Integer.bitCount(silent & 7) <= 1) {
            cutOff(false);
        }
        if (probe.direct) {
            health.better();
            links.note(e, true);
        } else if (probe.indirect || livesOneSided(nowUs - e.heardAt)) {
            // What was heard before the question may have been its last word.
            if (probe.indirect || e.heardAt > probe.beganUs) {
                links.note(e, false);
            }
            // Once may be chance.
            again = e.missed < Links.MISSED ? e.number : -1;
        } else {
            health.worse(probe.asked.isEmpty() ? 1 : Math.max(0, probe.asked.size() - probe.nacks.size()));
            judge(e, nowUs);
        }
    }

    /** Whether a member that answers nobody's probe is heard all the same: the way to it is cut, or to those that were asked. */
    protected boolean livesOneSided(long silentUs) {
        return silentUs < 3 * terms.periodUs();
    }

    private void judge(Entry e, long nowUs) {
        long others = 0;
        for (Entry other : entries) {
            others += other.number != self && other.state.mayAct() ? 1 : 0;
        }
        boolean all = concluded >= SILENT && Integer.bitCount(silent & 7) == SILENT;
        if (others >= 2 && !cutOff && (all || Integer.bitCount(silent) >= MOSTLY_SILENT)) {
            cutOff(true);
        }
        boolean strange = e.state == State.UNKNOWN && nowUs - startedAt < Terms.GRACE_US;
        if (mayJudge() && !strange && e.state.mayAct()) {
            doubt(e, e.incarnation, self, nowUs);
        }
    }

    /** Whether what was not heard is the fault of those that were silent. */
    protected boolean mayJudge() {
        return present && !cutOff && !notHeard;
    }

    private void cutOff(boolean is) {
        cutOff = is;
        unsettled = true;
        out.changed(new Change.CutOff(is));
        for (Entry e : entries) {
            // What this member found on its way there it has found of itself.
            if (is && e.state == State.SUSPECT && e.suspicion.doubters().equals(List.of(self))) {
                set(e, State.ALIVE, e.incarnation, "it was this member that was cut off");
            }
        }
    }

    /** Somebody has answered. */
    private void answered(int by, long question) {
        if (question < presentFrom || question > seq) {
            return;
        }
        entries[by].answeredAt = tickedAt;
        if (incarnation == 0) {
            object(0);
        }
        nowPresent();
    }

    // Suspicion

    private void doubt(Entry e, long of, int by, long nowUs) {
        if (e.state != State.SUSPECT || e.incarnation < of) {
            e.suspicion = new Suspicion(nowUs);
            e.suspicion.doubt(by);
            set(
                    e,
                    State.SUSPECT,
                    of,
                    by == self ? "not reached by this member, " + helped() : "not reached by " + named(by));
            queue.add(new News.Rumour(e.number, State.SUSPECT, of, by, ""));
        } else if (e.suspicion.doubt(by)) {
            queue.add(new News.Rumour(e.number, State.SUSPECT, of, by, ""));
        }
    }

    private String helped() {
        return probe == null
                ? ""
                : "asked through " + probe.asked.size() + " others, of whom " + probe.nacks.size()
                        + " did not reach it either";
    }

    private String named(int member) {
        return member < 0 ? "somebody" : entries[member].name.isEmpty() ? "member " + member : entries[member].name;
    }

    private void bury(long nowUs) {
        if (cutOff || notHeard || !present || suspects == 0) {
            return;
        }
        for (Entry e : entries) {
            if (e.state == State.SUSPECT) {
                lookFor(e, nowUs);
            }
            if (e.state == State.SUSPECT
                    && isOver(
                            nowUs - silentSince(e.suspicion.sinceUs(), e.heardAt),
                            e.suspicion.doubters().size(),
                            e.suspicion.buriers())
                    && !lastLooks(e, nowUs)) {
                List<Integer> by = e.suspicion.doubters();
                set(
                        e,
                        State.DEAD,
                        e.incarnation,
                        "suspected by " + by.stream().map(this::named).toList() + " for "
                                + terms.leastSuspicionUs(entries.length) / 1_000 + " ms or more, and did not object");
                queue.add(new News.Rumour(e.number, State.DEAD, e.incarnation, self, ""));
            }
        }
    }

    /** Others' doubts may go round where its objection does not: this member asks it itself, and hears it or not. */
    private void lookFor(Entry e, long nowUs) {
        if (looksItself() && nowUs - e.suspicion.lookedAt() >= LOOK_EVERY_US) {
            e.suspicion.looked(nowUs);
            if (random.nextDouble() < LOOKERS / entries.length) {
                send(e.number, Message.Kind.PING, ++seq, e.number);
            }
        }
    }

    /**
     * Nobody is buried on hearsay alone, which may have outrun the objection: it is asked some times more, and that is waited for.
     *
     * @return whether it is still to be waited for
     */
    private boolean lastLooks(Entry e, long nowUs) {
        if (!looksItself()) {
            return false;
        }
        int looks = e.suspicion.lastLooks();
        if (looks < LAST_LOOKS && nowUs - e.suspicion.lookedAt() >= Terms.LAST_LOOK_US / LAST_LOOKS) {
            e.suspicion.looked(nowUs);
            e.suspicion.lastLook();
            send(e.number, Message.Kind.PING, ++seq, e.number);
        }
        return looks < LAST_LOOKS || nowUs - e.suspicion.lookedAt() < Terms.LAST_LOOK_US / LAST_LOOKS;
    }

    protected boolean looksItself() {
        return true;
    }

    /** From when on a suspect has been silent: whoever was heard since then lives, whatever others say. */
    protected long silentSince(long suspectedAt, long heardAt) {
        return Math.max(suspectedAt, heardAt);
    }

    /** Whether a suspicion has lasted. */
    protected boolean isOver(long ageUs, int doubters, int buriers) {
        return Suspicion.over(ageUs, doubters, buriers, terms, entries.length);
    }

    private void set(Entry e, State state, long of, String why) {
        List<Integer> doubters = e.suspicion == null ? List.of() : e.suspicion.doubters();
        suspects += (state == State.SUSPECT ? 1 : 0) - (e.state == State.SUSPECT ? 1 : 0);
        unsettled = true;
        e.state = state;
        e.incarnation = of;
        e.sinceUs = tickedAt;
        e.why = why;
        if (state != State.SUSPECT) {
            e.suspicion = null;
        }
        if (!state.mayAct()) {
            e.missed = 0;
        }
        out.changed(new Change.Viewed(
                e.number, state, of, state == State.SUSPECT || state == State.DEAD ? doubters : List.of(), why));
    }

    // What comes

    /** A message has come from a member, proven to be its own. */
    public void received(long nowUs, int from, Message m) {
        heard(entries[from], m.self(), nowUs);
        for (News n : m.news()) {
            if (n instanceof News.Rumour r) {
                hear(r, nowUs);
            } else if (n instanceof News.Reach r) {
                hear(r, nowUs);
            }
        }
        switch (m.kind()) {
            case PING -> send(from, Message.Kind.ACK, m.seq(), self);
            case ASK -> relay(nowUs, from, m);
            case ACK -> acked(from, m);
            case NACK -> {
                if (probe != null && probe.seq == m.seq() && !probe.nacks.contains(from)) {
                    probe.nacks.add(from);
                }
                answered(from, m.seq());
            }
            case PULL -> page(from, m);
            case PAGE -> {
                answered(from, m.seq());
                if (pulling && m.seq() == pullSeq) {
                    pullFrom = m.subject();
                    pulling = pullFrom < entries.length;
                    pullAt = nowUs + PULL_EVERY_US;
                }
            }
            case NEWS -> {}
            default -> throw new IllegalStateException("no handler for " + m.kind());
        }
    }

    private void heard(Entry e, Message.Self word, long nowUs) {
        e.heardAt = nowUs;
        e.name = word.name();
        e.zone = word.zone();
        // A lower one than was held comes late, or from a later life that is yet to be told of the earlier one (see
        // send).
        e.ownWord = word.incarnation();
        if (e.incarnation - e.ownWord > INCREDIBLE) {
            incredible++;
            set(e, State.ALIVE, word.incarnation(), "its own word against a rumour beyond belief");
        }
        if (word.incarnation() == 0 || word.incarnation() < e.incarnation) {
            return;
        }
        State told = word.leaving() ? State.LEFT : State.ALIVE;
        if (word.incarnation() > e.incarnation) {
            e.missed = 0;
        }
        if (word.incarnation() > e.incarnation
                || e.state == State.UNKNOWN
                || told == State.LEFT && e.state.mayAct() && word.incarnation() == e.incarnation) {
            boolean first = e.state == State.UNKNOWN;
            set(e, told, word.incarnation(), told == State.LEFT ? "it has said so" : "heard from it");
            passOn(new News.Rumour(e.number, told, e.incarnation, News.NOBODY, e.zone), first);
        }
    }

    /** What is news to a process that has just started is none to most others, who had it from the member itself. */
    private void passOn(News.Rumour r, boolean first) {
        queue.add(r, first ? Math.max(0, terms.transmissions(entries.length) - FIRST_TIMES) : 0);
    }

    private void hear(News.Rumour r, long nowUs) {
        if (r.about() == self) {
            ofSelf(r, nowUs);
            return;
        }
        Entry e = entries[r.about()];
        if (e.ownWord >= 0 && r.incarnation() - e.ownWord > INCREDIBLE) {
            incredible++;
            return;
        }
        if (!outdates(r, e.state, e.incarnation)) {
            return;
        }
        if (e.zone.isEmpty()) {
            e.zone = r.zone();
        }
        switch (r.state()) {
            case ALIVE, LEFT -> {
                boolean first = e.state == State.UNKNOWN;
                set(
                        e,
                        r.state(),
                        r.incarnation(),
                        r.state() == State.LEFT ? "it has said so to others" : "others have heard from it");
                passOn(new News.Rumour(e.number, r.state(), r.incarnation(), News.NOBODY, e.zone), first);
            }
            case SUSPECT -> doubt(e, r.incarnation(), r.by(), nowUs);
            case DEAD -> {
                if (e.state == State.UNKNOWN) {
                    set(e, State.DEAD, r.incarnation(), "held dead by " + named(r.by()));
                    queue.add(r);
                } else {
                    // One member's word is not enough: it counts as a doubt, and two such make this one's own shorter.
                    doubt(e, r.incarnation(), r.by(), nowUs);
                    e.suspicion.bury(r.by());
                }
            }
            case UNKNOWN -> {}
            default -> throw new IllegalStateException("no handler for " + r.state());
        }
    }

    /** Whether a rumour says more than is held: of a later incarnation, or of the same and a state that prevails. */
    protected boolean outdates(News.Rumour r, State held, long heldIncarnation) {
        if (r.incarnation() != heldIncarnation || held == State.UNKNOWN) {
            return r.incarnation() > heldIncarnation || held == State.UNKNOWN && r.incarnation() == heldIncarnation;
        }
        return held.mayAct() && (r.state().compareTo(held) > 0 || r.state() == State.SUSPECT && held == State.SUSPECT);
    }

    /** What others say of this member itself: it objects. */
    private void ofSelf(News.Rumour r, long nowUs) {
        if (incarnation == 0) {
            // It has lived before: this is its next life.
            object(r.incarnation());
            return;
        }
        if (!leaving
                && r.incarnation() < objectedWith
                && r.state() != State.ALIVE
                && nowUs - objectedAt > NOT_HEARD_US) {
            notHeard(nowUs);
        }
        boolean grown = nowUs - startedAt > Terms.GRACE_US;
        if (leaving || r.incarnation() < incarnation || r.state() == State.ALIVE && r.incarnation() == incarnation) {
            return;
        }
        if (r.incarnation() - incarnation > INCREDIBLE && grown) {
            incredible++;
            return;
        }
        if (r.state() == State.ALIVE && grown && ++foreign >= 2) {
            out.changed(new Change.Twin(
                    self, "somebody else speaks as this member, last as incarnation " + r.incarnation()));
        } else if (r.state() == State.SUSPECT || r.state() == State.DEAD) {
            health.worse(1);
        }
        object(r.incarnation());
    }

    /** It has objected long ago, and is spoken ill of all the same: what it says does not get there, and then nor do its questions. */
    private void notHeard(long nowUs) {
        notHeardUntil = nowUs + NOT_HEARD_FOR_US;
        if (!notHeard) {
            notHeard = true;
            out.changed(new Change.NotHeard(true));
        }
    }

    /** Others speak ill of it: from now on they are to have heard that it lives. */
    private void object(long beyond) {
        raise(beyond);
        objectedAt = tickedAt;
        objectedWith = incarnation;
    }

    /** Raises its incarnation beyond one, and says so. */
    private void raise(long beyond) {
        incarnation = beyond + 1;
        entries[self].incarnation = incarnation;
        entries[self].ownWord = incarnation;
        out.changed(new Change.Viewed(self, State.ALIVE, incarnation, List.of(), beyond == 0 ? "begins" : "objects"));
        queue.add(new News.Rumour(self, State.ALIVE, incarnation, News.NOBODY, zone));
    }

    private void hear(News.Reach r, long nowUs) {
        Entry e = entries[r.by()];
        if (r.by() == self || e.reach != null && e.reach.version() >= r.version()) {
            return;
        }
        reaching += e.reach == null ? 1 : 0;
        e.reach = r;
        reachAt[r.by()] = nowUs;
        queue.add(r);
        out.changed(new Change.Reaches(r));
    }

    private void relay(long nowUs, int from, Message m) {
        int target = m.subject();
        if (target >= entries.length || target == self || target == from || relays.size() >= MOST_RELAYS) {
            return;
        }
        // It is to say no before the one that asks stops listening.
        relays.put(++seq, new Relay(from, m.seq(), target, nowUs + terms.directUs()));
        send(target, Message.Kind.PING, seq, target);
    }

    private void acked(int from, Message m) {
        Relay relay = relays.get(m.seq());
        if (relay != null && relay.target() == from) {
            relays.remove(m.seq());
            send(relay.asker(), Message.Kind.ACK, relay.seq(), from);
        }
        if (probe != null && probe.seq == m.seq() && m.subject() == probe.target) {
            probe.direct |= from == probe.target;
            probe.indirect |= from != probe.target;
        }
        answered(from, m.seq());
    }

    // The whole view, in pages

    private void pull(long nowUs) {
        if (!pulling && nowUs >= syncAt && entries.length > 1) {
            // Where somebody is still unknown, that is what is asked for.
            int unknown = anyOf(State.UNKNOWN);
            syncAt = nowUs + (unknown >= 0 ? Terms.SYNC_US / 5 : Terms.SYNC_US);
            int to = anyOf(State.ALIVE);
            if (to >= 0) {
                send(to, Message.Kind.PULL, ++seq, unknown >= 0 ? unknown : random.nextInt(entries.length));
            }
        }
        if (pulling && nowUs >= pullAt) {
            int alive = anyOf(State.ALIVE);
            int to = alive >= 0 ? alive : anyOf(State.UNKNOWN);
            pullAt = nowUs + PULL_AGAIN_US;
            if (to >= 0) {
                pullSeq = ++seq;
                send(to, Message.Kind.PULL, pullSeq, pullFrom);
            }
        }
    }

    private int anyOf(State state) {
        int chosen = -1;
        int seen = 0;
        for (Entry e : entries) {
            if (e.number != self && e.state == state && random.nextInt(++seen) == 0) {
                chosen = e.number;
            }
        }
        return chosen;
    }

    private void page(int to, Message m) {
        if (bytes < Post.MOST_BYTES) {
            return;
        }
        int room = Post.ROOM - MessageCodec.bytes(m.seq(), entries.length, word());
        var known = new ArrayList<News>();
        for (int i = m.subject(); i < entries.length; i++) {
            if (entries[i].state != State.UNKNOWN && (entries[i].state != State.ALIVE || entries[i].incarnation > 0)) {
                known.add(rumour(entries[i], entries[i].zone));
            }
        }
        List<News> fit = MessageCodec.fitting(known, room);
        int after = fit.size() == known.size()
                ? entries.length
                : known.get(fit.size()).subject();
        post(to, new Message(Message.Kind.PAGE, m.seq(), after, word(), fit));
    }

    /** What is held of a member, as news. */
    private static News.Rumour rumour(Entry e, String zone) {
        List<Integer> doubters = e.suspicion == null ? List.of() : e.suspicion.doubters();
        return new News.Rumour(
                e.number, e.state, e.incarnation, doubters.isEmpty() ? News.NOBODY : doubters.get(0), zone);
    }

    // Who was dead or left is looked for, or two halves would never meet again

    private void revisit(long nowUs) {
        if (nowUs >= revisitAt) {
            revisitAt = nowUs + Terms.REVISIT_US;
            int dead = anyOf(State.DEAD);
            int to = dead >= 0 ? dead : anyOf(State.LEFT);
            if (to >= 0) {
                send(to, Message.Kind.PING, ++seq, to);
            }
        }
        if ((cutOff || notHeard) && nowUs >= objectAt && incarnation > 0) {
            // Of a whole zone that is not heard each does so: together they are to leave room for other news.
            objectAt = nowUs + OBJECT_EVERY_US * Math.max(1, entries.length / OBJECTORS);
            raise(incarnation);
        }
    }

    // News

    private void gossip(long nowUs) {
        boolean few = fewWays();
        if (nowUs < gossipAt || queue.isEmpty() && !few || bytes < terms.bytesPerS() / 2) {
            return;
        }
        gossipAt = nowUs + terms.gossipUs();
        // Where few ways are left, the one that was seen to work is taken, and others are looked for.
        int known = few ? lastAnswered() : anyOf(State.ALIVE);
        if (known >= 0) {
            send(known, Message.Kind.NEWS, 0, 0);
        }
        for (int i = 1; i < (few ? SEEKING : Terms.FANOUT); i++) {
            int to = anyOf(State.ALIVE);
            if (to >= 0 && few) {
                send(to, Message.Kind.PING, ++seq, to);
            } else if (to >= 0) {
                send(to, Message.Kind.NEWS, 0, 0);
            }
        }
    }

    private boolean fewWays() {
        return cutOff || notHeard || Integer.bitCount(silent) >= MOSTLY_SILENT / 2;
    }

    private int lastAnswered() {
        Entry last = null;
        for (Entry e : entries) {
            last = e.answeredAt > 0 && (last == null || e.answeredAt > last.answeredAt) ? e : last;
        }
        return last == null ? -1 : last.number;
    }

    private void look(long nowUs) {
        if (nowUs < sizeAt) {
            return;
        }
        sizeAt = nowUs + terms.gossipUs();
        if (links.changed() || entries[self].reach != null) {
            tellReach(nowUs);
        }
        if (reaching > 0) {
            for (Entry e : entries) {
                if (e.number != self && e.reach != null && nowUs - reachAt[e.number] > REACH_KEPT_US) {
                    e.reach = null;
                    reaching--;
                }
            }
        }
        if (unsettled) {
            Change.Count count = size.look(nowUs, entries, present && !cutOff && !notHeard);
            unsettled = !size.settled();
            if (count != null) {
                out.changed(count);
            }
        }
    }

    /** What it says of whom it does not reach is said again from time to time, as it is forgotten after a while. */
    private void tellReach(long nowUs) {
        List<String> zones = links.zones();
        var members = links.members(entries, zones);
        News.Reach before = entries[self].reach;
        boolean same = before != null
                && before.members().equals(members)
                && before.zones().equals(zones);
        boolean nothing = members.isEmpty() && zones.isEmpty();
        long age = nowUs - reachAt[self];
        if (same
                ? nothing || age < REACH_EVERY_US
                : before == null && nothing || before != null && age < OBJECT_EVERY_US) {
            return;
        }
        long version = Math.max(before == null ? 0 : before.version() + 1, incarnation << 12);
        entries[self].reach = new News.Reach(self, version, members, zones);
        reachAt[self] = nowUs;
        queue.add(entries[self].reach);
        if (!same) {
            out.changed(new Change.Reaches(entries[self].reach));
        }
    }

    /** Ends in good order: tells as many as its allowance of bytes permits, and goes on telling until it is ticked no more. */
    public void leave(long nowUs) {
        if (leaving || incarnation == 0) {
            return;
        }
        leaving = true;
        probe = null;
        queue.add(new News.Rumour(self, State.LEFT, incarnation, News.NOBODY, zone));
        var told = new ArrayList<Integer>();
        for (Entry e : entries) {
            if (e.number != self && e.state.mayAct()) {
                told.add(random.nextInt(told.size() + 1), e.number);
            }
        }
        told.stream().limit(terms.bytesPerS() / Post.MOST_BYTES).forEach(to -> send(to, Message.Kind.NEWS, 0, 0));
    }

    private Message.Self word() {
        return new Message.Self(incarnation, leaving, name, zone);
    }

    private void send(int to, Message.Kind kind, long number, int subject) {
        Entry e = entries[to];
        int room = Post.ROOM - MessageCodec.bytes(number, subject, word());
        var news = new ArrayList<News>();
        // Whoever is spoken ill of, or has forgotten an earlier life, hears it first (Lifeguard, 4.3, the buddy
        // system).
        if (e.incarnation > 0 && (e.state != State.ALIVE || e.ownWord < e.incarnation)) {
            news.add(rumour(e, ""));
            room -= MessageCodec.bytes(news.get(0));
        }
        // Whoever has used its bytes up still asks and answers.
        if (bytes > 0) {
            news.addAll(queue.take(room, terms.transmissions(entries.length), to));
        }
        post(to, new Message(kind, number, subject, word(), news));
    }

    private void post(int to, Message m) {
        if (bytes < -terms.bytesPerS()) {
            // A second's worth in debt: whoever asks this one again and again is no reason to send without end.
            return;
        }
        bytes -= AROUND
                + MessageCodec.bytes(m.seq(), m.subject(), m.self())
                + m.news().stream().mapToInt(MessageCodec::bytes).sum();
        out.send(to, m);
    }

    // To look at

    /** Returns what is held of each member, this one included. */
    public List<Seen> seen(long nowUs) {
        var all = new ArrayList<Seen>();
        for (int i = 0; i < entries.length; i++) {
            all.add(seen(i, nowUs));
        }
        return all;
    }

    /** Returns what is held of one member. */
    public Seen seen(int member, long nowUs) {
        Entry e = entries[member];
        return new Seen(
                e.number,
                e.name,
                e.zone,
                e.state,
                e.incarnation,
                nowUs - e.sinceUs,
                e.suspicion == null ? List.of() : e.suspicion.doubters(),
                e.why,
                e.reach);
    }

    /** Returns what a member calls itself, or an empty text where that is not known. */
    public String name(int member) {
        return entries[member].name;
    }

    /** Returns what is held of one member. */
    public State state(int member) {
        return entries[member].state;
    }

    /** Returns the incarnation that is held of a member. */
    public long incarnation(int member) {
        return entries[member].incarnation;
    }

    /** Returns whether what is held is of the present: somebody has answered since it started or was stopped. */
    public boolean present() {
        return present;
    }

    /** Returns whether nobody answers this member. */
    public boolean isCutOff() {
        return cutOff;
    }

    /** Returns whether what this member says seems to reach nobody. */
    public boolean isNotHeard() {
        return notHeard;
    }

    /** Returns how many share the load, as last told; null before the first time. */
    public Change.Count count() {
        return size.told();
    }

    /** Returns how many rumours were beyond belief. */
    public long incredible() {
        return incredible;
    }

    /** Returns who does not reach a member, though it may live. */
    public List<Integer> notReachedBy(int member) {
        var by = new ArrayList<Integer>();
        for (Entry e : entries) {
            if (e.number != member && e.reach != null && e.reach.lacks(member, entries[member].zone)) {
                by.add(e.number);
            }
        }
        return by;
    }

    /** How much it keeps beside the entries; a test looks whether that grows. */
    int kept() {
        return queue.size() + relays.size();
    }
}
