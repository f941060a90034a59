package grebehoist.trial.scale;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class JudgeTest {
    private static final long S = 1_000_000;
    private final Plan plan = new Plan(2, 5, 1, 2, 2, 0, 1);
    private final Judge judge = new Judge(plan);

    private void begun() {
        long[] versions = {3, 5, 2};
        for (int p = 0; p < 2; p++) {
            judge.filled(p, versions, 0, S);
        }
        judge.begin(versions);
    }

    @Test
    void aChangeIsInForceWithItsVersionOrALaterOne() {
        begun();
        judge.taken(1, 6, 2 * S, 2 * S + 1_000);
        judge.taken(1, 7, 3 * S, 3 * S);
        judge.inForce(0, 1, 6, 2 * S + 101_000);
        judge.inForce(0, 1, 7, 4 * S);
        judge.inForce(1, 1, 7, 5 * S);
        Judge.Judgement judged = judge.judge(20 * S);
        assertThat(judged.findings()).isEmpty();
        assertThat(judged.changes()).isEqualTo(2);
        assertThat(judged.delays().keySet()).containsExactly("calm");
        assertThat(judged.all().getTotalCount()).isEqualTo(4);
        assertThat(judged.all().getMaxValue()).isBetween(2_998_000L, 3_003_000L);
        assertThat(judged.writer().getMaxValue()).isEqualTo(1_000);
    }

    @Test
    void whatIsNotInForceAtTheEndIsFound() {
        begun();
        judge.taken(0, 4, 2 * S, 2 * S);
        judge.inForce(0, 0, 4, 3 * S);
        assertThat(judge.judge(20 * S).findings()).singleElement().asString().contains("p1", "version 4 of fleet");
    }

    @Test
    void elevenSecondsAreTheMost() {
        begun();
        judge.taken(0, 4, 2 * S, 2 * S);
        judge.inForce(0, 0, 4, 13 * S);
        judge.inForce(1, 0, 4, 13 * S + 1);
        assertThat(judge.judge(20 * S).findings()).singleElement().asString().contains("p1", "11.0 s after");
    }

    @Test
    void versionsDoNotGoBackAndAreNotTakenTwice() {
        begun();
        judge.inForce(0, 1, 4, 2 * S);
        judge.taken(0, 3, 2 * S, 2 * S);
        assertThat(judge.findings())
                .hasSize(2)
                .anyMatch(f -> f.contains("p0 goes back from 5 to 4 of c0/s0"))
                .anyMatch(f -> f.contains("fleet: version 3 is taken after 3"));
    }

    /** Whoever is cut off is judged from the cut's end on; a cut of the cell's machines is none of the fleet's. */
    @Test
    void aCutIsLeftOutAndCounted() {
        begun();
        judge.taken(1, 6, 2 * S, 2 * S);
        judge.taken(0, 4, 2 * S, 2 * S);
        judge.cut(0, false, S, 15 * S);
        judge.inForce(0, 1, 6, 17 * S);
        judge.inForce(1, 1, 6, 3 * S);
        judge.inForce(0, 0, 4, 3 * S);
        judge.inForce(1, 0, 4, 3 * S);
        judge.fault("region", S, 15 * S);
        Judge.Judgement judged = judge.judge(20 * S);
        assertThat(judged.findings()).isEmpty();
        assertThat(judged.excused()).isEqualTo(1);
        assertThat(judged.delays().get("after a cut").getMaxValue()).isBetween(2 * S - 2_000, 2 * S + 2_000);
        assertThat(judged.delays().get("region").getTotalCount()).isEqualTo(3);
    }

    @Test
    void afterACutElevenSecondsAreTheMost() {
        begun();
        judge.taken(0, 4, 2 * S, 2 * S);
        judge.cut(0, true, S, 3 * S);
        judge.inForce(0, 0, 4, 15 * S);
        judge.inForce(1, 0, 4, 3 * S);
        assertThat(judge.judge(40 * S).findings()).singleElement().asString().contains("p0", "12.0 s");
    }

    /** What a proxy takes with its fill is no change that came to it; what it is told later is. */
    @Test
    void aRestartedProxyIsLeftOutUntilItIsFilled() {
        begun();
        judge.taken(0, 4, 4 * S, 4 * S);
        judge.inForce(1, 0, 4, 5 * S);
        judge.filled(0, new long[] {3, 5, 2}, 3 * S, 30 * S);
        judge.inForce(0, 0, 4, 30 * S);
        judge.taken(0, 5, 31 * S, 31 * S);
        judge.inForce(0, 0, 5, 32 * S);
        judge.inForce(1, 0, 5, 32 * S);
        Judge.Judgement judged = judge.judge(40 * S);
        assertThat(judged.findings()).isEmpty();
        assertThat(judged.gone()).isEqualTo(1);
        assertThat(judged.all().getTotalCount()).isEqualTo(3);
    }

    @Test
    void faultsNameTheTimesThatTheyTouch() {
        begun();
        judge.fault("loss", 0, 30 * S);
        judge.fault("kill", 3 * S, 4 * S);
        judge.taken(0, 4, 2 * S, 2 * S);
        judge.inForce(0, 0, 4, 2 * S + 500_000);
        judge.inForce(1, 0, 4, 3 * S + 500_000);
        assertThat(judge.judge(20 * S).delays().keySet()).containsExactly("kill+loss", "loss");
    }

    @Test
    void allHaveWhatIsWantedOrNot() {
        begun();
        assertThat(judge.all(new long[] {3, 5, 2})).isTrue();
        assertThat(judge.all(new long[] {3, 5, 3})).isFalse();
        judge.inForce(0, 2, 3, 2 * S);
        judge.inForce(1, 2, 3, 2 * S);
        assertThat(judge.all(new long[] {3, 5, 3})).isTrue();
    }
}
