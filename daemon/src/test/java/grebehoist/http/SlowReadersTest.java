package grebehoist.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beechfall.Balancer.Arrival;
import beechfall.Balancer.Send;
import grebehoist.cli.Fixture;
import grebehoist.cli.Peer;
import grebehoist.cli.Wire;
import java.io.IOException;
import java.util.ArrayList;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Clients that take a long answer slowly, and the end of their connections. */
class SlowReadersTest {
    private static final String PIECE = "0123456789abcdef".repeat(1_024);
    private static final int LENGTH = 512 * PIECE.length();

    /** Answers one request with {@link #LENGTH} bytes, as fast as they are taken. */
    private static CompletableFuture<Void> answer(Wire attempt) throws IOException {
        attempt.head();
        attempt.send("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n");
        return CompletableFuture.runAsync(() -> {
            try {
                for (int i = 0; i < 512; i++) {
                    attempt.send(PIECE);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private static String get(String id, String header) {
        return Fixture.get(id).replace("\r\n\r\n", "\r\n" + header + "\r\n\r\n");
    }

    /**
     * Rule 1. One client takes 64 kB a second, longer than one may take nothing at all, and has its answer whole in the end. Beside it
     * one that takes nothing is cut off, and so is the answer of its backend.
     */
    @Test
    void whoTakesLittleIsServedAndWhoTakesNothingIsCutOff() throws Exception {
        try (var slow = new Peer();
                var none = new Peer();
                var proxy = new Fixture(
                        (event, actions) -> {
                            if (event instanceof Arrival a) {
                                actions.accept(new Send(a.id(), a.id().equals("slow") ? "s0" : "s1", 0));
                            }
                        },
                        slow,
                        none);
                var reads = Wire.narrow(proxy.address);
                var silent = Wire.narrow(proxy.address)) {
            reads.send(Fixture.get("slow"));
            CompletableFuture<Void> given = answer(slow.accept());
            silent.send(Fixture.get("none"));
            CompletableFuture<Void> notGiven = answer(none.accept());
            reads.head();
            var read = new StringBuilder();
            long from = System.nanoTime();
            while (!notGiven.isDone() || System.nanoTime() - from < 14_000_000_000L) {
                read.append(reads.body(16 * 1_024));
                Thread.sleep(250);
                assertThat(given).isNotCompletedExceptionally();
                assertThat(System.nanoTime() - from)
                        .as("it is cut off in a stated time")
                        .isLessThan(25_000_000_000L);
            }
            assertThat(notGiven).isCompletedExceptionally();
            read.append(reads.body(LENGTH - read.length()));
            assertThat(read.toString()).isEqualTo(PIECE.repeat(512));
        }
    }

    /** What a client says too much, behind its last request, does not cost it the rest of an answer that is on its way. */
    @Test
    void bytesBehindTheLastRequestDoNotDestroyItsAnswer() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = Wire.narrow(proxy.address)) {
            client.send(get("r1", "Connection: close"));
            CompletableFuture<Void> given = answer(backend.accept());
            assertThat(client.head().header("Connection")).isEqualTo("close");
            String most = client.body(LENGTH - 64 * 1_024);
            given.get();
            // The last bytes are in the kernel by now, or soon will be.
            Thread.sleep(50);
            client.send("GET /more HTTP/1.1\r\n\r\n");
            Thread.sleep(50);
            assertThat(most + client.body(64 * 1_024)).isEqualTo(PIECE.repeat(512));
            assertThat(client.ended()).isTrue();
        }
    }

    /**
     * A connection is not idle before its answer has gone out, whatever looks for idle ones: here the end of the process. Of one of the
     * lengths the backend is done, and the last bytes fit neither into the client's kernel nor into this side's.
     */
    @Test
    void aDrainWaitsForWhatClientsHaveYetToTake() throws Exception {
        var clients = new ArrayList<Wire>();
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend)) {
            for (int i = 0; i < 40; i++) {
                Wire client = Wire.narrow(proxy.address);
                clients.add(client);
                client.send(Fixture.get("r" + i));
                Wire attempt = backend.accept();
                attempt.head();
                attempt.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + length(i) + "\r\n\r\n"
                        + "x".repeat(length(i)));
                client.head();
            }
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            Thread.sleep(700);
            for (int i = 0; i < clients.size(); i++) {
                assertThat(clients.get(i).body(length(i))).hasSize(length(i));
            }
            for (Wire client : clients) {
                assertThat(client.ended()).isTrue();
            }
            drained.get();
        } finally {
            for (Wire client : clients) {
                client.close();
            }
        }
    }

    private static int length(int i) {
        return (100 + 20 * i) * 1_024;
    }

    /** The client can tell that an answer is not whole, and soon: its connection ends with its backend's. */
    @Test
    void aBackendThatDiesInMidAnswerIsToldAtOnce() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = Wire.narrow(proxy.address)) {
            client.send(Fixture.get("r1"));
            Wire attempt = backend.accept();
            attempt.head();
            attempt.send("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n" + PIECE);
            attempt.socket.setSoLinger(true, 0);
            client.head();
            client.body(PIECE.length());
            attempt.close();
            assertThatThrownBy(() -> client.body(LENGTH - PIECE.length()))
                    .isInstanceOf(IOException.class)
                    .isNotInstanceOf(java.net.SocketTimeoutException.class);
        }
    }
}
