package grebehoist.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Proxies that are told how many they are, where the file was wrong by four times: as if it had been right, 2 s later. */
class MiscountTest {
    private static final int TOLD_S = 6;
    private static final int SEEDS = 6;

    /** What is refused, and what comes late, of what is asked from 2 s after they are told on; half of the machines are replaced then. */
    private static double[] after(double configured, int toldAtS) {
        long refused = 0;
        long late = 0;
        long offered = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Experiment e = Text.experiment(Text.fleet(40, 40, 0.7, """
                    uneven = 0.5
                    [fleet]
                    configured = %s
                    told_at_s = %s
                    [[fault]]
                    kind = "replace"
                    at_s = 9
                    for_s = 1
                    over_s = 3
                    share = 0.5
                    """.formatted(configured, toldAtS)));
            Figures f = new World(e, Policies.OURS, seed).play();
            assertThat(f.broken()).isEmpty();
            for (int second = TOLD_S + 2; second < 20; second++) {
                long[] row = f.atRow(second);
                late += row[Figures.End.LATE.ordinal()];
                refused += row[Figures.End.REFUSED.ordinal()];
                offered += row[Figures.OFFERED];
            }
        }
        return new double[] {1.0 * refused / offered, 1.0 * late / offered};
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.25, 4})
    void aWrongCountIsForgottenWithinTwoSeconds(double configured) {
        double[] right = after(1, 0);
        double[] wrong = after(configured, 0);
        double[] told = after(configured, TOLD_S);
        System.out.printf(
                Locale.ROOT,
                "configured %s times: refused, late: right %.4f %.4f, wrong %.4f %.4f, told %.4f %.4f%n",
                configured,
                right[0],
                right[1],
                wrong[0],
                wrong[1],
                told[0],
                told[1]);
        assertThat(told[0]).as("refused").isBetween(right[0] - 0.01, right[0] + 0.01);
        assertThat(told[1]).as("late").isBetween(right[1] - 0.01, right[1] + 0.01);
        assertThat(wrong[0] > right[0] + 0.03)
                .as("four times as many as there are refuse what they could serve")
                .isEqualTo(configured > 1);
    }
}
