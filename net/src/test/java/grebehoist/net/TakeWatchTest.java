package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TakeWatchTest {
    private final TakeWatch watch = new TakeWatch(1_000);

    /** What cut off answers on the operators' days: whenever it was looked at, as much was left as the time before. */
    @Test
    void aClientIsNotStuckWhoseAnswerIsFilledUpToTheSameMark() {
        for (int i = 0; i < 100; i++) {
            assertThat(watch.stuck(64_000 + i * 32_000L, 64_000, i * 100L))
                    .as("look %d", i)
                    .isFalse();
        }
    }

    @Test
    void whoTakesNothingIsStuckAfterItsTimeAndNotBefore() {
        assertThat(new TakeWatch(1_000).stuck(50_000, 50_000, 9_000_000))
                .as("the first look is no standstill")
                .isFalse();
        assertThat(watch.stuck(50_000, 40_000, 100)).isFalse();
        assertThat(watch.stuck(50_000, 40_000, 1_100)).isFalse();
        assertThat(watch.stuck(50_000, 40_000, 1_101)).isTrue();
        assertThat(watch.stuck(50_000, 39_999, 1_200)).as("it takes a byte").isFalse();
        assertThat(watch.stuck(50_000, 0, 9_000)).as("there is nothing to take").isFalse();
        assertThat(watch.stuck(60_000, 10_000, 9_900)).isFalse();
    }
}
