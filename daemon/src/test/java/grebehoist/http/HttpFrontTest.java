package grebehoist.http;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Arrival;
import beechfall.Balancer.ClientGone;
import beechfall.Balancer.Fail;
import beechfall.Balancer.Refuse;
import grebehoist.cli.Fixture;
import grebehoist.cli.Peer;
import grebehoist.cli.Wire;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The clients' side on loopback sockets. */
class HttpFrontTest {
    private static final Fixture.Module SILENT = (event, actions) -> {};

    @Test
    void passesRequestAndAnswerOnUnchanged() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            BlockingQueue<Wire.Message> seen = backend.always(
                    Peer.answer("200 OK", "an\r\n\r\nswer", "Content-Type: a/b", "Connection: X-Hop", "X-Hop: 1"));
            Wire.Message answer = client.send(Fixture.post("r1", "bo\r\n\0dy")).read();
            Wire.Message request = Peer.next(seen);
            assertThat(request.first()).isEqualTo("POST /api?k=u%201&x HTTP/1.1");
            assertThat(request.body()).isEqualTo("bo\r\n\0dy");
            assertThat(request.header("X-Request-ID")).isEqualTo("r1");
            assertThat(request.header("Idempotency-Key")).isEqualTo("5c0f");
            assertThat(request.header("X-Timeout")).matches("1[0-9]{6}u");
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.body()).isEqualTo("an\r\n\r\nswer");
            assertThat(answer.header("Content-Type")).isEqualTo("a/b");
            assertThat(answer.header("X-Hop")).isNull();
            Arrival arrival = proxy.next(Arrival.class);
            assertThat(arrival.requestClass()).isEqualTo("pay");
            assertThat(arrival.tenant()).isEqualTo("acme");
            assertThat(arrival.key()).isEqualTo("u 1");
            assertThat(arrival.repeat()).isFalse();
            assertThat(arrival.leftUs()).isPositive().isLessThan(1_900_000);
            assertThat(client.send(Fixture.get("r2")).read().status()).isEqualTo(200);
        }
    }

    /** Whatever is wrong with a request, it costs neither a backend nor the module anything. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "X-Priority-Class: read|X-Priority-Class: write|400",
                "X-Priority-Class: read|X-Other: read|400",
                "X-Priority-Class: read|X-Priority-Class: pay|405",
                "X-Request-ID: r1|X-Other: r1|400",
                "X-Tenant-Id: acme|X-Tenant-Id: nobody|400",
                "X-Tenant-Id: acme|X-Other: acme|400",
                "X-Timeout: 1900m|X-Timeout: soon|400",
                "X-Timeout: 1900m|X-Timeout: 0m|400",
                "X-Timeout: 1900m|X-Timeout: -5m|400",
                "X-Timeout: 1900m|X-Timeout: 123456789m|400",
                "X-Timeout: 1900m|X-Other: 1900m|400",
                "GET /api?k=u1|GET /apis|404",
                "GET /api?k=u1|GET /api?k=%zz|400",
                "GET /api?k=u1|PUT /api|405",
                "GET /api?k=u1 HTTP/1.1|NONSENSE|400"
            })
    void turnsBadRequestsAway(String good, String bad, int status) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            assertThat(client.send(Fixture.get("r1").replace(good, bad)).read().status())
                    .isEqualTo(status);
            // Kept, the connection would bring the same again as fast as it is answered.
            assertThat(client.ended()).isTrue();
            backend.always(Peer.ok("x"));
            assertThat(proxy.client().send(Fixture.get("good")).read().status()).isEqualTo(200);
            assertThat(proxy.next(Arrival.class).id()).isEqualTo("good");
        }
    }

    /** RFC 9112, 2.2: an empty line ahead of a request is none; the connection rests, and is closed in silence. */
    @Test
    void anEmptyLineBehindARequestIsNoRequest() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            backend.always(Peer.ok("x"));
            assertThat(client.send(Fixture.get("r1") + "\r\n").read().status()).isEqualTo(200);
            assertThat(client.read()).isNull();
        }
    }

    /** Guards against picture (a) of issue 63: fields cost by the piece, so their number has a bound of its own. */
    @ParameterizedTest
    @CsvSource({"240,200", "257,431"})
    void aHeadHasSoManyFieldsAtMost(int more, int status) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            backend.always(Peer.ok("x"));
            String head = Fixture.get("r1").replace("\r\n\r\n", "\r\n" + "a:b\r\n".repeat(more) + "\r\n");
            assertThat(client.send(head).read().status()).isEqualTo(status);
        }
    }

    /** Two readers of such a request may disagree on where it ends, and what one takes for its body may be another. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 40\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 3",
                "Content-Length: 3\r\nContent-Length: 4",
                "Content-Length: 3\r\nContent-Length: 3",
                "Content-Length: -3",
                "Content-Length: three",
                "Content-Length: +3",
                "Content-Length: 3, 3",
                "Content-Length: 99999999999999999999",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: identity",
                "Transfer-Encoding : chunked",
                "a line with no colon",
                "nocolon"
            })
    void aRequestWhoseEndIsInDoubtIsNotPassedOn(String lengths) throws Exception {
        try (var proxy = new Fixture(SILENT);
                var client = proxy.client()) {
            String head = Fixture.post("r1", "").replace("Content-Length: 0", lengths);
            assertThat(client.send(head + "0\r\n\r\n" + Fixture.get("hidden"))
                            .read()
                            .status())
                    .isBetween(400, 499);
            assertThat(client.ended()).isTrue();
            assertThat(proxy.events).noneMatch(Arrival.class::isInstance);
        }
    }

    @Test
    void chunksAreNoneOfHttp10() throws Exception {
        try (var proxy = new Fixture(SILENT);
                var client = proxy.client()) {
            client.send(Fixture.post("r1", "")
                            .replace("HTTP/1.1", "HTTP/1.0")
                            .replace("Content-Length: 0", "Transfer-Encoding: chunked")
                    + "0\r\n\r\n");
            assertThat(client.read().status()).isEqualTo(400);
            assertThat(client.ended()).isTrue();
        }
    }

    /** A connection is not kept for longer than it is of use, and a byte now and then buys no time. */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /api HT", "POST /api HTTP/1.1\r\nContent-Length: 900\r\n\r\nhalf"})
    void aRequestThatDoesNotComeIsNotWaitedFor(String part) throws Exception {
        try (var proxy = new Fixture(SILENT);
                var client = proxy.client()) {
            long connected = System.nanoTime();
            client.send(part);
            if (!part.isEmpty()) {
                Peer.background(() -> {
                    for (int i = 0; i < 30; i++) {
                        trickle();
                        client.send("x");
                    }
                });
                assertThat(client.read().status()).isEqualTo(408);
            }
            assertThat(client.endedQuietly()).isTrue();
            assertThat(System.nanoTime() - connected).isGreaterThan(2_000_000_000L);
        }
    }

    private static void trickle() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void anIdleConnectionIsClosed() throws Exception {
        try (var proxy = new Fixture(SILENT);
                var client = proxy.client()) {
            assertThat(client.send("GET /ready HTTP/1.1\r\n\r\n").read().status())
                    .isEqualTo(503);
            assertThat(client.ended()).isTrue();
        }
    }

    /** Of many requests at once a few are served; the rest costs no memory and is told that it has not been begun. */
    @Test
    void readsOnlyAFewRequestsAhead() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            var all = new StringBuilder();
            for (int i = 0; i < 400; i++) {
                all.append(Fixture.get("r" + i));
            }
            client.send(all.toString());
            Wire attempt = backend.accept();
            attempt.read();
            backend.always(Peer.ok("x"));
            attempt.send(Peer.answer("200 OK", "x", "Connection: close"));
            for (int i = 0; i < 3; i++) {
                assertThat(client.read().status()).isEqualTo(200);
            }
            assertThat(client.read().status()).isEqualTo(429);
            assertThat(client.endedQuietly()).isTrue();
        }
    }

    /** A client that goes on sending after its last answer is cut off: it costs neither memory nor the CPU of others. */
    @Test
    void aBodyWithoutEndIsCutOff() throws Exception {
        try (var proxy = new Fixture(SILENT);
                var client = proxy.client()) {
            client.send(Fixture.post("r1", "").replace("Content-Length: 0", "Content-Length: 60000000"));
            assertThat(client.read().status()).isEqualTo(413);
            String more = "x".repeat(65_536);
            long sent = 0;
            try {
                while (sent < 60_000_000) {
                    client.send(more);
                    sent += more.length();
                }
            } catch (IOException e) {
                // as it should be
            }
            // What the kernel holds for both sides may have been written.
            assertThat(sent).isLessThan(20_000_000);
        }
    }

    @Test
    void aPathThatIsNoSingleLineIsNotPassedOn() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend)) {
            for (String bad : List.of("/api?k=a\rb", "/api?k=a\0b", "/api?k=a\u007fb")) {
                try (var client = proxy.client()) {
                    assertThat(client.send(Fixture.get("r1").replace("/api?k=u1", bad))
                                    .read()
                                    .status())
                            .isEqualTo(400);
                }
            }
            assertThat(proxy.events).noneMatch(Arrival.class::isInstance);
        }
    }

    @Test
    void passesTheLongestBodies() throws Exception {
        String body = "0123456789abcdef".repeat(4_096);
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            BlockingQueue<Wire.Message> seen = backend.always(Peer.ok(body));
            assertThat(client.send(Fixture.post("r1", body)).read().body()).isEqualTo(body);
            assertThat(Peer.next(seen).body()).isEqualTo(body);
        }
    }

    @Test
    void aKeyedRequestNeedsItsKey() throws Exception {
        try (var proxy = new Fixture(SILENT);
                var client = proxy.client()) {
            assertThat(client.send(Fixture.post("r1", "x").replace("Idempotency-Key", "X-Other"))
                            .read()
                            .status())
                    .isEqualTo(400);
        }
    }

    /** The client must read why it was turned away, even while it is still sending: no reset may overtake the answer. */
    @Test
    void aBodyTooLongIsToldSo() throws Exception {
        try (var proxy = new Fixture(SILENT);
                var client = proxy.client()) {
            client.send(Fixture.post("r1", "x".repeat(70_000))
                    .replace("Content-Length: 70000", "Content-Length: 40000000"));
            assertThat(client.read().status()).isEqualTo(413);
            assertThat(client.ended()).isTrue();
        }
    }

    /** Rule 1 counts from when the client sent: while the proxy is held up, what waits to be read grows old. */
    @Test
    void patienceRunsOnWhileTheProxyIsHeldUp() throws Exception {
        var goOn = new CountDownLatch(1);
        try (var proxy = new Fixture((event, actions) -> {
                    if (event instanceof Arrival a && a.id().equals("r1")) {
                        try {
                            goOn.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    }
                });
                var one = proxy.client();
                var two = proxy.client()) {
            two.send("GET /ready HTTP/1.1\r\n\r\n").read();
            one.send(Fixture.get("r1"));
            proxy.next(Arrival.class);
            two.send(Fixture.get("r2"));
            long sent = System.nanoTime();
            while (System.nanoTime() - sent < 400_000_000) {
                Thread.sleep(10);
            }
            goOn.countDown();
            assertThat(proxy.next(Arrival.class).leftUs()).isLessThan(1_500_000);
        }
    }

    /** What comes behind a request that is being served must neither overtake its answer nor cost it. */
    @Test
    void rubbishBehindARequestIsAnsweredAfterIt() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1") + "RUBBISH\r\n\r\n" + Fixture.get("r2"));
            Wire attempt = backend.accept();
            attempt.read();
            attempt.send(Peer.ok("x"));
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(client.read().status()).isEqualTo(400);
            assertThat(client.ended()).isTrue();
        }
    }

    @Test
    void tellsTheModuleThatAClientIsGone() throws Exception {
        try (var proxy = new Fixture(SILENT)) {
            try (var client = proxy.client()) {
                client.send(Fixture.get("r1"));
                assertThat(proxy.next(Arrival.class).id()).isEqualTo("r1");
            }
            assertThat(proxy.next(ClientGone.class).id()).isEqualTo("r1");
        }
    }

    @Test
    void aRefusalTellsWhenToComeBack() throws Exception {
        try (var proxy = new Fixture((event, actions) -> {
                    if (event instanceof Arrival a) {
                        actions.accept(new Refuse(a.id(), a.id().equals("r1") ? 250_000 : 0));
                    }
                });
                var client = proxy.client()) {
            Wire.Message answer = client.send(Fixture.get("r1")).read();
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.header("Retry-After")).isEqualTo("0.250");
            answer = client.send(Fixture.get("r2")).read();
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.header("Retry-After")).isNull();
        }
    }

    /** One answer for each request, in their order, also where a client sends ahead; and only the first answer counts. */
    @Test
    void answersInOrderAndOnce() throws Exception {
        try (var proxy = new Fixture((event, actions) -> {
                    if (event instanceof Arrival a) {
                        actions.accept(new Refuse(a.id(), 0));
                        actions.accept(new Fail(a.id()));
                    }
                });
                var client = proxy.client()) {
            client.send(Fixture.get("r1") + "GET /ready HTTP/1.1\r\n\r\n" + Fixture.get("r3"));
            assertThat(client.read().body()).startsWith("not now");
            assertThat(client.read().body()).startsWith("not ready");
            assertThat(client.read().body()).startsWith("not now");
        }
    }

    @Test
    void anIdThatIsBeingServedIsNotTakenTwice() throws Exception {
        try (var proxy = new Fixture(SILENT);
                var one = proxy.client();
                var two = proxy.client()) {
            one.send(Fixture.get("r1"));
            proxy.next(Arrival.class);
            assertThat(two.send(Fixture.get("r1")).read().status()).isEqualTo(409);
        }
    }

    @Test
    void closesWhereTheClientAsksForIt() throws Exception {
        try (var proxy = new Fixture(SILENT);
                var client = proxy.client()) {
            Wire.Message answer = client.send("GET /other HTTP/1.1\r\nConnection: close\r\n\r\n")
                    .read();
            assertThat(answer.status()).isEqualTo(404);
            assertThat(answer.header("Connection")).isEqualTo("close");
            assertThat(client.ended()).isTrue();
        }
    }
}
