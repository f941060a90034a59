package grebehoist.lab;

import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What has become of one play of an experiment by one policy. Bounded, however long it goes: histograms and a row a second. */
final class Figures {
    /** Rows over time; a longer experiment has longer rows. */
    static final int ROWS = 600;
    /** The column after those of {@link End}: how many were asked. */
    static final int OFFERED = End.values().length;

    private final double rowS;
    private final long[][] rows = new long[ROWS][OFFERED + 1];
    private final Histogram latency = new Histogram(1, 3_600_000_000L, 3);
    private double offeredWorth;
    private double goodWorth;
    private final TreeMap<String, Long> broken = new TreeMap<>();
    private double workUs;
    private double usefulUs;
    private long attempts;

    Figures(Experiment e) {
        this.rowS = Math.max(1, e.seconds() / ROWS);
    }

    /** How a client's request has ended, after all its tries. */
    enum End {
        GOOD,
        LATE,
        REFUSED,
        FAILED
    }

    void offered(double second, double itsWorth) {
        row(second)[OFFERED]++;
        offeredWorth += itsWorth;
    }

    void ended(double second, End end, double itsWorth, long tookUs, double itsWorkUs) {
        row(second)[end.ordinal()]++;
        if (end == End.GOOD || end == End.LATE) {
            latency.recordValue(Math.min(Math.max(1, tookUs), latency.getHighestTrackableValue()));
        }
        if (end == End.GOOD) {
            goodWorth += itsWorth;
            usefulUs += itsWorkUs;
        }
    }

    private long[] row(double second) {
        return rows[(int) Math.min(ROWS - 1, second / rowS)];
    }

    /** From here on all counts: machines have done so much work before. */
    void begin(double workDoneUs) {
        workUs = -workDoneUs;
        attempts = 0;
    }

    /** It is over, and machines have done so much work in all. */
    void end(double workDoneUs) {
        workUs += workDoneUs;
    }

    void attempt() {
        attempts++;
    }

    void broken(String rule) {
        broken.merge(rule, 1L, Long::sum);
    }

    long count(End end) {
        return sum(end.ordinal());
    }

    long offered() {
        return sum(OFFERED);
    }

    private long sum(int column) {
        long sum = 0;
        for (long[] row : rows) {
            sum += row[column];
        }
        return sum;
    }

    long attempts() {
        return attempts;
    }

    /** Returns the part of the worth asked for that was answered within its aim. */
    double goodput() {
        return offeredWorth == 0 ? 0 : goodWorth / offeredWorth;
    }

    double refused() {
        return ofOffered(count(End.REFUSED));
    }

    double failed() {
        return ofOffered(count(End.FAILED));
    }

    double attemptsARequest() {
        return ofOffered(attempts);
    }

    private double ofOffered(long number) {
        return offered() == 0 ? 0 : (double) number / offered();
    }

    /** Returns the part of all work done whose answer was of no use. */
    double wasted() {
        return workUs == 0 ? 0 : Math.max(0, 1 - usefulUs / workUs);
    }

    double percentileMs(double percentile) {
        return latency.getValueAtPercentile(percentile) / 1e3;
    }

    double meanMs() {
        return latency.getMean() / 1e3;
    }

    long brokenRules() {
        return broken.values().stream().mapToLong(Long::longValue).sum();
    }

    TreeMap<String, Long> broken() {
        return broken;
    }

    double rowSeconds() {
        return rowS;
    }

    /** Returns good, late, refused, failed and offered in a row. */
    long[] atRow(int i) {
        return rows[i].clone();
    }
}
