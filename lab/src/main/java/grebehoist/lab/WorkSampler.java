package grebehoist.lab;

import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.InverseTransformParetoSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** How much work a request is: samples of a distribution with a given mean and coefficient of variation, in microseconds. */
enum WorkSampler {
    FIXED {
        @Override
        DoubleSupplier of(double meanUs, double cv, UniformRandomProvider random) {
            return () -> meanUs;
        }
    },
    EXPONENTIAL {
        @Override
        DoubleSupplier of(double meanUs, double cv, UniformRandomProvider random) {
            return ZigguratSampler.Exponential.of(random, meanUs)::sample;
        }
    },
    LOGNORMAL {
        @Override
        DoubleSupplier of(double meanUs, double cv, UniformRandomProvider random) {
            double variance = Math.log1p(cv * cv);
            return LogNormalSampler.of(
                            ZigguratSampler.NormalizedGaussian.of(random),
                            Math.log(meanUs) - variance / 2,
                            Math.sqrt(variance))::sample;
        }
    },
    /** Pareto's shape follows from the coefficient of variation: cv^2 = 1 / (shape (shape - 2)). */
    PARETO {
        @Override
        DoubleSupplier of(double meanUs, double cv, UniformRandomProvider random) {
            double shape = 1 + Math.sqrt(1 + 1 / (cv * cv));
            return InverseTransformParetoSampler.of(random, meanUs * (shape - 1) / shape, shape)::sample;
        }
    },
    /** Two sizes, the large one for a tenth of the requests; their ratio follows from the coefficient of variation. */
    BIMODAL {
        @Override
        DoubleSupplier of(double meanUs, double cv, UniformRandomProvider random) {
            double small = Math.max(0, meanUs * (1 - cv / 3));
            double large = (meanUs - 0.9 * small) / 0.1;
            return () -> random.nextDouble() < 0.1 ? large : small;
        }
    };

    abstract DoubleSupplier of(double meanUs, double cv, UniformRandomProvider random);
}
