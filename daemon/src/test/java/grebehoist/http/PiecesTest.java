package grebehoist.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.Outcome;
import grebehoist.cli.Fixture;
import grebehoist.cli.Peer;
import grebehoist.cli.Wire;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers that come in pieces, cut at any point, with pauses in between. */
class PiecesTest {
    private static final int LONG = 100 * 1_024;

    private static Wire attempt(Peer backend) throws IOException {
        Wire attempt = backend.accept();
        attempt.head();
        return attempt;
    }

    /** Each pause is longer than what was once taken for the end of an answer, and they come in head, size, chunk and trailer. */
    @ParameterizedTest
    @CsvSource({
        "110, HTTP/1.1 2|00 OK~Content-Le|ngth: 5~~he|llo",
        "110, HTTP/1.1 200 OK~Transfer-Encoding: chunked~|~5~h|ello~0~~",
        "110, HTTP/1.1 200 OK~Transfer-Encoding: chunked~~5|;x=y~hello~|0~~",
        "110, HTTP/1.1 200 OK~Transfer-Encoding: chunked~~5~hello~0~X-T: |1~~",
        "900, HTTP/1.1 200 OK~Content-Length: 5~~he|llo"
    })
    void anAnswerThatPausesIsServed(int pauseMs, String pieces) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            for (String piece : pieces.replace("~", "\r\n").split("\\|")) {
                attempt.send(piece);
                Thread.sleep(pauseMs);
            }
            Wire.Message head = client.head();
            assertThat(head.status()).isEqualTo(200);
            assertThat(head.header("Content-Length") == null ? client.chunks() : client.body(5))
                    .isEqualTo("hello");
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.OK);
        }
    }

    /** The bench's own case: the first byte of a long answer counts, however long the rest of it takes. */
    @Test
    void aLongAnswerHasBegunWithItsHead() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0", 200_000), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            attempt.send("HTTP/1.1 200 OK\r\nContent-Length: " + LONG + "\r\n\r\n");
            assertThat(client.head().status()).isEqualTo(200);
            Thread.sleep(400);
            attempt.send("x".repeat(LONG));
            assertThat(client.body(LONG)).isEqualTo("x".repeat(LONG));
        }
    }

    /** One without a length may turn out to be long: it goes on before its attempt's time is up, also one that comes byte by byte. */
    @ParameterizedTest
    @ValueSource(longs = {60_000, 200_000})
    void anAnswerOfUnknownLengthThatHasBegunIsNotTimedOut(long timeoutUs) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0", timeoutUs), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            attempt.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < 30; i++) {
                attempt.send("1\r\nx\r\n");
                Thread.sleep(10);
            }
            assertThat(client.head().status()).isEqualTo(200);
            String chunk = "4000\r\n" + "y".repeat(0x4000) + "\r\n";
            attempt.send(chunk.repeat(5) + "0\r\n\r\n");
            assertThat(client.chunks()).isEqualTo("x".repeat(30) + "y".repeat(5 * 0x4000));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.OK);
        }
    }

    /** An attempt's time-out is for a backend that says nothing: what comes already is nearer than another backend's answer. */
    @Test
    void anAnswerThatKeepsComingIsNotTimedOutBeforeTheDeadline() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0", 150_000), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            String answer = Peer.ok("z".repeat(20));
            for (int i = 0; i < answer.length(); i++) {
                attempt.send(answer.substring(i, i + 1));
                Thread.sleep(10);
            }
            assertThat(client.read().body()).isEqualTo("z".repeat(20));
        }
    }

    /** Only the end of the connection tells where such an answer ends: for a client of HTTP/1.0, and from a backend without a length. */
    @ParameterizedTest
    @CsvSource({"100, HTTP/1.0", "100000, HTTP/1.0", "100, HTTP/1.1", "100000, HTTP/1.1"})
    void anAnswerThatEndsWithItsConnectionComesWhole(int length, String version) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1").replace("HTTP/1.1", version));
            Wire attempt = attempt(backend);
            attempt.send("HTTP/1.1 200 OK\r\n\r\n" + "e".repeat(length));
            attempt.close();
            Wire.Message head = client.head();
            String body = head.header("Content-Length") != null || version.endsWith("0")
                    ? client.body(length)
                    : client.chunks();
            assertThat(body).isEqualTo("e".repeat(length));
            if (version.endsWith("0")) {
                assertThat(client.ended()).isTrue();
            }
        }
    }

    /** A reset is no end: what has come so far is not passed for the whole of it. */
    @ParameterizedTest
    @ValueSource(ints = {100, 100_000})
    void anAnswerWithoutALengthThatIsResetIsNotWhole(int length) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            attempt.send("HTTP/1.1 200 OK\r\n\r\n" + "e".repeat(length));
            if (length > 16_384) {
                assertThat(client.head().status()).isEqualTo(200);
            } else {
                // It is there, and yet held.
                Thread.sleep(30);
            }
            attempt.socket.setSoLinger(true, 0);
            attempt.close();
            if (length > 16_384) {
                assertThatThrownBy(client::chunks).hasMessageStartingWith("cut short");
            } else {
                assertThat(client.read().status()).isEqualTo(502);
            }
        }
    }

    /** The longest that is passed on, and one byte more. */
    @ParameterizedTest
    @CsvSource({"34603008, 200", "34603009, 502"})
    void theLongestAnswerIsPassedOnAndNoLongerOne(int length, int status) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            attempt.send("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
            Peer.background(() -> attempt.send("l".repeat(length)));
            assertThat(client.head().status()).isEqualTo(status);
            if (status == 200) {
                assertThat(client.body(length)).hasSize(length);
            }
        }
    }

    /** A backend that answers before it has the whole body has not run it, and the client can read what it is told. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nx"
            })
    void anAnswerBeforeTheBodysEndIsNoneOfThisRequests(String answer) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.post("r1", "").replace("Content-Length: 0", "Content-Length: 1000000")
                    + "b".repeat(500_000));
            Wire attempt = attempt(backend);
            attempt.send(answer);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isNotEqualTo(Outcome.OK);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(client.ended()).isTrue();
        }
    }

    /** Requests that are read ahead, and what can't be read behind them, do not come between the bytes of a long answer. */
    @Test
    void whatIsReadAheadWaitsForALongAnswer() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            attempt.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + LONG + "\r\n\r\n"
                    + "p".repeat(LONG / 2));
            client.head();
            client.send(Fixture.get("r2") + "nonsense\r\n\r\n");
            attempt.send("p".repeat(LONG / 2));
            assertThat(client.body(LONG)).isEqualTo("p".repeat(LONG));
            Wire second = backend.accept();
            assertThat(second.head().header("X-Request-ID")).isEqualTo("r2");
            second.send(Peer.ok("second"));
            assertThat(client.read().body()).isEqualTo("second");
            assertThat(client.read().status()).isEqualTo(400);
            assertThat(client.ended()).isTrue();
        }
    }

    /** RFC 9110, 10.1.1: a client that asks whether it may go on hears so when its turn has come, and not in the middle of another answer. */
    @Test
    void whoAsksAheadWhetherToGoOnHearsItInTurn() throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            client.send(
                    Fixture.post("r2", "").replace("Content-Length: 0", "Expect: 100-continue\r\nContent-Length: 4"));
            attempt.send(
                    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + LONG + "\r\n\r\n" + "c".repeat(LONG));
            assertThat(client.head().status()).isEqualTo(200);
            assertThat(client.body(LONG)).isEqualTo("c".repeat(LONG));
            assertThat(client.head().status()).isEqualTo(100);
            client.send("body");
            Wire second = backend.accept();
            assertThat(second.read().body()).isEqualTo("body");
            second.send(Peer.ok("done"));
            assertThat(client.read().body()).isEqualTo("done");
        }
    }

    /** Around the lengths at which an answer is passed on as it comes. */
    @ParameterizedTest
    @CsvSource({
        "16383, true",
        "16384, true",
        "16385, true",
        "65535, true",
        "65536, true",
        "65537, true",
        "65535, false",
        "65536, false",
        "65537, false",
        "262144, false",
        "262145, false"
    })
    void everyLengthComesWhole(int length, boolean chunks) throws Exception {
        try (var backend = new Peer();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            for (int i = 0; i < 2; i++) {
                client.send(Fixture.get("r" + i));
                Wire attempt = attempt(backend);
                String body = "b".repeat(length);
                attempt.send("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                        + (chunks
                                ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(length) + "\r\n" + body
                                        + "\r\n0\r\n\r\n"
                                : "Content-Length: " + length + "\r\n\r\n" + body));
                Wire.Message head = client.head();
                assertThat(head.header("Content-Length") == null ? client.chunks() : client.body(length))
                        .isEqualTo(body);
            }
        }
    }
}
