package grebehoist.http;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Arrival;
import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.Fail;
import beechfall.Balancer.Send;
import grebehoist.cli.Fixture;
import grebehoist.cli.Peer;
import grebehoist.cli.Wire;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Messages whose pieces are many and short: they cost by the piece, and others are answered in time beside them. */
@Timeout(60)
class ShortPiecesTest {
    private static final int ANSWERS = 100;
    private static final int UPLOADS = 8;
    private static final int ORDINARY = 20;
    private static final String SHORT_CHUNKS = "8\r\n01234567\r\n".repeat(10_000);
    private static final String SHORTEST_CHUNKS = "1\r\nx\r\n".repeat(10_000);

    private final List<Wire> open = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        for (Wire wire : open) {
            wire.close();
        }
    }

    /** Messages with many pieces go to one backend, ordinary requests to another. */
    private static Fixture.Module apart() {
        return (event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), a.id().startsWith("many") ? "s0" : "s1", 0));
            } else if (event instanceof AttemptEnded e && !e.last()) {
                actions.accept(new Fail(e.id()));
            }
        };
    }

    private Wire connect(Fixture proxy) throws IOException {
        Wire wire = proxy.client();
        open.add(wire);
        return wire;
    }

    private static void readOn(Wire wire) {
        Peer.background(() -> {
            InputStream in = wire.socket.getInputStream();
            byte[] some = new byte[64 * 1_024];
            while (in.read(some) >= 0) {
                // It is the speed that counts.
            }
        });
    }

    private static void sendOn(Wire wire, String chunks) {
        Peer.background(() -> {
            while (true) {
                wire.send(chunks);
            }
        });
    }

    private static void othersAreAnswered(Fixture proxy) throws IOException {
        for (int i = 0; i < ORDINARY; i++) {
            try (Wire client = proxy.client()) {
                Wire.Message answer = client.send(Fixture.get("ordinary" + i)).read();
                assertThat(answer.status())
                        .as("request %d, within its 1.9 s", i)
                        .isEqualTo(200);
            }
        }
    }

    /** Guards against review case 5: long answers in small chunks held the event loop up, and others were answered seconds late. */
    @Test
    void answersInSmallChunksHoldNobodyUp() throws Exception {
        try (var backend = new Peer();
                var other = new Peer();
                var proxy = new Fixture(apart(), backend, other)) {
            other.always(Peer.ok("x"));
            for (int i = 0; i < ANSWERS; i++) {
                Wire client = connect(proxy).send(Fixture.get("many" + i));
                Wire attempt = backend.accept();
                attempt.head();
                attempt.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                sendOn(attempt, SHORT_CHUNKS);
                readOn(client);
            }
            othersAreAnswered(proxy);
        }
    }

    /** Guards against picture (b) of issue 63: one client's body in chunks of one byte held everybody else up. */
    @Test
    void bodiesInChunksOfOneByteHoldNobodyUp() throws Exception {
        try (var backend = new Peer();
                var other = new Peer();
                var proxy = new Fixture(apart(), backend, other)) {
            other.always(Peer.ok("x"));
            for (int i = 0; i < UPLOADS; i++) {
                Wire client = connect(proxy)
                        .send(Fixture.post("many" + i, "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
                sendOn(client, SHORTEST_CHUNKS);
                readOn(backend.accept());
            }
            othersAreAnswered(proxy);
        }
    }
}
