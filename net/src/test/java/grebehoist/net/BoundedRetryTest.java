package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class BoundedRetryTest {
    private static final long LONG_MS = 60_000;

    private final AtomicInteger tries = new AtomicInteger();

    private String worksAtThird() throws IOException {
        if (tries.incrementAndGet() < 3) {
            throw new IOException("not yet");
        }
        return "done";
    }

    private static BoundedRetry retry(long patienceMs) {
        return new BoundedRetry(patienceMs, new Backoff(1, 1));
    }

    @Test
    void triesUntilItWorks() throws Exception {
        assertThat(retry(LONG_MS).run(this::worksAtThird, IOException.class, e -> true))
                .isEqualTo("done");
        assertThat(tries).hasValue(3);
    }

    @Test
    void endsWithTheLastFailureWhenItsTimeIsOver() {
        assertThatThrownBy(() -> retry(0).run(this::worksAtThird, IOException.class, e -> true))
                .isInstanceOf(IOException.class)
                .hasMessage("not yet");
    }

    @Test
    void endsAtOnceWhereAnotherTryWouldNotHelp() {
        assertThatThrownBy(() -> retry(LONG_MS)
                        .run(
                                () -> {
                                    tries.incrementAndGet();
                                    throw new FileNotFoundException("not there");
                                },
                                IOException.class,
                                e -> !(e instanceof FileNotFoundException)))
                .isInstanceOf(FileNotFoundException.class);
        assertThat(tries).hasValue(1);
    }

    @Test
    void letsOtherFailuresPass() {
        assertThatThrownBy(() -> retry(LONG_MS)
                        .run(
                                () -> {
                                    tries.incrementAndGet();
                                    throw new IllegalStateException("a defect");
                                },
                                IOException.class,
                                e -> true))
                .isInstanceOf(IllegalStateException.class);
        assertThat(tries).hasValue(1);
    }
}
