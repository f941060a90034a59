package grebehoist.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beechfall.Balancer.Arrival;
import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.Fail;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.Refuse;
import beechfall.Balancer.Send;
import grebehoist.cli.Fixture;
import grebehoist.cli.Peer;
import grebehoist.cli.Wire;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies and answers that are longer than what is held: passed on as they come, and no faster than they are taken. */
class LongMessagesTest {
    private static final String PIECE = "0123456789abcdef".repeat(1_024);

    private static Wire attempt(Peer backend) throws IOException {
        Wire attempt = backend.accept();
        attempt.head();
        return attempt;
    }

    /** Sends a piece two thousand times, on a thread of its own. */
    private static CompletableFuture<Void> sending(Wire to, String piece) {
        return CompletableFuture.runAsync(() -> {
            try {
                for (int i = 0; i < 2_000; i++) {
                    to.send(piece);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Test
    void aLongAnswerGoesOnBeforeItsEnd() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            attempt.send("HTTP/1.1 200 OK\r\nContent-Length: 163840\r\nX-Kept: 1\r\n\r\n" + PIECE);
            Wire.Message head = client.head();
            assertThat(head.header("Content-Length")).isEqualTo("163840");
            assertThat(head.header("X-Kept")).isEqualTo("1");
            assertThat(client.body(PIECE.length())).isEqualTo(PIECE);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.OK);
            attempt.send(PIECE.repeat(9));
            assertThat(client.body(9 * PIECE.length())).isEqualTo(PIECE.repeat(9));
            // Both connections are of further use.
            Thread.sleep(10);
            client.send(Fixture.get("r2"));
            assertThat(attempt.head().header("X-Request-ID")).isEqualTo("r2");
            attempt.send(Peer.ok("x"));
            assertThat(client.read().body()).isEqualTo("x");
        }
    }

    @Test
    void chunksOfUnknownLengthGoOnAsChunks() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            String chunk = "4000;x=y\r\n" + PIECE + "\r\n";
            attempt.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.repeat(6));
            assertThat(client.head().header("Transfer-Encoding")).isEqualTo("chunked");
            attempt.send(chunk + "0\r\nX-Trailer: 1\r\n\r\n");
            assertThat(client.chunks()).isEqualTo(PIECE.repeat(7));
        }
    }

    /** The client can tell that it is not whole, and gets nothing after it. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 163840", "Transfer-Encoding: chunked"})
    void anAnswerThatStopsHalfWayEndsTheClientsConnection(String length) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            boolean chunks = length.endsWith("chunked");
            attempt.send("HTTP/1.1 200 OK\r\n" + length + "\r\n\r\n"
                    + (chunks ? ("4000\r\n" + PIECE + "\r\n").repeat(6) : PIECE));
            client.head();
            attempt.close();
            assertThatThrownBy(() -> {
                        if (chunks) {
                            client.chunks();
                        } else {
                            client.body(163_840);
                        }
                    })
                    .hasMessageStartingWith("cut short");
        }
    }

    /** What the client does not take is not taken from the backend either: memory holds a little of it, however long it is. */
    @Test
    void anAnswerIsReadNoFasterThanItsClientTakesIt() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            attempt.send("HTTP/1.1 200 OK\r\nContent-Length: 32768000\r\n\r\n");
            var written = new AtomicLong();
            CompletableFuture<Void> all = CompletableFuture.runAsync(() -> {
                try {
                    for (int i = 0; i < 2_000; i++) {
                        attempt.send(PIECE);
                        written.addAndGet(PIECE.length());
                    }
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            client.head();
            long before = -1;
            while (written.get() != before) {
                before = written.get();
                Thread.sleep(200);
            }
            // What the kernel holds for both connections may have been written.
            assertThat(before).isLessThan(24_000_000);
            for (int i = 0; i < 2_000; i++) {
                assertThat(client.body(PIECE.length())).isEqualTo(PIECE);
            }
            all.get();
        }
    }

    @Test
    void aClientThatLeavesEndsTheAnswer() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend)) {
            Wire attempt;
            try (var client = proxy.client()) {
                client.send(Fixture.get("r1"));
                attempt = attempt(backend);
                attempt.send("HTTP/1.1 200 OK\r\nContent-Length: 163840\r\n\r\n" + PIECE);
                client.head();
            }
            assertThat(attempt.ended()).isTrue();
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLongBodyGoesOnAsItComes(boolean chunks) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            String head = Fixture.post("r1", "")
                    .replace("Content-Length: 0", chunks ? "Transfer-Encoding: chunked" : "Content-Length: 655360");
            String piece = chunks ? "4000\r\n" + PIECE + "\r\n" : PIECE;
            client.send(head + piece.repeat(20));
            Wire attempt = backend.accept();
            Wire.Message got = attempt.head();
            assertThat(got.header("Idempotency-Key")).isEqualTo("5c0f");
            client.send(piece.repeat(20) + (chunks ? "0\r\n\r\n" : ""));
            assertThat(chunks ? attempt.chunks() : attempt.body(655_360)).isEqualTo(PIECE.repeat(40));
            attempt.send(Peer.ok("done"));
            assertThat(client.read().body()).isEqualTo("done");
            // The backend's time began with the last byte.
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.OK);
            assertThat(client.send("GET /ready HTTP/1.1\r\n\r\n").read().status())
                    .isEqualTo(503);
        }
    }

    /**
     * Reading rests and goes on some thousand times. Where it once does not go on, the rest waits for nobody, and the request is given up
     * for no fault but this program's.
     */
    @Test
    void aLongBodyNeverStalls() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.post("r1", "").replace("Content-Length: 0", "Content-Length: 32768000"));
            var all = sending(client, PIECE);
            Wire attempt = attempt(backend);
            for (int i = 0; i < 2_000; i++) {
                assertThat(attempt.body(PIECE.length())).isEqualTo(PIECE);
            }
            all.get();
            attempt.send(Peer.ok("done"));
            assertThat(client.read().body()).isEqualTo("done");
        }
    }

    /** Rule 1, and for what was read ahead: its end had come before it began, so its deadline is that of any request. */
    @Test
    void aLongBodyThatWaitedItsTurnIsAnsweredInTime() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            String body = "fff0\r\n" + "x".repeat(65_520) + "\r\n";
            client.send(Fixture.post("r2", "")
                            .replace("Content-Length: 0", "Transfer-Encoding: chunked\r\nExpect: 100-continue")
                    + body.repeat(5) + "0\r\n\r\n");
            attempt.send("HTTP/1.1 200 OK\r\nContent-Length: 163840\r\n\r\n" + PIECE.repeat(10));
            assertThat(client.head().status()).isEqualTo(200);
            assertThat(client.body(163_840)).as("and nothing in between").isEqualTo(PIECE.repeat(10));
            Wire second = backend.accept();
            second.head();
            assertThat(second.chunks()).hasSize(5 * 65_520);
            long from = System.nanoTime();
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(System.nanoTime() - from).isLessThan(5_000_000_000L);
        }
    }

    /** A slow client's body is held, and costs no backend a place until it is whole. */
    @Test
    void aSlowBodyIsHeldUntilItIsWhole() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.post("r1", "").replace("Content-Length: 0", "Content-Length: 163840"));
            for (int i = 0; i < 10; i++) {
                assertThat(proxy.events).noneMatch(Arrival.class::isInstance);
                client.send(PIECE);
                Thread.sleep(10);
            }
            Wire attempt = backend.accept();
            assertThat(attempt.read().body()).isEqualTo(PIECE.repeat(10));
            attempt.send(Peer.ok("done"));
            assertThat(client.read().body()).isEqualTo("done");
        }
    }

    /**
     * Guards against picture (d) of issue 63: a client that had written a long body at once waited for its answer until a slow backend had
     * read it, long past its time.
     */
    @Test
    void aLongBodyThatItsBackendReadsSlowlyIsAnsweredInTime() throws Exception {
        try (var backend = Peer.narrow();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r0"));
            Wire attempt = backend.accept();
            attempt.read();
            attempt.send(Peer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
            int length = 1_200_000;
            client.send(Fixture.post("r1", "").replace("Content-Length: 0", "Content-Length: " + length));
            CompletableFuture<Long> answeredAt = CompletableFuture.supplyAsync(() -> answeredAt(client));
            client.send("x".repeat(length));
            long writtenAt = System.nanoTime();
            assertThat(answeredAt).as("the network has taken it at once").isNotDone();
            attempt.head();
            readSlowly(attempt, answeredAt);
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(answeredAt.get() - writtenAt);
            // It waits 1.9 s, and half a second after that the answer is lost.
            assertThat(waitedMs).isLessThan(2_400);
        }
    }

    /** What waited while a long body came is no age of the next request on its connection, and no begin of one. */
    @Test
    void aRequestBehindALongBodyHasItsWholeTime() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            String chunk = "4000\r\n" + PIECE + "\r\n";
            client.send(Fixture.post("r1", "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
            var sent = CompletableFuture.runAsync(() -> sendAll(client, chunk.repeat(100) + "0\r\n\r\n"));
            Wire attempt = backend.accept();
            attempt.head();
            // Long enough that the backlog is looked at, in which all buffers are full.
            TimeUnit.MILLISECONDS.sleep(500);
            attempt.chunks();
            sent.get();
            attempt.send(Peer.ok("done"));
            assertThat(client.read().status()).isEqualTo(200);
            // Past the time of a request, and of a head.
            TimeUnit.MILLISECONDS.sleep(2_000);
            client.send(Fixture.get("r2"));
            attempt.read();
            attempt.send(Peer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
        }
    }

    private static void sendAll(Wire client, String text) {
        try {
            client.send(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static long answeredAt(Wire client) {
        try {
            assertThat(client.read().status()).isEqualTo(503);
            return System.nanoTime();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads 64 kB a second until a client has its answer, or the connection ends. */
    private static void readSlowly(Wire attempt, CompletableFuture<Long> answered) throws InterruptedException {
        try {
            while (!answered.isDone()) {
                attempt.body(3_200);
                TimeUnit.MILLISECONDS.sleep(50);
            }
        } catch (IOException e) {
            // The proxy has given it up.
        }
    }

    /** Rule 2: what has gone to one backend is not there for another, and what never ran may be asked for again. */
    @Test
    void aLongBodyGoesOutOnce() throws Exception {
        try (var first = new Peer();
                var second = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a) {
                                actions.accept(new Send(a.id(), "s0", 0));
                            } else if (event instanceof AttemptEnded e && e.attempt() == 0) {
                                actions.accept(new Send(e.id(), "s1", 0));
                            } else if (event instanceof AttemptEnded e && !e.last()) {
                                actions.accept(new Refuse(e.id(), 0));
                            }
                        },
                        first,
                        second);
                var client = proxy.client()) {
            client.send(
                    Fixture.post("r1", "").replace("Content-Length: 0", "Content-Length: 6553600") + PIECE.repeat(20));
            Wire attempt = attempt(first);
            attempt.close();
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.CONNECT_FAILED);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.NOT_SENT);
            assertThat(client.read().status()).isEqualTo(503);
            assertThat(client.ended()).isTrue();
            assertThat(second.accept().ended())
                    .as("a connection was opened, and no request came with it")
                    .isTrue();
        }
    }

    /** Rule 1 and the hygiene of clients: one that stops in the middle is told so, once, and its backend begins with nothing. */
    @Test
    void aLongBodyThatStopsIsCutOff() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(
                    Fixture.post("r1", "").replace("Content-Length: 0", "Content-Length: 6553600") + PIECE.repeat(20));
            Wire attempt = attempt(backend);
            assertThat(client.read().status()).isEqualTo(408);
            assertThat(client.endedQuietly()).isTrue();
            assertThat(attempt.endedQuietly()).isTrue();
            assertThat(proxy.client().send(Fixture.get("r1")).socket.isConnected())
                    .isTrue();
        }
    }

    /**
     * Rule 1. A backend that takes nothing of a long body has begun with nothing: the client is refused when its own time may be up, as the
     * end of the body may be in the kernel, or when nothing has moved for too long.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLongBodyThatNoBackendTakesIsRefused(boolean chunks) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a) {
                                actions.accept(new Send(a.id(), "s0", 500_000));
                            } else if (event instanceof AttemptEnded e && !e.last()) {
                                actions.accept(new Refuse(e.id(), 0));
                            }
                        },
                        backend);
                var client = proxy.client()) {
            String piece = chunks ? "4000\r\n" + PIECE + "\r\n" : PIECE;
            client.send(Fixture.post("r1", "")
                    .replace("Content-Length: 0", chunks ? "Transfer-Encoding: chunked" : "Content-Length: 32768000"));
            var writing = sending(client, piece);
            Wire attempt = attempt(backend);
            assertThat(client.read().status()).isEqualTo(503);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isIn(Outcome.CANCELLED, Outcome.CONNECT_FAILED);
            assertThatThrownBy(() -> attempt.body(32_768_000)).isInstanceOf(IOException.class);
            client.socket.close();
            assertThatThrownBy(writing::get).isNotNull();
        }
    }

    @Test
    void aLongBodyThatCannotBeReadFailsAndNeverRuns() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a) {
                                actions.accept(new Send(a.id(), "s0", 0));
                            } else if (event instanceof AttemptEnded e && !e.last()) {
                                actions.accept(new Fail(e.id()));
                            }
                        },
                        backend);
                var client = proxy.client()) {
            client.send(Fixture.post("r1", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                    + ("4000\r\n" + PIECE + "\r\n").repeat(20) + "zz\r\n");
            Wire attempt = attempt(backend);
            assertThat(client.read().status()).isEqualTo(400);
            assertThatThrownBy(attempt::chunks)
                    .isInstanceOf(IOException.class)
                    .isNotInstanceOf(SocketTimeoutException.class);
        }
    }

    /** However many clients come at once, each with a little less than is held: past the bound bodies are handed on instead. */
    @Test
    void manySlowBodiesTakeNoMoreMemoryThanTheyMay() throws Exception {
        var clients = new ArrayList<Wire>();
        try (var backend = new Peer();
                var proxy = new Fixture((event, actions) -> {}, backend)) {
            String piece = "x".repeat(60_000);
            for (int i = 0; i < 300; i++) {
                Wire client = proxy.client();
                clients.add(client);
                client.send(Fixture.post("r" + i, "").replace("Content-Length: 0", "Content-Length: 64000") + piece);
            }
            // 300 would hold 18 MB, and 12 MB is what they may: some have begun before their end has come.
            assertThat(proxy.next(Arrival.class).id()).startsWith("r");
        } finally {
            for (Wire client : clients) {
                client.close();
            }
        }
    }

    @Test
    void whatIsHeldHasABoundAndGoesAway() {
        var held = new HeldBodies(1 << 20);
        assertThat(held.mayHold(HeldBodies.LONGEST)).isTrue();
        assertThat(held.mayHold(HeldBodies.LONGEST + 1)).isFalse();
        held.add(800_000);
        assertThat(held.mayHold(100_000)).as("a long one, past two thirds").isFalse();
        assertThat(held.mayHold(50_000)).isTrue();
        held.add(400_000);
        assertThat(held.mayHold(50_000)).isFalse();
        assertThat(held.mayHold(8_000)).as("handing it on would take as much").isTrue();
        held.add(-1_200_000);
        assertThat(held.bytes()).isZero();
        assertThat(held.mayHold(100_000)).isTrue();
    }

    /** RFC 9112, 3.2.2: a proxy's client may name the whole URI; a backend is asked for its path. */
    @Test
    void aWholeUriIsAskedForByItsPath() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1").replace("GET /api", "GET http://service.internal/api"));
            Wire attempt = backend.accept();
            assertThat(attempt.read().first()).isEqualTo("GET /api?k=u1 HTTP/1.1");
        }
    }
}
