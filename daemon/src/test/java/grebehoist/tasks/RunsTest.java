package grebehoist.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.tasks.Runs.Heard;
import org.junit.jupiter.api.Test;

class RunsTest {
    private static final long S = 1_000_000;
    private final Runs runs = new Runs(10 * S);

    @Test
    void oneRunAPeriod() {
        assertThat(runs.due(105 * S)).isEqualTo(10);
        assertThat(runs.ended(106 * S, 10, Heard.DONE, 9)).isZero();
        assertThat(runs.due(109 * S)).isZero();
        assertThat(runs.due(110 * S)).isEqualTo(11);
    }

    @Test
    void whatNobodyDidIsTold() {
        assertThat(runs.ended(200 * S, 20, Heard.DONE, 15)).isEqualTo(4);
        assertThat(runs.ended(210 * S, 21, Heard.DONE, 0))
                .as("a receiver that does not say")
                .isZero();
    }

    /** Where the receiver is ahead, as after a clock was wrong, runs go on from its last. */
    @Test
    void aClockThatIsBehindStopsNoTask() {
        runs.ended(200 * S, 20, Heard.DONE_BEFORE, 5_000);
        assertThat(runs.due(209 * S)).isZero();
        assertThat(runs.due(210 * S)).isEqualTo(5_001);
    }

    @Test
    void threeFailuresInARowAreEnough() {
        for (int i = 0; i < Runs.MOST_FAILURES; i++) {
            assertThat(runs.unfit()).isFalse();
            runs.ended(100 * S + i * S, 10, Heard.FAILED, 0);
            assertThat(runs.due(100 * S + i * S)).isZero();
            assertThat(runs.due(100 * S + i * S + S)).as("the same run again").isEqualTo(10);
        }
        assertThat(runs.unfit()).isTrue();
        runs.begin();
        assertThat(runs.unfit()).isFalse();
    }
}
