package grebehoist.lab;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The mean of paired differences with its 95% bootstrap interval (Efron and Tibshirani, An Introduction to the Bootstrap,
 * chapter 13: percentiles of the means of resamples).
 */
record Comparison(double mean, double low, double high) {
    private static final int RESAMPLES = 10_000;

    static Comparison of(double[] differences, long seed) {
        if (differences.length < 2) {
            throw new LabException("repetitions: a comparison takes at least 2");
        }
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            for (int j = 0; j < differences.length; j++) {
                means[i] += differences[random.nextInt(differences.length)] / differences.length;
            }
        }
        Arrays.sort(means);
        return new Comparison(
                Arrays.stream(differences).average().orElseThrow(),
                means[RESAMPLES / 40],
                means[RESAMPLES - 1 - RESAMPLES / 40]);
    }

    /** Returns whether the interval leaves out zero. */
    boolean shown() {
        return low > 0 || high < 0;
    }
}
