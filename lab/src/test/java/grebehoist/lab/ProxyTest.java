package grebehoist.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beechfall.Balancer;
import beechfall.Balancer.ListKind;
import grebehoist.engine.Payload;
import grebehoist.engine.Request;
import grebehoist.engine.Responder;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** A policy that breaks a rule, or throws, is seen. */
class ProxyTest {
    private final Experiment e = Text.experiment(Text.fleet(1, 1, 0.5, ""));
    private final VirtualTime time = new VirtualTime(0, 1_000);
    private final Figures figures = new Figures(e);
    private final Machine machine = new Machine("m", e.kinds().get(0), 1, time, RandomSource.SPLIT_MIX_64.create(1));
    private int answers;

    private Proxy proxy(Balancer module) {
        var settings = new Balancer.Settings(
                1,
                0,
                "a",
                1_000,
                List.of(e.classes().get(1).settings()),
                List.of(),
                1,
                false,
                new Balancer.Limits(true, false, false, false, 4, 0),
                new Balancer.Rules(0.5, 5_000_000, 4, 1_000_000, 10_000_000, false),
                1);
        var p = new Proxy(settings, module, time, Map.of("m", machine), 100, figures);
        p.tell(0, ListKind.FULL, List.of(machine.listed()));
        time.runTo(10);
        return p;
    }

    private void ask(Proxy p, Job job) {
        p.intake()
                .arrived(
                        new Request("r" + answers, "payment", null, null, false, time.now() + 3_000_000, job),
                        new Responder() {
                            @Override
                            public void served(Payload answer) {
                                answers++;
                            }

                            @Override
                            public void refused(long retryAfterUs) {
                                answers++;
                            }

                            @Override
                            public void failed() {
                                answers++;
                            }
                        });
    }

    @Test
    void aSendToOneThatDrainsIsCountedOnceTheGraceIsOver() {
        Proxy p = proxy((now, event, actions) -> {
            if (event instanceof Balancer.Arrival a) {
                actions.accept(new Balancer.Send(a.id(), "m", 1_000_000));
            } else if (event instanceof Balancer.AttemptEnded a && !a.last()) {
                actions.accept(new Balancer.Fail(a.id()));
            }
        });
        ask(p, new Job(1, true, 10_000, 0));
        time.runTo(100_000);
        machine.drain();
        p.tell(time.now(), ListKind.DELTA, List.of(machine.listed()));
        time.runTo(300_000);
        ask(p, new Job(1, true, 10_000, 0));
        assertThat(figures.broken()).isEmpty();
        time.runTo(400_000);
        ask(p, new Job(1, true, 10_000, 0));
        assertThat(figures.broken()).containsOnlyKeys("3: asked to send to a backend that drains or is gone");
        assertThat(answers).isEqualTo(3);
    }

    @Test
    void anUnsafeRequestThatIsSentAgainAfterATimeoutIsCounted() {
        Proxy p = proxy((now, event, actions) -> {
            if (event instanceof Balancer.Arrival a) {
                actions.accept(new Balancer.Send(a.id(), "m", 5_000));
            } else if (event instanceof Balancer.AttemptEnded a && !a.last()) {
                actions.accept(new Balancer.Send(a.id(), "m", 1_000_000));
            }
        });
        ask(p, new Job(1, true, 10_000, 0));
        time.runTo(100_000);
        assertThat(figures.broken()).containsOnlyKeys("2: an unsafe request has taken effect twice");
        assertThat(answers).isEqualTo(1);
        assertThat(p.remembered()).isZero();
    }

    @Test
    void aPolicyThatThrowsEndsItsPlayAndNoOther() {
        assertThatThrownBy(() -> ask(
                        proxy((now, event, actions) -> {
                            throw new IllegalStateException("on purpose");
                        }),
                        new Job(1, true, 10_000, 0)))
                .isInstanceOf(LabException.class)
                .hasMessageContaining("on purpose");
    }
}
