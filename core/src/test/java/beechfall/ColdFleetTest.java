package beechfall;

import static beechfall.Proxy.MS;
import static beechfall.Proxy.S;
import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Action;
import beechfall.Balancer.Arrival;
import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.Backend;
import beechfall.Balancer.Event;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Members;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.Rules;
import beechfall.Balancer.Send;
import beechfall.Balancer.SetTimer;
import beechfall.Balancer.State;
import beechfall.Balancer.TimerFired;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Rule 4 is on the sum: whole fleets of the real module before backends that bear 25 requests a second, of which one or more start
 * cold. What all proxies together send one of them in any window stays under N + 2 root N + 2, N being what the rules allow.
 */
class ColdFleetTest {
    private static final double BEARS_PER_S = 25;
    private static final long ANSWER_US = (long) (1e6 / BEARS_PER_S);
    /** Tighter than sites have it: a proxy of many may send a fraction of a request in a window. */
    private static final Rules RULES = new Rules(0.4, 8 * S, 2, S, 10 * S, false);

    private static final class Fleet {
        private final PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
        private final List<Policy> fleet = new ArrayList<>();
        /** Of each cold backend the sends of the last window. */
        private final Deque<Long> toCold = new ArrayDeque<>();

        private final Random random;
        private final int balancers;
        private long now = 1_000 * S;
        private long number;
        private long coldFrom;
        private int most;
        private double mostOfBudget;

        /** Something that is to come for a process; nothing if that is not there any more. */
        record Due(long at, long number, Policy process, int rank, Event event) {}

        Fleet(int balancers, long seed) {
            this.balancers = balancers;
            this.random = new Random(seed);
            for (int rank = 0; rank < balancers; rank++) {
                fleet.add(null);
                restart(rank);
            }
        }

        /** A new process, which knows nothing. */
        void restart(int rank) {
            fleet.set(
                    rank,
                    new Policy(new Balancer.Settings(
                            balancers,
                            rank,
                            "a",
                            4 * MS,
                            List.of(Proxy.READ),
                            List.of(),
                            0.05,
                            false,
                            Proxy.LIMITS,
                            RULES,
                            random.nextLong())));
        }

        void feed(int rank, Event event) {
            var actions = new ArrayList<Action>();
            Policy process = fleet.get(rank);
            process.handle(now, event, actions::add);
            for (Action action : actions) {
                if (action instanceof SetTimer t) {
                    due.add(new Due(t.atUs(), number++, process, rank, new TimerFired(t.token())));
                } else if (action instanceof Send s) {
                    due.add(new Due(
                            now + ANSWER_US,
                            number++,
                            process,
                            rank,
                            new AttemptEnded(s.id(), 0, s.backend(), Outcome.OK, ANSWER_US, true)));
                    sent(s.backend());
                }
            }
        }

        void sent(String backend) {
            if (!backend.equals("cold") || now - coldFrom >= RULES.coldUs()) {
                return;
            }
            toCold.add(now);
            while (toCold.peek() < now - RULES.fallUs()) {
                toCold.poll();
            }
            double warmth = RULES.coldFrom() + (1 - RULES.coldFrom()) * (now - coldFrom) / RULES.coldUs();
            double allowed = RULES.fallMultiple() * warmth * BEARS_PER_S * RULES.fallUs() / S;
            most = Math.max(most, toCold.size());
            mostOfBudget = Math.max(mostOfBudget, toCold.size() / (allowed + 2 * Math.sqrt(allowed) + 2));
        }

        /** Time passes, with so many requests a second at each proxy. */
        void run(long forUs, double perS) {
            long until = now + forUs;
            double meanUs = 1e6 / (perS * balancers);
            long arrival = perS == 0 ? Long.MAX_VALUE : now;
            while (true) {
                long next = Math.min(
                        arrival, due.isEmpty() ? Long.MAX_VALUE : due.peek().at());
                if (next > until) {
                    now = until;
                    return;
                }
                now = Math.max(now, next);
                if (arrival <= now) {
                    arrival += 1 + (long) (-meanUs * Math.log(1 - random.nextDouble()));
                    arrive(random.nextInt(balancers));
                } else {
                    Due d = due.poll();
                    if (fleet.get(d.rank()) == d.process()) {
                        feed(d.rank(), d.event());
                    }
                }
            }
        }

        void arrive(int rank) {
            feed(rank, new Arrival("r" + number++, "read", null, null, 2 * S, false));
        }

        /** All are told at once that so many backends are warm, and whether one is there that has just started. */
        void list(int warm, boolean cold) {
            var backends = new ArrayList<Backend>();
            for (int i = 0; i < warm; i++) {
                backends.add(Proxy.backend("s" + i));
            }
            if (cold) {
                coldFrom = coldFrom == 0 ? now : coldFrom;
                backends.add(new Backend("cold", State.READY, "std", "a", 1, coldFrom, 1));
            }
            for (int rank = 0; rank < balancers; rank++) {
                feed(rank, new Members(ListKind.FULL, backends));
            }
        }

        void assertKept() {
            assertThat(mostOfBudget)
                    .as("of N + 2 root N + 2, " + most + " at most in a window")
                    .isLessThanOrEqualTo(1);
        }
    }

    /** As they are busy, one of the backends starts anew. */
    @ParameterizedTest
    @CsvSource({"1, 1", "3, 2", "14, 3", "20, 4", "30, 5", "100, 6", "100, 7"})
    void underLoad(int balancers, long seed) {
        var f = new Fleet(balancers, seed);
        int warm = Math.max(6, balancers / 2);
        f.list(warm, false);
        f.run(20 * S, 0.6 * BEARS_PER_S * warm / balancers);
        f.list(warm, true);
        f.run(10 * S, 0.6 * BEARS_PER_S * warm / balancers);
        f.assertKept();
        assertThat(f.most).as("sent to the cold one").isPositive();
    }

    /** All have been quiet for a while, and have what they may send saved up. Then all others are gone, and each gets a few at once. */
    @ParameterizedTest
    @CsvSource({"1, 1", "3, 2", "14, 3", "20, 4", "30, 5", "100, 6", "100, 7"})
    void inOneInstant(int balancers, long seed) {
        var f = new Fleet(balancers, seed);
        int warm = Math.max(6, balancers / 2);
        f.list(warm, false);
        f.run(20 * S, 0.6 * BEARS_PER_S * warm / balancers);
        f.list(warm, true);
        f.run(7 * S, 0);
        f.list(0, true);
        for (int i = 0; i < 3 * balancers; i++) {
            f.arrive(i % balancers);
        }
        f.run(S, 10);
        f.assertKept();
    }

    /** All processes are new and know nothing; then most of them start anew once more, in the middle of a window. */
    @ParameterizedTest
    @CsvSource({"1, 1", "3, 2", "14, 3", "20, 4", "30, 5", "100, 6", "100, 7"})
    void ofProcessesThatKnowNothing(int balancers, long seed) {
        var f = new Fleet(balancers, seed);
        f.list(0, true);
        f.run(S / 2, 10);
        for (int rank = 0; rank < balancers; rank++) {
            if (f.random.nextInt(10) < 7) {
                f.restart(rank);
            }
        }
        f.list(0, true);
        f.run(8 * S, 10);
        f.assertKept();
    }
}
