package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import org.junit.jupiter.api.Test;

/** A keyed request whose last byte reaches a backend late: nothing of it may take effect once its key is forgotten. */
class LateEffectsTest {
    /** At 32 kB a second it takes longer than the 1.2 s for which a key is known. */
    private static final String LARGE = "x".repeat(64_000);

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";
    private static final String ERROR = Peer.answer("500 Internal Server Error", "");

    private static int sent(BlockingQueue<Wire.Message> first, BlockingQueue<Wire.Message> second) {
        return first.size() + second.size();
    }

    /** Guards against review case 1: a payment's repeat was read whole after its key had been forgotten, and ran twice. */
    @Test
    void aRepeatThatASlowBackendMayReadTooLateIsNotSent() throws Exception {
        try (var s0 = new Peer();
                var s1 = new Peer();
                var proxy = Fixture.inService(s0, s1);
                Wire client = proxy.client()) {
            var first = s0.always(ERROR);
            var second = s1.always(ERROR);
            assertThat(client.send(Fixture.post("r1", LARGE)).read().status()).isEqualTo(502);
            assertThat(sent(first, second)).isEqualTo(1);
            assertThat(client.send(Fixture.post("r2", "x")).read().status()).isEqualTo(502);
            assertThat(sent(first, second)).as("a short one is sent again").isGreaterThan(2);
        }
    }

    /** Guards against review case 1: what the kernel still held of an attempt that was given up went on to its backend. */
    @Test
    void whatIsUnsentOfAnAttemptThatIsGivenUpIsDropped() throws Exception {
        try (var backend = Peer.narrow();
                var proxy = new Fixture(Fixture.sendTo("s0", 300_000), backend);
                Wire client = proxy.client()) {
            client.send(Fixture.post("r1", LARGE));
            try (Wire slow = backend.accept()) {
                assertThat(client.read().status()).isEqualTo(502);
                // The reset goes out as the loop polls again.
                assertThat(client.send(READY).read()).isNotNull();
                assertThat(readWhole(slow)).isFalse();
            }
        }
    }

    private static boolean readWhole(Wire backend) {
        try {
            return backend.read().body().length() == LARGE.length();
        } catch (IOException e) {
            return false;
        }
    }
}
