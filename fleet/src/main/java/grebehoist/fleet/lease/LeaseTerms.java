package grebehoist.fleet.lease;

/**
 * The times of leases, in microseconds of clocks that do not go back and whose rates differ from real time by {@code drift} at most.
 *
 * @param leaseUs how long a voter keeps a grant, by its own clock; every lease has the same length
 * @param drift the bound on the rate of a clock: 0.01 for one in a hundred
 * @param renewUs a holder renews so long after it was granted
 * @param againUs a question without an answer is asked again so often
 * @param tryUs a try that has no majority by then is over
 * @param placeUs each place further back among the candidates waits so much longer
 */
public record LeaseTerms(long leaseUs, double drift, long renewUs, long againUs, long tryUs, long placeUs) {
    public LeaseTerms {
        if (drift < 0
                || drift >= 0.5
                || leaseUs <= 0
                || renewUs <= 0
                || againUs <= 0
                || tryUs < againUs
                || placeUs < 0
                || renewUs + tryUs >= heldUs(leaseUs, drift)) {
            throw new IllegalArgumentException("terms of leases that contradict each other: lease " + leaseUs
                    + " us, drift " + drift + ", renewed after " + renewUs + " us, a try of " + tryUs + " us");
        }
    }

    /** Those that hold unless others are set: two seconds, clocks that are wrong by one in a hundred. */
    public static LeaseTerms standard() {
        return of(2_000_000);
    }

    /** Those of leases of another length; the rest follows from it. */
    public static LeaseTerms of(long leaseUs) {
        return new LeaseTerms(leaseUs, 0.01, leaseUs / 4, leaseUs / 25, leaseUs / 2, leaseUs / 10);
    }

    /** Returns how long a holder may act, by its own clock: a slow one must be over before the fastest voter's. */
    public long heldUs() {
        return heldUs(leaseUs, drift);
    }

    private static long heldUs(long leaseUs, double drift) {
        return (long) Math.floor(leaseUs * (1 - drift) / (1 + drift));
    }

    /** Returns how long a voter that has started knows nothing and says nothing: until whatever it may have granted before is over. */
    public long silenceUs() {
        return (long) Math.ceil(leaseUs * (1 + drift) / (1 - drift));
    }
}
