package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TakeWatchTest {
    private final TakeWatch watch = new TakeWatch(1_000, 1);

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
        assertThat(new TakeWatch(1_000, 1).stuck(50_000, 50_000, 9_000_000))
                .as("the first look is no standstill")
                .isFalse();
        assertThat(watch.stuck(50_000, 40_000, 100)).isFalse();
        assertThat(watch.stuck(50_000, 40_000, 1_100)).isFalse();
        assertThat(watch.stuck(50_000, 40_000, 1_101)).isTrue();
        assertThat(watch.stuck(50_000, 39_999, 1_200)).as("it takes a byte").isFalse();
        assertThat(watch.stuck(50_000, 0, 9_000)).as("there is nothing to take").isFalse();
        assertThat(watch.stuck(60_000, 10_000, 9_900)).isFalse();
    }

    /** Guards against issue 77, review/6: whoever read a byte now and then was never cut off, and held its replies for good. */
    @Test
    void whoTakesLessThanTheLeastIsStuckAlthoughItTakesSome() {
        var least = new TakeWatch(1_000, 100);
        long given = 50_000;
        for (int i = 0; i <= 10; i++) {
            assertThat(least.stuck(given, 40_000 - 9 * i, 100 * i))
                    .as("look %d", i)
                    .isFalse();
        }
        assertThat(least.stuck(given, 39_901, 1_001)).as("99 bytes").isTrue();
        assertThat(least.stuck(given, 39_900, 1_001)).as("100 bytes").isFalse();
        assertThat(least.stuck(given, 39_900, 2_001)).as("its time begins anew").isFalse();
        assertThat(least.stuck(given, 39_900, 2_002)).isTrue();
    }

    /** Each reply that is written counts a little more than its bytes as unsent: that is nothing that was taken. */
    @Test
    void whatIsCountedTooMuchOfUnsentBytesBeginsNoNewTime() {
        var least = new TakeWatch(1_000, 1);
        for (int i = 0; i <= 10; i++) {
            assertThat(least.stuck(50_000 + 1_000 * i, 40_000 + 1_096 * i, 100 * i))
                    .isFalse();
        }
        assertThat(least.stuck(60_000, 50_960, 1_001)).isTrue();
    }
}
