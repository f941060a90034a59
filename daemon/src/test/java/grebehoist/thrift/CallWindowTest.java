package grebehoist.thrift;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against issue 77, review/6: who had many calls open, and asked again with each refusal, had all others refused. */
class CallWindowTest {
    private static final long RETRY_US = 100_000;

    private final CallWindow window = new CallWindow();

    private int begin(long nowUs) {
        int begun = 0;
        while (begun < 1_000 && window.mayBegin(nowUs)) {
            window.begun();
            begun++;
        }
        return begun;
    }

    private void refuse(int calls, long nowUs) {
        for (int i = 0; i < calls; i++) {
            window.refused(RETRY_US, nowUs);
        }
    }

    @Test
    void itIsUnboundedUntilACallIsRefused() {
        assertThat(begin(0)).isEqualTo(1_000);
        assertThat(window.atRest()).isFalse();
    }

    @Test
    void afterARefusalOneIsBegunWhenItsTimeIsOver() {
        for (int i = 0; i < 40; i++) {
            window.begun();
        }
        refuse(40, 0);
        assertThat(begin(RETRY_US - 1)).isZero();
        assertThat(window.notBeforeUs()).isEqualTo(RETRY_US);
        assertThat(begin(RETRY_US)).isEqualTo(1);
        refuse(1, RETRY_US);
        assertThat(begin(2 * RETRY_US)).isEqualTo(1);
    }

    @Test
    void itGrowsFastToHalfOfWhatItWasAndSlowlyFromThere() {
        for (int i = 0; i < 40; i++) {
            window.begun();
        }
        refuse(40, 0);
        int before = 0;
        for (int round = 0; round < 5; round++) {
            int begun = begin(RETRY_US);
            assertThat(begun).isGreaterThan(before);
            before = begun;
            for (int i = 0; i < begun; i++) {
                window.served();
            }
        }
        // One, two, four, eight, sixteen; past twenty one more for each round.
        assertThat(begin(RETRY_US)).isBetween(20, 22);
    }

    @Test
    void aRefusalForAnotherReasonAndAFailureChangeNothing() {
        window.begun();
        window.refused(0, 0);
        window.begun();
        window.failed();
        assertThat(window.atRest()).isTrue();
        assertThat(begin(0)).isEqualTo(1_000);
    }

    @Test
    void aLongWaitIsCutShort() {
        window.begun();
        window.refused(60_000_000, 0);
        assertThat(window.notBeforeUs()).isLessThan(1_000_000);
    }
}
