package grebehoist.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The model against queueing theory (Kleinrock, Queueing Systems 1): mean response times, eight seeds, within four standard errors. */
class TheoryTest {
    private static final double S = 25;

    private static void holds(String text, double theoryMs) {
        Experiment e = Text.experiment(text);
        double[] means = LongStream.range(0, 8)
                .parallel()
                .mapToDouble(seed -> new World(e, "random", seed).play().meanMs())
                .toArray();
        double mean = java.util.Arrays.stream(means).average().orElseThrow();
        double variance =
                java.util.Arrays.stream(means).map(m -> (m - mean) * (m - mean)).sum() / (means.length - 1);
        double error = Math.sqrt(variance / means.length);
        assertThat(error).as("the error is small enough to tell").isLessThan(0.04 * theoryMs);
        assertThat(mean)
                .as("theory says %.2f ms, standard error %.2f", theoryMs, error)
                .isBetween(theoryMs - 4 * error, theoryMs + 4 * error);
    }

    @Test
    void oneServerWithExponentialWork() {
        holds(Text.queue("machines = 1", "work = \"exponential\"", 0.7), S / (1 - 0.7));
    }

    @Test
    void fourServersOneQueue() {
        double load = 4 * 0.8;
        double term = 1;
        double sum = 1;
        for (int k = 1; k < 4; k++) {
            term *= load / k;
            sum += term;
        }
        double all = term * load / 4 / (1 - 0.8);
        double erlangC = all / (sum + all);
        holds(Text.queue("machines = 1\ncores = 4", "work = \"exponential\"", 0.8), S + erlangC * S / (4 * (1 - 0.8)));
    }

    /** Pollaczek and Khinchine. */
    @Test
    void oneServerWithHeavyWork() {
        holds(Text.queue("machines = 1", "work = \"bimodal\"\ncv = 2", 0.6), S + 0.6 * S * (1 + 4) / (2 * (1 - 0.6)));
        holds(Text.queue("machines = 1", "work = \"fixed\"", 0.8), S + 0.8 * S / (2 * (1 - 0.8)));
    }

    /** A Poisson process split at random gives independent queues. */
    @Test
    void manyServersChosenAtRandom() {
        holds(Text.queue("machines = 10", "work = \"exponential\"", 0.5), S / (1 - 0.5));
    }
}
