package grebehoist.net;

import grebehoist.engine.Wait;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.IntCountsHistogram;

/** How long requests have waited at each {@link Wait}, in microseconds. Used by one thread. */
public final class WaitHistograms {
    private static final long LONGEST_US = TimeUnit.MINUTES.toMicros(1);
    private static final int SIGNIFICANT_DIGITS = 2;

    /**
     * The figures of one stage, in microseconds.
     *
     * @param count how many waits were recorded
     */
    public record Figures(long count, long p50, long p90, long p99, long max) {}

    private final Map<Wait, IntCountsHistogram> histograms = new EnumMap<>(Wait.class);

    /** Records a wait; one that is longer than a minute counts as a minute. */
    public void record(Wait stage, long us) {
        histograms
                .computeIfAbsent(stage, s -> new IntCountsHistogram(LONGEST_US, SIGNIFICANT_DIGITS))
                .recordValue(Math.max(0, Math.min(us, LONGEST_US)));
    }

    /** Returns the figures of a stage. */
    public Figures figures(Wait stage) {
        IntCountsHistogram waits = histograms.get(stage);
        return waits == null
                ? new Figures(0, 0, 0, 0, 0)
                : new Figures(
                        waits.getTotalCount(),
                        waits.getValueAtPercentile(50),
                        waits.getValueAtPercentile(90),
                        waits.getValueAtPercentile(99),
                        waits.getMaxValue());
    }
}
