package grebehoist.search;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Outcome;
import beechfall.Policy;
import grebehoist.engine.Attempt;
import grebehoist.engine.Intake;
import grebehoist.engine.Listed;
import grebehoist.engine.Payload;
import grebehoist.engine.Request;
import grebehoist.engine.Responder;
import grebehoist.engine.StreamedPayload;
import grebehoist.engine.Transport;
import grebehoist.pool.Pool;
import grebehoist.testkit.Witness.Rule;
import grebehoist.testkit.Witness.Violation;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * The witness and the search are tested by proxies that are broken on purpose, one rule at a time: each must be caught,
 * and the report must name the rule, the request and the time.
 */
class BrokenProxyTest {
    private static final int SCRIPTS = 60;

    private static Pool.Wiring module(Function<Balancer.Settings, Balancer> module) {
        return new Pool.Wiring(module, UnaryOperator.identity(), UnaryOperator.identity(), UnaryOperator.identity());
    }

    private static Pool.Wiring transport(UnaryOperator<Transport> transport) {
        return new Pool.Wiring(Policy::new, transport, UnaryOperator.identity(), UnaryOperator.identity());
    }

    private static Pool.Wiring intake(UnaryOperator<Intake> intake) {
        return new Pool.Wiring(Policy::new, UnaryOperator.identity(), intake, UnaryOperator.identity());
    }

    /** Plays scripts until the rule is seen broken, and returns how that was told. */
    private static Violation caught(Rule rule, Supplier<Pool.Wiring> wiring) throws InterruptedException {
        return caught(Protocol.HTTP, rule, wiring);
    }

    private static Violation caught(Protocol protocol, Rule rule, Supplier<Pool.Wiring> wiring)
            throws InterruptedException {
        var left = new AtomicLong(SCRIPTS);
        var found = new ArrayList<Violation>();
        Search.run(protocol, 1, () -> left.getAndDecrement() > 0, 4, wiring, report -> {
            synchronized (found) {
                report.violations().stream().filter(v -> v.rule() == rule).forEach(found::add);
            }
        });
        assertThat(found)
                .as("broken on purpose, and not seen in " + SCRIPTS + " scripts")
                .isNotEmpty();
        Violation first = found.get(0);
        assertThat(first.subject()).isNotBlank();
        assertThat(first.atUs()).isPositive();
        return first;
    }

    // Rule 1

    @Test
    void anEngineThatLosesAnAnswer() throws Exception {
        var seen = new AtomicInteger();
        Violation v = caught(
                Rule.ANSWER,
                () -> intake(i -> new Passing(i) {
                    @Override
                    Responder responder(Responder to) {
                        return seen.incrementAndGet() % 50 == 0 ? new Silent() : to;
                    }
                }));
        assertThat(v.what()).contains("no answer");
    }

    @Test
    void anEngineThatServesTheAnswerOfAnother() throws Exception {
        Violation v = caught(
                Rule.ANSWER,
                () -> intake(i -> new Passing(i) {
                    private Payload kept;

                    @Override
                    Responder responder(Responder to) {
                        return new Through(to) {
                            @Override
                            public void served(Payload answer) {
                                if (kept == null) {
                                    kept = answer;
                                    answer.retain();
                                }
                                kept.retain();
                                super.served(kept);
                                answer.release();
                            }
                        };
                    }
                }));
        assertThat(v.what()).contains("served with what no backend made for it");
    }

    /** It lets go of what a backend still gives; its client has the beginning and waits. */
    @Test
    void anEngineThatDropsLongAnswersOnTheirWay() throws Exception {
        Violation v = caught(
                Protocol.HTTP_LONG,
                Rule.ANSWER,
                () -> intake(i -> new Passing(i) {
                    @Override
                    Responder responder(Responder to) {
                        return new Through(to) {
                            @Override
                            public void served(Payload answer) {
                                super.served(answer);
                                if (answer instanceof StreamedPayload) {
                                    answer.release();
                                }
                            }
                        };
                    }
                }));
        assertThat(v.what()).containsAnyOf("no answer", "cut off");
    }

    @Test
    void anEngineThatAnswersAndGoesOnTrying() throws Exception {
        Violation v = caught(
                Rule.ANSWER,
                () -> intake(i -> new Passing(i) {
                    @Override
                    public void arrived(Request request, Responder responder) {
                        // Told that it failed, though it is handed in all the same.
                        request.payload().retain();
                        responder.failed();
                        super.arrived(request, new Through(new Silent()) {
                            @Override
                            public void served(Payload answer) {
                                super.served(answer);
                                request.payload().release();
                            }
                        });
                    }
                }));
        assertThat(v.what()).containsAnyOf("after it was failed", "no answer");
    }

    // Rule 2

    @Test
    void aModuleThatSendsAgainWhateverTheClass() throws Exception {
        Violation v = caught(
                Rule.EFFECT,
                () -> module(settings -> {
                    var safe = settings.classes().stream()
                            .map(c -> new Balancer.RequestClass(
                                    c.name(),
                                    c.aimUs(),
                                    c.deadlineUs(),
                                    c.worth(),
                                    c.lateWorth(),
                                    Balancer.Effect.SAFE,
                                    Balancer.Scope.ALL,
                                    0))
                            .toList();
                    return new Policy(new Balancer.Settings(
                            settings.balancers(),
                            settings.rank(),
                            settings.zone(),
                            settings.tickUs(),
                            safe,
                            settings.tenants(),
                            settings.overShareWorth(),
                            false,
                            settings.limits(),
                            settings.rules(),
                            settings.seed()));
                }));
        assertThat(v.what()).contains("may have run");
    }

