package grebehoist.fleet.distribution;

import grebehoist.fleet.wire.KeyRing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/** Control machines, proxies and calls on virtual time, for tests that say themselves what is lost. */
final class TestFleet {
    static final long MS = 1_000;
    static final long S = 1_000_000;
    private static final byte[] SECRET = "a key for tests of distribution".getBytes(StandardCharsets.UTF_8);

    /** Decides over a datagram. */
    interface Network {
        /** Returns whether it is lost. */
        boolean loses(int from, int to);
    }

    /** What one has told, and when. */
    record Told(long atUs, int by, DistributionChange change) {}

    /** What was sent. */
    record Sent(long atUs, int from, int to, int bytes) {}

    private record Event(long atUs, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return atUs != o.atUs ? Long.compare(atUs, o.atUs) : Long.compare(order, o.order);
        }
    }

    final Layout layout;
    final DistributionTerms terms;
    final DistributionNode[] nodes;
    final List<Told> told = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final SplittableRandom random;
    Network network = (from, to) -> false;
    Rules rules = new Rules();
    long now = S;
    private final int[] lives;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;
    private long epoch = 1_000;

    TestFleet(int machines, int proxies, DistributionTerms terms, long seed) {
        this.layout = new Layout(IntStream.range(0, machines)
                .mapToObj(m -> new Layout.Machine("z" + m % 3))
                .toList());
        this.terms = terms;
        this.nodes = new DistributionNode[machines + proxies];
        this.lives = new int[machines + proxies];
        this.random = new SplittableRandom(seed);
    }

    /** Machines that know each other. */
    static TestFleet started(int machines, int proxies, long seed) {
        var fleet = new TestFleet(machines, proxies, DistributionTerms.standard(), seed);
        IntStream.range(0, machines).forEach(fleet::machine);
        fleet.until(
                "all machines know each other",
                () -> IntStream.range(0, machines).allMatch(m -> fleet.holder(m).unheard() == 0));
        return fleet;
    }

    int machines() {
        return layout.machines().size();
    }

    Holder holder(int machine) {
        return nodes[machine].holder();
    }

    Subscriber proxy(int number) {
        return nodes[machines() + number].subscriber();
    }

    void machine(int number) {
        run(number, DistributionNode.machine(setup(number), output(number), rules), terms.machineTickUs());
    }

    void startProxy(int number, String... scopes) {
        int who = machines() + number;
        run(who, DistributionNode.proxy(setup(who), List.of(scopes), output(who), rules), terms.proxyTickUs());
    }

    void kill(int who) {
        nodes[who] = null;
        lives[who]++;
    }

    private DistributionNode.Setup setup(int number) {
        return new DistributionNode.Setup(
                number,
                nodes.length,
                layout,
                terms,
                new KeyRing(List.of(new KeyRing.Key(1, SECRET))),
                new SplittableRandom(random.nextLong()));
    }

    private DistributionNode.Output output(int number) {
        return new DistributionNode.Output() {
            @Override
            public void send(int to, byte[] datagram) {
                sent.add(new Sent(now, number, to, datagram.length));
                if (!network.loses(number, to)) {
                    at(now + random.nextLong(200, 900), () -> {
                        if (nodes[to] != null) {
                            nodes[to].received(now, number, datagram);
                        }
                    });
                }
            }

            @Override
            public void changed(DistributionChange change) {
                told.add(new Told(now, number, change));
            }
        };
    }

    private void run(int who, DistributionNode node, long tickUs) {
        kill(who);
        nodes[who] = node;
        node.start(now);
        int life = lives[who];
        at(now + random.nextLong(tickUs), () -> tick(who, life, tickUs));
    }

    private void tick(int who, int life, long tickUs) {
        if (lives[who] == life) {
            nodes[who].tick(now);
            at(now + tickUs, () -> tick(who, life, tickUs));
        }
    }

    void at(long atUs, Runnable what) {
        events.add(new Event(atUs, order++, what));
    }

    void run(long forUs) {
        long until = now + forUs;
        while (!events.isEmpty() && events.peek().atUs() <= until) {
            step();
        }
        now = until;
    }

    private void step() {
        Event next = events.poll();
        now = next.atUs();
        next.what().run();
    }

    /** Goes on until something holds; two minutes at most. */
    long until(String what, BooleanSupplier holds) {
        long from = now;
        while (!holds.getAsBoolean()) {
            if (now > from + 120 * S) {
                throw new AssertionError("in two minutes not: " + what);
            }
            step();
        }
        return now - from;
    }

    Writer writer(String scope) {
        return new Writer(layout, scope, epoch++, rules);
    }

    /** Carries calls to holders that run, and back, until there is a result. */
    Writer.Result carry(Writer writer, List<Call> first) {
        Deque<Call> calls = new ArrayDeque<>(first);
        while (!calls.isEmpty()) {
            Call call = calls.poll();
            if (nodes[call.machine()] == null) {
                calls.addAll(writer.gaveUp(call));
                continue;
            }
            calls.addAll(writer.answered(call, holder(call.machine()).answer(now, call)));
        }
        return writer.result();
    }

    void create(String scope) {
        Writer w = writer(scope);
        Writer.Result r = carry(w, w.create(0));
        if (!r.equals(new Writer.Taken(0))) {
            throw new AssertionError("" + r);
        }
    }

    Writer.Result set(Writer w, String key, String value) {
        return carry(w, w.change(2, key, value == null ? null : value.getBytes(StandardCharsets.UTF_8)));
    }

    static String text(Item item) {
        return item == null ? null : new String(item.value(), StandardCharsets.UTF_8);
    }

    boolean equal(int proxy, String scope) {
        int any = layout.holders(scope).stream()
                .filter(m -> nodes[m] != null)
                .findFirst()
                .orElseThrow();
        return proxy(proxy).version(scope) == holder(any).version(scope)
                && proxy(proxy).items(scope).equals(holder(any).items(scope));
    }
}
