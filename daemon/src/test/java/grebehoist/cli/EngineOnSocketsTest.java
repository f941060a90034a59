package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Arrival;
import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.Cancel;
import beechfall.Balancer.ClientGone;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.Send;
import beechfall.Balancer.SetTimer;
import beechfall.Balancer.TimerFired;
import org.junit.jupiter.api.Test;

/** What the proxy does round the module, whatever the module does. */
class EngineOnSocketsTest {
    /** Rule 1: a request that the module forgets is answered all the same, before its client gives up. */
    @Test
    void answersInTimeWhateverTheModuleDoes() throws Exception {
        try (var proxy = new Fixture((event, actions) -> {});
                var client = proxy.client()) {
            long sent = System.nanoTime();
            Wire.Message answer =
                    client.send(Fixture.get("r1").replace("1900m", "300000u")).read();
            assertThat(answer.status()).isEqualTo(502);
            assertThat(System.nanoTime() - sent).isGreaterThan(200_000_000L);
            assertThat(proxy.next(ClientGone.class).id()).isEqualTo("r1");
        }
    }

    @Test
    void anErrorInTheModuleCostsOneRequest() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a && a.id().equals("bad")) {
                                throw new IllegalStateException("as the test wants it");
                            }
                            Fixture.sendTo("s0").handle(event, actions);
                        },
                        backend);
                var client = proxy.client()) {
            backend.always(Peer.ok("x"));
            assertThat(client.send(Fixture.get("bad")).read().status()).isEqualTo(502);
            assertThat(client.send(Fixture.get("good")).read().status()).isEqualTo(200);
        }
    }

    /** Rule 2: no attempt goes out beside another, and none once the request is over or has had its tries. */
    @Test
    void sendsNoSecondCopy() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a) {
                                actions.accept(new Send(a.id(), "s0", 0));
                                actions.accept(new Send(a.id(), "s0", 0));
                                actions.accept(new Send(a.id(), "unknown", 0));
                            }
                        },
                        backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire first = backend.accept();
            first.read();
            for (int number = 1; number <= 2; number++) {
                AttemptEnded end = proxy.next(AttemptEnded.class);
                assertThat(end.attempt()).isEqualTo(number);
                assertThat(end.outcome()).isEqualTo(Outcome.NOT_SENT);
                assertThat(end.last()).isFalse();
            }
            first.send(Peer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
            assertThat(proxy.next(AttemptEnded.class).last()).isTrue();
        }
    }

    @Test
    void cancelsWhenTheModuleSaysSo() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof ClientGone g) {
                                actions.accept(new Cancel(g.id(), 0));
                            }
                            Fixture.sendTo("s0").handle(event, actions);
                        },
                        backend)) {
            Wire attempt;
            try (var client = proxy.client()) {
                client.send(Fixture.get("r1"));
                attempt = backend.accept();
                attempt.read();
            }
            assertThat(attempt.ended()).isTrue();
            AttemptEnded end = proxy.next(AttemptEnded.class);
            assertThat(end.outcome()).isEqualTo(Outcome.CANCELLED);
            assertThat(end.last()).isTrue();
        }
    }

    @Test
    void timersFireOnTheProxysClock() throws Exception {
        var set = new boolean[1];
        try (var proxy = new Fixture((event, actions) -> {
            if (!set[0]) {
                set[0] = true;
                actions.accept(new SetTimer(0, "due"));
            }
        })) {
            assertThat(proxy.next(TimerFired.class).token()).isEqualTo("due");
        }
    }
}
