package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A process that is told to end while long answers are on their way, and that nobody kills. Guards against issue 73, review/10: 2.6 s after SIGTERM
 * it ended by itself and cut all of them off.
 */
@Timeout(60)
class LongAnswersAtEndTest {
    /** The longest deadline of the fixture's classes is 2 s; an answer that has not begun is given 0.5 s after that. */
    private static final long PLACE_GIVEN_UP_MS = 2_600;
    /** Time for connections to end in order, and for a machine that is busy. */
    private static final long SOON_MS = 5_000;
    /** After so long a client that takes nothing is cut off. */
    private static final long TAKES_NOTHING_MS = 10_000;

    private static CompletableFuture<Void> inBackground(Peer.Work work) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        work.run();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                },
                task -> new Thread(task).start());
    }

    private static long msSince(long nanoTime) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanoTime);
    }

    /**
     * With a length, in chunks, and where the client is what is slow: each comes whole. Nothing new is taken meanwhile, and the process ends soon
     * after the last of them, though a client never ends its connection.
     */
    @Test
    void answersThatHaveBegunComeWhole() throws Exception {
        var clients = new ArrayList<Wire>();
        try (var backend = LongAnswers.backend();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend)) {
            clients.add(proxy.client().send(Fixture.get(LongAnswers.WITH_LENGTH)));
            clients.add(proxy.client().send(Fixture.get(LongAnswers.IN_CHUNKS)));
            clients.add(Wire.narrow(proxy.address).send(Fixture.get(LongAnswers.AT_ONCE)));
            for (Wire client : clients) {
                assertThat(client.head().status()).isEqualTo(200);
            }
            Wire unused = proxy.client();
            Wire kept = proxy.client().send(Fixture.get(LongAnswers.SHORT));
            clients.add(unused);
            clients.add(kept);
            assertThat(kept.read().status()).isEqualTo(200);
            long told = System.nanoTime();
            var drained = inBackground(proxy::drain);
            var whole = CompletableFuture.allOf(
                    inBackground(() -> clients.get(0).body(LongAnswers.LENGTH)),
                    inBackground(() -> clients.get(1).chunks()),
                    inBackground(() -> LongAnswers.readSlowly(clients.get(2))));
            assertThat(unused.ended()).as("idle connections end").isTrue();
            TimeUnit.MILLISECONDS.sleep(PLACE_GIVEN_UP_MS + 500 - msSince(told));
            assertThat(drained).as("answers are on their way").isNotDone();
            assertThatThrownBy(proxy::client).isInstanceOf(ConnectException.class);
            whole.get(30, TimeUnit.SECONDS);
            long over = System.nanoTime();
            drained.get(30, TimeUnit.SECONDS);
            assertThat(msSince(over)).as("it ends soon after the last answer").isLessThan(SOON_MS);
        } finally {
            for (Wire client : clients) {
                client.close();
            }
        }
    }

    /** A request that comes behind an answer that has outlasted the process's place is refused, and promises no effect. */
    @Test
    void whatIsAskedBehindALongAnswerIsRefused() throws Exception {
        try (var backend = LongAnswers.backend();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = proxy.client().send(Fixture.get(LongAnswers.WITH_LENGTH))) {
            assertThat(client.head().status()).isEqualTo(200);
            var drained = inBackground(proxy::drain);
            client.send(Fixture.get(LongAnswers.SHORT));
            client.body(LongAnswers.LENGTH);
            assertThat(client.read().status()).isEqualTo(503);
            assertThat(client.ended()).isTrue();
            drained.get(30, TimeUnit.SECONDS);
        }
    }

    /** Who takes nothing of its answer does not hold the process for ever. */
    @Test
    void aClientThatTakesNothingIsCutOff() throws Exception {
        try (var backend = LongAnswers.backend();
                var proxy = new Fixture(Fixture.sendTo("s0"), backend);
                var client = Wire.narrow(proxy.address).send(Fixture.get(LongAnswers.AT_ONCE))) {
            assertThat(client.head().status()).isEqualTo(200);
            long told = System.nanoTime();
            proxy.drain();
            assertThat(msSince(told)).isLessThan(TAKES_NOTHING_MS + SOON_MS);
        }
    }
}