    @Test
    void aModuleThatRefusesWhatMayHaveRun() throws Exception {
        Violation v = caught(
                Rule.EFFECT,
                () -> module(settings -> {
                    var policy = new Policy(settings);
                    return (now, event, actions) -> policy.handle(
                            now,
                            event,
                            a -> actions.accept(a instanceof Balancer.Fail f ? new Balancer.Refuse(f.id(), 0) : a));
                }));
        assertThat(v.what()).contains("refused though attempt");
    }

    @Test
    void aTransportThatSendsByItselfAgain() throws Exception {
        Violation v = caught(
                Rule.EFFECT,
                () -> transport(t -> new Passing.Of(t) {
                    @Override
                    public Attempt attempt(String backend, Payload request, long deadlineUs, Attempt.End end) {
                        Attempt copy = super.attempt(backend, request, deadlineUs, (outcome, answer) -> {
                            if (answer != null) {
                                answer.release();
                            }
                        });
                        if (copy != null) {
                            copy.start();
                        }
                        return super.attempt(backend, request, deadlineUs, end);
                    }
                }));
        assertThat(v.what()).containsAnyOf("was out", "may have run", "second time", "attempt number");
    }

    @Test
    void aTransportThatTakesAResetForProof() throws Exception {
        caught(
                Rule.EFFECT,
                () -> transport(t -> new Passing.Of(t) {
                    @Override
                    public Attempt attempt(String backend, Payload request, long deadlineUs, Attempt.End end) {
                        return super.attempt(
                                backend,
                                request,
                                deadlineUs,
                                (outcome, answer) ->
                                        end.ended(outcome == Outcome.RESET ? Outcome.CONNECT_FAILED : outcome, answer));
                    }
                }));
    }

    // Rule 3

    @Test
    void aProxyThatIsDeafToDrains() throws Exception {
        Violation v = caught(
                Rule.DRAIN,
                () -> new Pool.Wiring(
                        Policy::new,
                        UnaryOperator.identity(),
                        UnaryOperator.identity(),
                        sink -> (kind, listed) -> sink.members(
                                kind == ListKind.FULL ? ListKind.DELTA : kind,
                                listed.stream()
                                        .filter(l -> l.backend().state() == Balancer.State.READY)
                                        .toList())));
        assertThat(v.what()).containsPattern("\\d+ ms after proxy \\d was told");
    }

    // Rule 4

    @Test
    void aModuleThatSendsAllToTheNewestBackend() throws Exception {
        Violation v = caught(
                Rule.COLD,
                () -> module(settings -> {
                    var policy = new Policy(settings);
                    var newest = new Balancer.Backend[1];
                    return (now, event, actions) -> {
                        if (event instanceof Balancer.Members m) {
                            m.backends().stream()
                                    .filter(b -> b.startedAtUs() > 0 && b.state() == Balancer.State.READY)
                                    .forEach(b -> newest[0] = b);
                        }
                        policy.handle(
                                now,
                                event,
                                a -> actions.accept(
                                        newest[0] != null && a instanceof Balancer.Send s
                                                ? new Balancer.Send(s.id(), newest[0].id(), s.timeoutUs())
                                                : a));
                    };
                }));
        assertThat(v.what()).contains("ms of work within");
    }

    /** Passes all on. */
    private static class Passing implements Intake {
        private final Intake to;

        Passing(Intake to) {
            this.to = to;
        }

        Responder responder(Responder responder) {
            return responder;
        }

        @Override
        public boolean knows(String id) {
            return to.knows(id);
        }

        @Override
        public void arrived(Request request, Responder responder) {
            to.arrived(request, responder(responder));
        }

        @Override
        public void whole(String id, long deadlineUs) {
            to.whole(id, deadlineUs);
        }

        @Override
        public void giveUp(String id, String why) {
            to.giveUp(id, why);
        }

        @Override
        public void clientGone(String id) {
            to.clientGone(id);
        }

        static class Of implements Transport {
            private final Transport to;

            Of(Transport to) {
                this.to = to;
            }

            @Override
            public List<? extends Attempt> members(ListKind kind, List<Listed> listed) {
                return to.members(kind, listed);
            }

            @Override
            public boolean anyReady() {
                return to.anyReady();
            }

            @Override
            public Attempt attempt(String backend, Payload request, long deadlineUs, Attempt.End end) {
                return to.attempt(backend, request, deadlineUs, end);
            }

            @Override
            public void release(String backend) {
                to.release(backend);
            }
        }
    }

    private static class Through implements Responder {
        private final Responder to;

        Through(Responder to) {
            this.to = to;
        }

        @Override
        public void served(Payload answer) {
            to.served(answer);
        }

        @Override
        public void refused(long retryAfterUs) {
            to.refused(retryAfterUs);
        }

        @Override
        public void failed() {
            to.failed();
        }
    }

    private static final class Silent implements Responder {
        @Override
        public void served(Payload answer) {
            answer.release();
        }

        @Override
        public void refused(long retryAfterUs) {}

        @Override
        public void failed() {}
    }
}
