package grebehoist.trial.distribution;

import grebehoist.fleet.distribution.Answer;
import grebehoist.fleet.distribution.Call;
import grebehoist.fleet.distribution.DistributionChange;
import grebehoist.fleet.distribution.DistributionNode;
import grebehoist.fleet.distribution.DistributionTerms;
import grebehoist.fleet.distribution.Holder;
import grebehoist.fleet.distribution.Item;
import grebehoist.fleet.distribution.Layout;
import grebehoist.fleet.distribution.Rules;
import grebehoist.fleet.distribution.Subscriber;
import grebehoist.fleet.wire.KeyRing;
import grebehoist.fleet.wire.Post;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Control machines, proxies and writers on virtual time: the real state machines, seals and bytes, and between them a network that does what a script
 * says. Equal scripts give equal plays. Each host's clock shows another time.
 */
final class VirtualDistribution {
    private static final long S = 1_000_000;
    static final long FAULTS_FROM_US = 4 * S;
    /** After the last fault all is settled by then; the last changes have as long as any has. */
    private static final long SETTLE_US = 14 * S;
    /** What comes all at once is paced. */
    private static final long BURST_US = 45 * S;

    private static final long IN_FORCE_US = 11 * S;
    private static final int SOCKET = 400;
    private static final int BYTES_PER_S = 3_000;
    private static final int UDP_BYTES = 28;
    private static final long CALL_US = 500_000;
    private static final List<KeyRing.Key> KEYS =
            List.of(new KeyRing.Key(1, "a key for trials, of 32 bytes...".getBytes(StandardCharsets.UTF_8)));

    /** A process: a machine or a proxy, or where a writer runs. */
    private final class Host {
        private final int number;
        private final long clockUs = random.nextLong(3_600 * S);
        private DistributionNode node;
        private int life;
        private int pauses;
        private int downs;
        private final Deque<Runnable> socket = new ArrayDeque<>();
        private final ByteBudget budget = new ByteBudget(BYTES_PER_S, IN_FORCE_US);

        Host(int number) {
            this.number = number;
        }

        boolean isMachine() {
            return number < script.machines();
        }

        boolean isProxy() {
            return !isMachine() && number < script.machines() + script.proxies();
        }

        long local() {
            return clockUs + now();
        }

        void start() {
            life++;
            socket.clear();
            var setup = new DistributionNode.Setup(
                    number,
                    script.machines() + script.proxies(),
                    layout,
                    terms,
                    new KeyRing(KEYS),
                    new SplittableRandom(random.nextLong()));
            int lives = life;
            var out = new DistributionNode.Output() {
                @Override
                public void send(int to, byte[] datagram) {
                    if (life == lives) {
                        carry(number, to, datagram);
                    }
                }

                @Override
                public void changed(DistributionChange change) {
                    if (life == lives) {
                        told(Host.this, change);
                    }
                }
            };
            referee.started(number);
            node = isMachine()
                    ? DistributionNode.machine(setup, out, rules)
                    : DistributionNode.proxy(setup, scopes, out, rules);
            node.start(local());
            at(now() + random.nextLong(tickUs()), () -> tick(lives));
        }

        private long tickUs() {
            return isMachine() ? terms.machineTickUs() : terms.proxyTickUs();
        }

        void end() {
            node = null;
            life++;
            socket.clear();
        }

        private void tick(int of) {
            if (life != of) {
                return;
            }
            if (pauses == 0) {
                read();
                node.tick(local());
            }
            at(now() + tickUs() + random.nextLong(2_000), () -> tick(of));
        }

        private void read() {
            while (!socket.isEmpty()) {
                socket.poll().run();
            }
        }

        /** Something comes to this process; where it is stopped, it waits. */
        void arrive(Runnable what) {
            if (isMachine() || isProxy() ? node == null : downs > 0) {
                return;
            }
            if (pauses > 0) {
                if (socket.size() < SOCKET) {
                    socket.add(what);
                }
                return;
            }
            what.run();
        }

        void passed(int size) {
            // One that gets all of a scope is not held to the budget meanwhile.
            long over = budget.passed(now(), size, scopes.stream().anyMatch(node.subscriber()::filling));
            if (over > 0) {
                referee.found("byte budget", now(), "proxy " + number + " has had " + over + " bytes in 11 s");
            }
        }
    }

