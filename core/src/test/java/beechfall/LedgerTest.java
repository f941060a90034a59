package beechfall;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Arrival;
import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.Backend;
import beechfall.Balancer.Cancel;
import beechfall.Balancer.ClientGone;
import beechfall.Balancer.Effect;
import beechfall.Balancer.Event;
import beechfall.Balancer.Fail;
import beechfall.Balancer.Limits;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Members;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.Refuse;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Rules;
import beechfall.Balancer.Scope;
import beechfall.Balancer.Send;
import beechfall.Balancer.SetTimer;
import beechfall.Balancer.Settings;
import beechfall.Balancer.State;
import beechfall.Balancer.Tenant;
import beechfall.Balancer.TimerFired;
import beechfall.Balancer.Watch;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random legal events, with the rules checked by books of the test's own. */
class LedgerTest {
    private static final long TICK = 4_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void theRulesHoldWhateverHappens(long seed) {
        var books = new Books(seed);
        books.run();
        assertThat(books.finals).isEqualTo(books.arrived);
        // That the run is worth something; how many are sent is the policy's own business.
        assertThat(books.attemptsSent).isGreaterThan(50);
    }

    private record Due(long at, long order, Event event) {}

    private static final class Try {
        private final String backend;
        private final Backend sentTo;
        private final long sentAt;
        private Outcome outcome;

        Try(Backend sentTo, long sentAt) {
            this.backend = sentTo.id();
            this.sentTo = sentTo;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun(Rules rules) {
            return outcome == null || !outcome.neverRan() || outcome == Outcome.FULL && rules.fullUnproven();
        }
    }

    private static final class Open {
        private final RequestClass type;
        private final long deadline;
        private final List<Try> tries = new ArrayList<>();
        private boolean over;

        Open(RequestClass type, long deadline) {
            this.type = type;
            this.deadline = deadline;
        }
    }

