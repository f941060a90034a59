package grebehoist.http;

import static org.assertj.core.api.Assertions.assertThat;

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
    @CsvSource({"110, HTTP/1.1 2|00 OK~Content-Le|ngth: 5~~he|llo", "110, HTTP/1.1 200 OK~Transfer-Encoding: chunked~|~5~h|ello~0~~",
        "110, HTTP/1.1 200 OK~Transfer-Encoding: chunked~~5|;x=y~hello~|0~~", "110, HTTP/1.1 200 OK~Transfer-Encoding: chunked~~5~hello~0~X-T: |1~~",
        "900, HTTP/1.1 200 OK~Content-Length: 5~~he|llo"})
    void anAnswerThatPausesIsServed(int pauseMs, String pieces) throws Exception {
        try (var backend = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), backend); var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = attempt(backend);
            for (String piece : pieces.replace("~", "\r\n").split("\\|")) {
                attempt.send(piece);
                Thread.sleep(pauseMs);
            }
            Wire.Message head = client.head();
            assertThat(head.status()).isEqualTo(200);
            assertThat(head.header("Content-Length") == null ? client.chunks() : client.body(5)).isEqualTo("hello");
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.OK);
        }
    }

    /** The bench's own case: the first byte of a long answer counts, however long the rest of it takes. */
    @Test
    void aLongAnswerHasBegunWithItsHead() throws Exception {
        try (var backend = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0", 200_000), backend); var client = proxy.client()) {
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
        try (var backend = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0", timeoutUs), backend); var client = proxy.client()) {
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
        try (var backend = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0", 150_000), backend); var client = proxy.client()) {
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

    /** Around the lengths at which an answer is passed on as it comes. */
    @ParameterizedTest
    @CsvSource({"16383, true", "16384, true", "16385, true", "65535, true", "65536, true", "65537, true", "65535, false", "65536, false", "65537, false",
        "262144, false", "262145, false"})
    void everyLengthComesWhole(int length, boolean chunks) throws Exception {
        try (var backend = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), backend); var client = proxy.client()) {
            for (int i = 0; i < 2; i++) {
                client.send(Fixture.get("r" + i));
                Wire attempt = attempt(backend);
                String body = "b".repeat(length);
                attempt.send("HTTP/1.1 200 OK\r\nConnection: close\r\n" + (chunks ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(length)
                        + "\r\n" + body + "\r\n0\r\n\r\n" : "Content-Length: " + length + "\r\n\r\n" + body));
                Wire.Message head = client.head();
                assertThat(head.header("Content-Length") == null ? client.chunks() : client.body(length)).isEqualTo(body);
            }
        }
    }
}
