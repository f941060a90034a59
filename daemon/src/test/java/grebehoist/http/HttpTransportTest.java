package grebehoist.http;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Arrival;
import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.Release;
import beechfall.Balancer.Send;
import beechfall.Balancer.Watch;
import grebehoist.cli.Fixture;
import grebehoist.cli.Peer;
import grebehoist.cli.Wire;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What becomes of an attempt: rule 2 rests on 'never ran' being said only where that is certain. */
class HttpTransportTest {
    private static final String OK_X = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";

    @ParameterizedTest
    @CsvSource({
        "503 Unavailable,X-Not-Processed: 1,FULL",
        "504 Late,X-Not-Processed: 1,FULL",
        "503 Unavailable,X-Not-Processed: 0,ERROR",
        "504 Late,X-Other: 1,ERROR",
        "500 Error,X-Not-Processed: 1,ERROR",
        "404 Unknown,X-Other: 1,ERROR",
        "200 OK,X-Not-Processed: 1,OK"
    })
    void tellsOutcomesByTheirAnswers(String status, String header, Outcome outcome) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            backend.always(Peer.answer(status, "x", header));
            client.send(Fixture.get("r1"));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(outcome);
            assertThat(client.read().status()).isEqualTo(outcome == Outcome.OK ? 200 : 502);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
            })
    void aBreakAfterTheLastByteMayHaveRun(String part) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            try (Wire attempt = backend.accept()) {
                attempt.read();
                attempt.send(part);
            }
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.RESET);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    @Test
    void aRefusedConnectionNeverRan() throws Exception {
        var backend = new Peer();
        backend.close();
        try (var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.CONNECT_FAILED);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    /** Something came back, so it may have run; and nothing that follows on that connection is taken for an answer. */
    @Test
    void rubbishIsAnErrorAndEndsTheConnection() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = backend.accept();
            attempt.read();
            attempt.send("rubbish\r\n\r\n" + Peer.ok("not asked for"));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.ERROR);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(attempt.ended()).isTrue();
        }
    }

    /** A connection is used again a moment after its answer, when it has shown whether it brings anything else. */
    private static void settle() throws InterruptedException {
        long from = System.nanoTime();
        while (System.nanoTime() - from < 10_000_000) {
            Thread.sleep(1);
        }
    }

    /** Guards against review/2: a second answer that came late was taken for that of the next request. */
    @Test
    void aBackendThatSendsWhatNobodyAskedForIsSentOneRequestAConnection() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire first = backend.accept();
            first.read();
            first.send(OK_X);
            assertThat(client.read().status()).isEqualTo(200);
            settle();
            first.send(OK_X);
            assertThat(first.ended()).isTrue();
            for (String id : List.of("r2", "r3")) {
                client.send(Fixture.get(id));
                Wire next = backend.accept();
                assertThat(next.read().header("X-Request-ID")).isEqualTo(id);
                next.send(OK_X);
                assertThat(client.read().status()).isEqualTo(200);
                settle();
            }
        }
    }

    /** The request has run, and no answer that can be believed will follow: that is told now, not when time is up. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 0x1\r\n\r\nx",
                "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\nzz\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
                "HTTP/1.1 101 Switching Protocols\r\n\r\nx",
                "\0noise without end",
                "\r\nHTTQ/1.1"
            })
    void aSpoiltAnswerMayHaveRunAndIsToldAtOnce(String answer) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = backend.accept();
            attempt.read();
            attempt.send(answer);
            AttemptEnded end = proxy.next(AttemptEnded.class);
            assertThat(end.outcome()).isEqualTo(Outcome.ERROR);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(attempt.ended()).isTrue();
        }
    }

    /** One that stops on its way may be slow or have no end: nobody can tell before its time is up. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "HTTP/1.1 200 OK\r\nX-Pad: p\r\n", "\r\nHTT"
            })
    void anAnswerThatStopsIsGivenUpAtItsTimeOut(String part) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0", 300_000), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = backend.accept();
            attempt.read();
            attempt.send(part);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.TIMEOUT);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(attempt.ended()).isTrue();
        }
    }

    /** What never ends is cut off by its length, long before it has filled any memory. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 103 Early Hints\r\n\r\n", "X-Pad: pppppppp\r\n"})
    void anAnswerWithoutEndIsCutOff(String more) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = backend.accept();
            attempt.read();
            // It may be cut off before all of it is written.
            Peer.background(
                    () -> attempt.send((more.startsWith("HTTP") ? "" : "HTTP/1.1 200 OK\r\n") + more.repeat(10_000)));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.ERROR);
        }
    }

    /** A good answer is the client's, whatever comes with it; only its connection is of no further use. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxnoise",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx\r\n\0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny"
            })
    void whatComesBehindAnAnswerEndsItsConnection(String answer) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = backend.accept();
            attempt.read();
            attempt.send(answer);
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(attempt.ended()).isTrue();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + OK_X,
                "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT ?\r\nContent-Length: 1\r\n\r\nx"
            })
    void aGoodAnswerIsServedAndItsConnectionKept(String answer) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = backend.accept();
            attempt.read();
            attempt.send(answer);
            assertThat(client.read().body()).isEqualTo("x");
            settle();
            client.send(Fixture.get("r2"));
            assertThat(attempt.read().header("X-Request-ID")).isEqualTo("r2");
            attempt.send(OK_X);
            assertThat(client.read().body()).isEqualTo("x");
            // Out of turn, and not even a whole line: what follows on this connection is nobody's answer.
            attempt.send("noise");
            assertThat(attempt.ended()).isTrue();
        }
    }

    @Test
    void anAnswerBehindAnAnswerIsNotTakenForTheNext() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = backend.accept();
            attempt.read();
            attempt.send(Peer.ok("one") + Peer.ok("two"));
            assertThat(client.read().body()).isEqualTo("one");
            assertThat(attempt.ended()).isTrue();
            client.send(Fixture.get("r2"));
            Wire next = backend.accept();
            next.read();
            next.send(Peer.ok("three"));
            assertThat(client.read().body()).isEqualTo("three");
        }
    }

    @Test
    void anAnswerTooLongIsAnError() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            backend.always("HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\n" + "x".repeat(150_000));
            client.send(Fixture.get("r1"));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.ERROR);
        }
    }

    /** While one attempt is out no other may be: the connection of one that is given up ends before the next begins. */
    @Test
    void aTimeOutClosesTheConnectionBeforeTheNextAttempt() throws Exception {
        try (var slow = new Peer();
                var other = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a) {
                                actions.accept(new Send(a.id(), "s0", 50_000));
                            } else if (event instanceof AttemptEnded e && e.outcome() == Outcome.TIMEOUT) {
                                actions.accept(new Send(e.id(), "s1", 0));
                            }
                        },
                        slow,
                        other);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire first = slow.accept();
            first.read();
            Wire second = other.accept();
            second.read();
            assertThat(first.ended()).isTrue();
            second.send(Peer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
        }
    }

    @Test
    void keepsConnectionsAndReleasesThem() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a && a.id().equals("r3")) {
                                actions.accept(new Release("s0"));
                            }
                            Fixture.sendTo("s0").handle(event, actions);
                        },
                        backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire first = backend.accept();
            for (String next : List.of("r2", "r3")) {
                first.read();
                first.send(Peer.ok("x"));
                assertThat(client.read().status()).isEqualTo(200);
                settle();
                client.send(Fixture.get(next));
            }
            assertThat(first.ended()).isTrue();
            Wire second = backend.accept();
            assertThat(second.read().header("X-Request-ID")).isEqualTo("r3");
        }
    }

    /**
     * A request that crosses the backend's close of an idle connection may have run: this side closes it first. And long before:
     * backends hold few connections, and what many proxies keep for nothing turned others away.
     */
    @Test
    void closesIdleConnectionsLongBeforeTheBackendDoes() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), 1_024, 6_000_000, backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = backend.accept();
            attempt.read();
            attempt.send(Peer.ok("x"));
            client.read();
            long answered = System.nanoTime();
            assertThat(attempt.ended()).isTrue();
            assertThat(System.nanoTime() - answered).isLessThan(TimeUnit.SECONDS.toNanos(3));
        }
    }

    /** Rule 3 counts a send from its first byte: one that still waits for its connection must not go out any more. */
    @Test
    void aDrainStopsWhatIsStillConnecting() throws Exception {
        try (var full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                var backend = new Peer();
                var proxy = new Fixture(watching("s1"), backend);
                var client = proxy.client()) {
            List<Socket> crowd = fill(full);
            String address = "127.0.0.1:" + full.getLocalPort();
            Wire watch = proxy.discovery.accept();
            watch.read();
            watch.send(Peer.ok(Fixture.list(42, false, Fixture.entry("s1", address, "ready"))));
            Wire next = proxy.discovery.accept();
            next.read();
            client.send(Fixture.get("r1"));
            proxy.next(Arrival.class);
            next.send(Peer.ok(Fixture.list(43, false, Fixture.entry("s1", address, "draining"))));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.NOT_SENT);
            assertThat(client.read().status()).isEqualTo(502);
            for (Socket socket : crowd) {
                socket.close();
            }
        }
    }

    private static Fixture.Module watching(String backend) {
        var asked = new boolean[1];
        return (event, actions) -> {
            if (!asked[0]) {
                asked[0] = true;
                actions.accept(new Watch(true));
            }
            Fixture.sendTo(backend).handle(event, actions);
        };
    }

    /** The id says which backend it is, the address only where: what was kept open to the old place is not used again. */
    @Test
    void followsABackendToItsNewAddress() throws Exception {
        try (var old = new Peer();
                var moved = new Peer();
                var proxy = new Fixture(watching("s0"), 1_024, 60_000_000, old);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = old.accept();
            attempt.read();
            attempt.send(Peer.ok("old"));
            assertThat(client.read().body()).isEqualTo("old");
            Wire watch = proxy.discovery.accept();
            watch.read();
            watch.send(Peer.ok(Fixture.list(42, false, Fixture.entry("s0", moved.address(), "ready"))));
            assertThat(attempt.ended()).isTrue();
            moved.always(Peer.ok("new"));
            assertThat(client.send(Fixture.get("r2")).read().body()).isEqualTo("new");
        }
    }

    /** Connects until the queue of a listener that accepts nothing is full: whoever comes next waits. */
    private static List<Socket> fill(ServerSocket server) throws IOException {
        var crowd = new ArrayList<Socket>();
        while (true) {
            var socket = new Socket();
            try {
                socket.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), 100);
                crowd.add(socket);
            } catch (java.net.SocketTimeoutException e) {
                socket.close();
                return crowd;
            }
        }
    }
}