    private static final class Books {
        private final Random random;
        private final Settings settings;
        private final Policy policy;
        private final Map<String, Open> requests = new HashMap<>();
        private final Map<String, Backend> listed = new LinkedHashMap<>();
        private final Map<String, List<Long>> coldSends = new HashMap<>();
        private final PriorityQueue<Due> due = new PriorityQueue<>(
                (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
        private long now = 5_000_000_000L;
        private long order;
        private int arrived;
        private int finals;
        private int attemptsSent;

        Books(long seed) {
            random = new Random(seed);
            var classes = new ArrayList<RequestClass>();
            for (Effect effect : Effect.values()) {
                for (Scope scope : Scope.values()) {
                    classes.add(new RequestClass(
                            effect + "-" + scope,
                            150_000 + random.nextInt(500_000),
                            700_000 + random.nextInt(2_000_000),
                            1 + random.nextInt(9),
                            random.nextInt(3) / 4.0,
                            effect,
                            scope,
                            100_000 + random.nextInt(1_000_000)));
                }
            }
            settings = new Settings(
                    1 + random.nextInt(4),
                    0,
                    "a",
                    TICK,
                    classes,
                    random.nextBoolean() ? List.of() : List.of(new Tenant("t", 50)),
                    0.1,
                    false,
                    new Limits(
                            random.nextBoolean(),
                            random.nextBoolean(),
                            random.nextBoolean(),
                            random.nextBoolean(),
                            1 + random.nextInt(5),
                            1_000_000),
                    new Rules(
                            0.3, 8_000_000, 3, 1_000_000 + random.nextInt(2_000_000), 10_000_000, random.nextBoolean()),
                    seed);
            policy = new Policy(settings);
        }

        void run() {
            for (int i = 0; i < 6; i++) {
                Backend b = backend("s" + i, State.READY, 0);
                listed.put(b.id(), b);
            }
            feed(new Members(ListKind.CACHED, List.copyOf(listed.values())));
            long end = now + 20_000_000;
            while (now < end + 5_000_000) {
                now += TICK;
                while (!due.isEmpty() && due.peek().at() <= now) {
                    deliver(due.poll().event());
                }
                if (now < end) {
                    happen();
                }
                for (Open r : requests.values()) {
                    assertThat(r.over || now <= r.deadline + 3 * TICK)
                            .as("answered before the client leaves")
                            .isTrue();
                }
                requests.values().removeIf(r -> r.over && r.tries.stream().allMatch(t -> t.outcome != null));
            }
        }

        private void happen() {
            int arrivals = random.nextInt(100) < 30 ? random.nextInt(4) : 0;
            for (int i = 0; i < arrivals; i++) {
                RequestClass type =
                        settings.classes().get(random.nextInt(settings.classes().size()));
                long left = (long) (type.deadlineUs() * (0.2 + 0.8 * random.nextDouble()));
                String id = "q" + arrived++;
                requests.put(id, new Open(type, now + left));
                feed(new Arrival(
                        id, type.name(), random.nextBoolean() ? "t" : null, null, left, random.nextInt(5) == 0));
            }
            if (random.nextInt(200) == 0) {
                String id = "s" + random.nextInt(8);
                State state = State.values()[random.nextInt(3)];
                Backend b = backend(id, state, random.nextInt(3) == 0 ? now - random.nextInt(3_000_000) : 0);
                listed.put(id, b);
                feed(new Members(ListKind.DELTA, List.of(b)));
            }
            if (random.nextInt(1500) == 0) {
                listed.clear();
                feed(new Members(ListKind.FULL, List.of()));
            }
            if (random.nextInt(300) == 0) {
                feed(new Members(ListKind.FAILED, List.of()));
            }
        }

        private Backend backend(String id, State state, long startedAt) {
            return new Backend(
                    id,
                    state,
                    "k" + random.nextInt(2),
                    random.nextBoolean() ? "a" : "b",
                    random.nextInt(3),
                    startedAt,
                    1);
        }

        private void deliver(Event event) {
            if (event instanceof AttemptEnded e) {
                Open r = requests.get(e.id());
                if (r == null || r.tries.get(e.attempt()).outcome != null) {
                    return;
                }
                Try t = r.tries.get(e.attempt());
                t.outcome = e.outcome();
                boolean closes = e.outcome() == Outcome.OK && !r.over;
                if (closes) {
                    r.over = true;
                    finals++;
                }
                feed(new AttemptEnded(e.id(), e.attempt(), e.backend(), e.outcome(), e.latencyUs(), r.over));
            } else if (event instanceof ClientGone e) {
                Open r = requests.get(e.id());
                if (r != null && !r.over) {
                    r.over = true;
                    finals++;
                    feed(event);
                }
            } else {
                feed(event);
            }
        }

        private void feed(Event event) {
            policy.handle(now, event, action -> {
                if (action instanceof Send a) {
                    sent(a);
                } else if (action instanceof Refuse a) {
                    refused(a.id());
                } else if (action instanceof Fail a) {
                    over(a.id());
                } else if (action instanceof Cancel a) {
                    assertThat(settings.limits().cancel()).isTrue();
                    Try t = requests.get(a.id()).tries.get(a.attempt());
                    due.add(new Due(
                            now + TICK,
                            order++,
                            new AttemptEnded(a.id(), a.attempt(), t.backend, Outcome.CANCELLED, now - t.sentAt, true)));
                } else if (action instanceof SetTimer a) {
                    due.add(new Due(Math.max(a.atUs(), now + 1), order++, new TimerFired(a.token())));
                } else if (action instanceof Watch) {
                    assertThat(settings.limits().listMustBeAsked()).isTrue();
                }
            });
        }

        private void over(String id) {
            Open r = requests.get(id);
            assertThat(r.over).as("one final answer").isFalse();
            r.over = true;
            finals++;
        }

        private void refused(String id) {
            Open r = requests.get(id);
            for (Try t : r.tries) {
                if (t.mayHaveRun(settings.rules())) {
                    assertThat(r.type.effect()).isNotEqualTo(Effect.UNSAFE);
                    assertThat(r.type.effect() == Effect.SAFE || r.type.scope() == Scope.ALL)
                            .isTrue();
                }
            }
            over(id);
        }

        private void sent(Send a) {
            Open r = requests.get(a.id());
            Backend to = listed.get(a.backend());
            attemptsSent++;
            assertThat(r.over).as("nothing after the final answer").isFalse();
            assertThat(to).as("a backend on the list").isNotNull();
            assertThat(to.state()).isEqualTo(State.READY);
            assertThat(r.tries.size()).isLessThan(settings.limits().maxAttempts());
            assertThat(a.timeoutUs()).isPositive();
            assertThat(now + a.timeoutUs()).isLessThanOrEqualTo(r.deadline);
            for (Try t : r.tries) {
                assertThat(settings.limits().secondCopies() || t.outcome != null)
                        .isTrue();
                if (t.mayHaveRun(settings.rules()) && r.type.effect() != Effect.SAFE) {
                    assertThat(r.type.effect()).isEqualTo(Effect.KEYED);
                    assertThat(now).isLessThan(t.sentAt + r.type.windowUs());
                    assertThat(
                                    switch (r.type.scope()) {
                                        case ALL -> true;
                                        case ZONE -> t.sentTo.zone().equals(to.zone());
                                        case CELL -> t.sentTo.cell() == to.cell();
                                    })
                            .isTrue();
                }
            }
            cold(to);
            r.tries.add(new Try(to, now));
            int attempt = r.tries.size() - 1;
            Outcome outcome = random.nextInt(10) < 6
                    ? Outcome.OK
                    : List.of(Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)
                            .get(random.nextInt(5));
            long latency = outcome == Outcome.TIMEOUT
                    ? a.timeoutUs()
                    : Math.min(a.timeoutUs() - 1, 1_000 + random.nextInt(60_000));
            due.add(new Due(
                    now + latency, order++, new AttemptEnded(a.id(), attempt, to.id(), outcome, latency, false)));
            if (attempt == 0 && random.nextInt(50) == 0) {
                due.add(new Due(now + random.nextInt(100_000), order++, new ClientGone(a.id())));
            }
        }

        /** The budget of one instance: answers take over 25 ms in the mean, so a full backend does under 40 a second. */
        private void cold(Backend to) {
            Rules rules = settings.rules();
            if (to.startedAtUs() == 0 || now - to.startedAtUs() >= rules.coldUs()) {
                return;
            }
            List<Long> sends = coldSends.computeIfAbsent(to.id() + "@" + to.startedAtUs(), key -> new ArrayList<>());
            sends.add(now);
            long inWindow =
                    sends.stream().filter(at -> at > now - rules.fallUs()).count();
            double share = rules.coldFrom() + (1 - rules.coldFrom()) * (now - to.startedAtUs()) / rules.coldUs();
            double most = rules.fallMultiple() * share * 40 * rules.fallUs() / 1e6 / settings.balancers();
            assertThat((double) inWindow).as("cold budget").isLessThanOrEqualTo(Math.max(2, most));
        }
    }
}
