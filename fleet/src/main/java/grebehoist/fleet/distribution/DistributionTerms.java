package grebehoist.fleet.distribution;

/**
 * The times and bounds of distribution, in microseconds, bytes and numbers.
 *
 * @param machineTickUs how often a control machine is to be ticked
 * @param proxyTickUs how often a proxy is to be ticked
 * @param digestUs a proxy tells what it has so often, give or take a fifth
 * @param ackUs a proxy tells within this that something has come
 * @param retryUs what was sent and not acknowledged is sent again after this, then after twice that, to {@code mostRetryUs} at most
 * @param patience a source is left after so many digests without an answer
 * @param awayUs a proxy that has told nothing for so long is not waited for
 * @param repairUs machines compare what they hold so often, a page at a time
 * @param tombstoneUs a removal is remembered so long by its holders
 * @param mostTombstones and so many of a scope at most
 * @param pacePerS bytes a second that a machine sends to a proxy, in bursts of {@code burst}
 * @param fillPerS bytes a second that it sends to one that starts from nothing
 * @param machinePerS bytes a second that it sends in all
 * @param mostScopes scopes that a machine holds
 * @param mostItems items of a scope
 */
public record DistributionTerms(
        long machineTickUs,
        long proxyTickUs,
        long digestUs,
        long ackUs,
        long retryUs,
        long mostRetryUs,
        int patience,
        long awayUs,
        long repairUs,
        long tombstoneUs,
        int mostTombstones,
        int pacePerS,
        int burst,
        int fillPerS,
        int machinePerS,
        int mostScopes,
        int mostItems) {
    private static final long MS = 1_000;
    private static final long S = 1_000 * MS;

    public DistributionTerms {
        if (machineTickUs <= 0
                || proxyTickUs <= 0
                || digestUs <= 0
                || ackUs <= 0
                || retryUs <= ackUs
                || mostRetryUs < retryUs
                || patience < 1
                || awayUs < 2 * digestUs
                || repairUs <= 0
                || tombstoneUs < awayUs
                || mostTombstones < 1
                || pacePerS < 256
                || burst < 256
                || fillPerS < pacePerS
                || machinePerS < fillPerS
                || mostScopes < 1
                || mostItems < 1) {
            throw new IllegalArgumentException("terms of distribution that contradict each other");
        }
    }

    /** Those that hold unless others are set. */
    public static DistributionTerms standard() {
        return new DistributionTerms(
                20 * MS, 50 * MS, 2 * S, 50 * MS, 400 * MS, 2 * S, 4, 8 * S, S, 7_200 * S, 4_096, 1_200, 4_000, 24_000,
                2_000_000, 20_000, 20_000);
    }
}