    private final DistributionScript script;
    private final DistributionTerms terms = DistributionTerms.standard();
    private final Layout layout;
    private final List<String> scopes;
    private final Rules rules;
    private final DistributionReferee referee = new DistributionReferee(2);
    private final SplittableRandom random;
    private final HolderMemory memory;
    private long livesBefore = -1;
    private final VirtualTime time = new VirtualTime(this::lookForLosses);
    private final Host[] hosts;
    private final List<Fault> active = new ArrayList<>();
    private final List<VirtualWriter> writers = new ArrayList<>();
    private long epochs;
    private int removals;

    VirtualDistribution(DistributionScript script, Rules rules) {
        this.script = script;
        this.rules = rules;
        this.random = new SplittableRandom(script.seed() ^ 0x5EEDL);
        this.layout = new Layout(IntStream.range(0, script.machines())
                .mapToObj(m -> new Layout.Machine("z" + DistributionScript.zone(m)))
                .toList());
        this.scopes = IntStream.range(0, script.scopes())
                .mapToObj(i -> "c" + i / 2 + "/s" + i)
                .toList();
        this.hosts = new Host[script.hosts()];
        this.memory = new HolderMemory(layout, m -> hosts[m].node == null ? null : hosts[m].node.holder());
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new Host(i);
        }
    }

    /** Plays a script to its end, and lets all settle. */
    static DistributionReferee play(DistributionScript script, Rules rules) {
        var fleet = new VirtualDistribution(script, rules);
        fleet.play();
        return fleet.referee;
    }

    private void play() {
        for (int i = 0; i < script.machines() + script.proxies(); i++) {
            int host = i;
            at(random.nextLong(S / 2), () -> hosts[host].start());
        }
        run(S);
        for (String scope : scopes) {
            new VirtualWriter(this, firstWriter(), List.of(scope)).create();
        }
        run(FAULTS_FROM_US / 2);
        for (int w = 0; w < script.writers(); w++) {
            var writer = new VirtualWriter(this, firstWriter() + w, scopes);
            writers.add(writer);
            at(now() + random.nextLong(S), writer::work);
        }
        if (script.burst() > 0) {
            at(
                    FAULTS_FROM_US + random.nextLong(S, DistributionScript.LENGTH_US),
                    () -> writers.get(0).burst(script.burst()));
        }
        for (Fault f : script.faults()) {
            at(FAULTS_FROM_US + f.atUs(), () -> begin(f));
            at(FAULTS_FROM_US + f.endUs(), () -> end(f));
        }
        long over = FAULTS_FROM_US
                + script.faults().stream().mapToLong(Fault::endUs).max().orElse(0);
        run(Math.max(over, FAULTS_FROM_US + DistributionScript.LENGTH_US));
        writers.forEach(VirtualWriter::stop);
        run(now() + SETTLE_US + (script.burst() > 0 ? BURST_US : 0));
        // One more change for each scope has to be taken, and to come into force as any.
        var last = new ArrayList<VirtualWriter>();
        for (String scope : scopes) {
            var writer = new VirtualWriter(this, firstWriter(), List.of(scope));
            last.add(writer);
            writer.one();
        }
        run(now() + IN_FORCE_US);
        settled(last);
    }

    private int firstWriter() {
        return script.machines() + script.proxies();
    }

    private void settled(List<VirtualWriter> last) {
        for (int i = 0; i < scopes.size(); i++) {
            String scope = scopes.get(i);
            if (referee.excused(scope)) {
                continue;
            }
            if (last.get(i).taken() == 0) {
                referee.found(
                        "not taken after all", now(), scope + ": " + last.get(i).result());
            }
            referee.nothingLost(now(), scope);
            for (int m : layout.holders(scope)) {
                Holder holder = hosts[m].node.holder();
                referee.settled(now(), "machine " + m, scope, holder.version(scope), holder.items(scope));
            }
            for (int p = script.machines(); p < firstWriter(); p++) {
                Subscriber subscriber = hosts[p].node.subscriber();
                referee.settled(now(), "proxy " + p, scope, subscriber.version(scope), subscriber.items(scope));
                if (subscriber.filling(scope)) {
                    referee.found("not settled", now(), scope + " at proxy " + p + " is still being filled");
                }
            }
        }
    }

    // Time

    void at(long atUs, Runnable what) {
        time.at(atUs, what);
    }

    private void run(long untilUs) {
        time.run(untilUs);
    }

    long now() {
        return time.now();
    }

    SplittableRandom random() {
        return random;
    }

    Layout layout() {
        return layout;
    }

    Rules rules() {
        return rules;
    }

    DistributionReferee referee() {
        return referee;
    }

    /** Returns a kind that no removal of late has had. */
    int nextRemoval() {
        return ++removals % (Item.MOST_KIND + 1);
    }

    long nextEpoch() {
        return 1_000 + ++epochs;
    }

    // Faults

    private void begin(Fault f) {
        active.add(f);
        for (int who : f.who()) {
            if (f.kind() == Fault.Kind.PAUSE) {
                hosts[who].pauses++;
            } else if (f.kind() == Fault.Kind.CRASH) {
                hosts[who].downs++;
                hosts[who].end();
            }
        }
    }

    private void end(Fault f) {
        active.remove(f);
        for (int who : f.who()) {
            Host h = hosts[who];
            if (f.kind() == Fault.Kind.PAUSE) {
                if (--h.pauses == 0) {
                    h.read();
                }
            } else if (f.kind() == Fault.Kind.CRASH && --h.downs == 0) {
                h.start();
            }
        }
    }

    private void lookForLosses() {
        long lives = 0;
        for (int m = 0; m < script.machines(); m++) {
            lives = 31 * lives + hosts[m].life;
        }
        if (now() >= FAULTS_FROM_US && lives != livesBefore) {
            livesBefore = lives;
            scopes.stream().filter(memory::lost).forEach(referee::excuse);
        }
    }

    // Datagrams and calls

    private void carry(int from, int to, byte[] datagram) {
        if (datagram.length > Post.MOST_BYTES) {
            referee.found("too long", now(), datagram.length + " bytes from " + from);
        }
        // What the network repeats is not theirs.
        for (int end : List.of(from, to)) {
            if (hosts[end].isProxy() && hosts[end].node != null) {
                hosts[end].passed(datagram.length + UDP_BYTES);
            }
        }
        long onItsWayUs = random.nextLong(100, 1_000);
        for (long lateUs : Fault.delaysUs(active, from, to, random)) {
            at(
                    now() + onItsWayUs + lateUs,
                    () -> hosts[to].arrive(() -> {
                        hosts[to].node.received(
                                hosts[to].local(), hosts[to].isProxy() ? from : Post.sender(datagram), datagram);
                    }));
        }
    }

    /** Carries a call from a writer's host and back; tells null where no answer has come in time. A call that came may still be answered, and nobody hears. */
    void call(int from, Call call, Consumer<Answer> answered) {
        var over = new boolean[1];
        Consumer<Answer> once = answer -> {
            if (!over[0]) {
                over[0] = true;
                answered.accept(answer);
            }
        };
        at(now() + CALL_US, () -> hosts[from].arrive(() -> once.accept(null)));
        for (long lateUs : first(Fault.delaysUs(active, from, call.machine(), random))) {
            at(
                    now() + random.nextLong(200, 2_000) + lateUs,
                    () -> hosts[call.machine()].arrive(() -> {
                        Host h = hosts[call.machine()];
                        Answer answer = h.node.holder().answer(h.local(), call);
                        if (call instanceof Call.Offer o && answer instanceof Answer.Held) {
                            referee.held(call.machine(), o.item());
                        }
                        for (long backUs : first(Fault.delaysUs(active, call.machine(), from, random))) {
                            at(
                                    now() + random.nextLong(200, 2_000) + backUs,
                                    () -> hosts[from].arrive(() -> once.accept(answer)));
                        }
                    }));
        }
    }

    /** A connection repeats nothing. */
    private static long[] first(long[] delays) {
        return delays.length == 0 ? delays : new long[] {delays[0]};
    }

    // What hosts tell

    private void told(Host by, DistributionChange change) {
        if (change instanceof DistributionChange.Committed c) {
            referee.inForce(now(), "machine " + by.number, c.item(), memory.holding(c.item()));
        } else if (change instanceof DistributionChange.Applied a) {
            referee.inForce(now(), "proxy " + by.number, a.item(), memory.holding(a.item()));
        } else if (change instanceof DistributionChange.InForce f) {
            referee.inForce(
                    now(),
                    by.number,
                    f.scope(),
                    f.version(),
                    by.node.subscriber().items(f.scope()));
        } else if (change instanceof DistributionChange.Refilling) {
            referee.count("refills");
        } else if (change instanceof DistributionChange.SourceMoved) {
            referee.count("sources left");
        }
    }

    /** A writer was told that a change was taken. */
    void taken(Item change) {
        referee.taken(now(), change);
        if (!memory.known(change) && !referee.excused(change.scope())) {
            referee.found("taken and not held", now(), change + " is held by " + memory.holding(change));
        }
    }
}
