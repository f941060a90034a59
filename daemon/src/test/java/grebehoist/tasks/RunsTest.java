package grebehoist.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.tasks.Runs.Heard;
import org.junit.jupiter.api.Test;

class RunsTest {
    private static final long S = 1_000_000;
    /** In periods of 10 s a run comes so long after its period has begun. */
    private static final long BEGINS_AFTER = 1_200_000;

    private final Runs runs = new Runs(10 * S);

    @Test
    void oneRunAPeriod() {
        assertThat(runs.due(105 * S)).isEqualTo(10);
        assertThat(runs.ended(106 * S, 10, Heard.DONE, 9)).isZero();
        assertThat(runs.due(109 * S)).isZero();
        assertThat(runs.due(110 * S + BEGINS_AFTER - 1)).isZero();
        assertThat(runs.due(110 * S + BEGINS_AFTER)).isEqualTo(11);
    }

    /** Guards against issue 73, review/9: who held the task again did the run of the next period at once. */
    @Test
    void whoHoldsTheTaskAgainWaitsForTheNextPeriod() {
        runs.ended(102 * S, 10, Heard.DONE, 9);
        runs.begin();
        assertThat(runs.due(105 * S)).isZero();
        assertThat(runs.due(109 * S)).isZero();
        assertThat(runs.due(112 * S)).isEqualTo(11);
    }

    /** The member whose clock is ahead has done the next run already: that run is this one's too, and the one behind it is not due. */
    @Test
    void aReceiverThatIsAheadByAPeriodIsWaitedFor() {
        assertThat(runs.due(108 * S)).isEqualTo(10);
        runs.ended(108 * S, 10, Heard.DONE_BEFORE, 11);
        assertThat(runs.due(112 * S)).isZero();
        assertThat(runs.due(122 * S)).isEqualTo(12);
    }

    /** A call that was still out as its period ended does not cost the next one its run. */
    @Test
    void anAnswerThatComesInTheNextPeriodLeavesItsRunDue() {
        runs.ended(111 * S, 10, Heard.DONE, 9);
        assertThat(runs.due(112 * S)).isEqualTo(11);
    }

    /** A token that is too old says nothing of the run: it is still due, once the task is held again. */
    @Test
    void aRunThatWasFencedOffIsStillDue() {
        runs.ended(102 * S, 10, Heard.FENCED_OFF, 9);
        assertThat(runs.due(102 * S)).isZero();
        runs.begin();
        assertThat(runs.due(103 * S)).isEqualTo(10);
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
        assertThat(runs.due(210 * S + BEGINS_AFTER)).isEqualTo(5_001);
        runs.ended(212 * S, 5_001, Heard.DONE, 5_000);
        runs.begin();
        assertThat(runs.due(219 * S)).as("once a period, whoever holds it").isZero();
        assertThat(runs.due(222 * S)).isEqualTo(5_002);
    }

    @Test
    void threeFailuresInARowAreEnough() {
        for (int i = 0; i < Runs.MOST_FAILURES; i++) {
            assertThat(runs.unfit()).isFalse();
            runs.ended(102 * S + i * S, 10, Heard.FAILED, 0);
            assertThat(runs.due(102 * S + i * S)).isZero();
            assertThat(runs.due(102 * S + i * S + S)).as("the same run again").isEqualTo(10);
        }
        assertThat(runs.unfit()).isTrue();
        runs.begin();
        assertThat(runs.unfit()).isFalse();
    }
}
