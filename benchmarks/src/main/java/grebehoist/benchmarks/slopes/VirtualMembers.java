package grebehoist.benchmarks.slopes;

import grebehoist.fleet.FleetNode;
import grebehoist.fleet.lease.LeaseTerms;
import grebehoist.fleet.lease.Protocol;
import grebehoist.fleet.membership.Change;
import grebehoist.fleet.membership.Terms;
import grebehoist.fleet.wire.KeyRing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** Members on virtual time that all start in the same second: the real machines, seals and bytes, over a network that loses nothing. */
final class VirtualMembers {
    private static final long S = 1_000_000;
    private static final int ZONES = 13;
    private static final long LEAST_WAY_US = 300;
    private static final long WAY_US = 700;
    /** What all of them seal with. */
    static final byte[] SECRET = "a key for slopes, of 32 bytes...".getBytes(StandardCharsets.UTF_8);

    private static final List<KeyRing.Key> KEYS = List.of(new KeyRing.Key(1, SECRET));

    /** A datagram, or a tick where it is null. */
    private record Event(long atUs, long order, int to, int from, byte[] datagram) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return atUs != o.atUs ? Long.compare(atUs, o.atUs) : Long.compare(order, o.order);
        }
    }

    private final Terms terms = Terms.standard();
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<FleetNode> nodes = new ArrayList<>();
    private final long[] bytesOf;
    private final boolean[] started;
    private long now;
    private long order;
    private long datagrams;
    private long ticks;
    private long tickNs;
    private long received;
    private long receivedNs;

    /**
     * Makes and starts them.
     *
     * @param tasks so many, granted by the first five members; 0 for none
     */
    VirtualMembers(int members, int tasks, long seed) {
        random = new SplittableRandom(seed);
        bytesOf = new long[members];
        started = new boolean[members];
        for (int i = 0; i < members; i++) {
            FleetNode node = node(i, members, random.split(), this::send);
            if (tasks > 0) {
                node.share(
                        new FleetNode.Tasks(
                                LeaseTerms.standard(),
                                1,
                                List.of(0, 1, 2, 3, 4),
                                IntStream.range(0, tasks)
                                        .mapToObj(t -> "task-" + t)
                                        .toList(),
                                1),
                        new Protocol(LeaseTerms.standard(), 5));
            }
            nodes.add(node);
        }
        for (int i = 0; i < members; i++) {
            // In a second they have all begun.
            add(random.nextLong(S), i, i, null);
        }
    }

    /** Hears of a datagram that a member sends. */
    interface Carrier {
        void send(int from, int to, byte[] datagram);
    }

    /** Returns one that is yet to be started. */
    static FleetNode node(int number, int members, SplittableRandom random, Carrier carrier) {
        return new FleetNode(
                new FleetNode.Identity(number, members, "proxy-" + number, "zone-" + number % ZONES),
                Terms.standard(),
                new KeyRing(KEYS),
                random,
                new FleetNode.Output() {
                    @Override
                    public void send(int to, byte[] datagram) {
                        carrier.send(number, to, datagram);
                    }

                    @Override
                    public void changed(Change change) {}
                });
    }

    private void add(long atUs, int to, int from, byte[] datagram) {
        events.add(new Event(atUs, order++, to, from, datagram));
    }

    private void send(int from, int to, byte[] datagram) {
        bytesOf[from] += datagram.length;
        datagrams++;
        add(now + LEAST_WAY_US + random.nextLong(WAY_US), to, from, datagram);
    }

    /** Lets it run until a time from the start. */
    void run(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs() <= untilUs) {
            Event e = events.poll();
            now = e.atUs();
            FleetNode node = nodes.get(e.to());
            long from = System.nanoTime();
            if (e.datagram() != null) {
                node.received(now, e.from(), e.datagram());
                received++;
                receivedNs += System.nanoTime() - from;
                continue;
            }
            if (started[e.to()]) {
                node.tick(now);
                ticks++;
                tickNs += System.nanoTime() - from;
            } else {
                started[e.to()] = true;
                node.start(now);
            }
            add(now + terms.tickUs() + random.nextLong(2_000), e.to(), e.to(), null);
        }
        now = untilUs;
    }

    /** What was sent and taken so far. */
    record Sum(long datagrams, long bytes, long most, long ticks, long tickNs, long received, long receivedNs) {}

    /** Returns the sums; {@code most} is the bytes of the member that has sent most. */
    Sum sum() {
        return new Sum(
                datagrams,
                IntStream.range(0, bytesOf.length).mapToLong(i -> bytesOf[i]).sum(),
                IntStream.range(0, bytesOf.length)
                        .mapToLong(i -> bytesOf[i])
                        .max()
                        .orElse(0),
                ticks,
                tickNs,
                received,
                receivedNs);
    }

    /** Returns how many others a member holds alive, in the mean. */
    double alive() {
        return nodes.stream()
                .mapToInt(n -> n.membership().count() == null
                        ? 0
                        : n.membership().count().members())
                .average()
                .orElse(0);
    }

    /** Returns the virtual seconds that have passed. */
    double seconds() {
        return now / (double) S;
    }
}
