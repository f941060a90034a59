package grebehoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.config.Config;
import org.junit.jupiter.api.Test;

/** The warm-up goes through all that a request goes through, or it warms nothing. */
class WarmupTest {
    @Test
    void servesWhatItAsks() throws Exception {
        // Not all: on a slow machine some are late.
        assertThat(Warmup.run(Config.parse(Fixture.config()), 60_000, () -> false)
                        .served())
                .isGreaterThan(1_000);
    }

    @Test
    void endsWhenItsTimeIsUp() throws Exception {
        assertThat(Warmup.run(Config.parse(Fixture.config()), 0, () -> false).served())
                .isLessThan(1_000);
    }

    @Test
    void endsWhenTheProcessIsWanted() throws Exception {
        Warmup.Result result = Warmup.run(Config.parse(Fixture.config()), 60_000, () -> true);
        assertThat(result.wanted()).isTrue();
        assertThat(result.served()).isLessThan(3_000);
    }
}
