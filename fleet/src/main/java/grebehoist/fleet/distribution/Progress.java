package grebehoist.fleet.distribution;

import java.util.List;

/**
 * How far a scope has got, as one of its holders knows by the proxies that ask this one.
 *
 * @param known proxies that are heard of, without those away
 * @param inForce those that have acknowledged this version and state
 * @param away those that have told nothing for a while; they are not waited for
 * @param behind the others, the longest behind first, 20 at most
 * @param p50Us of the last changes: from taken, as known here, until acknowledged; -1 where none was
 */
public record Progress(
        String scope,
        long version,
        int known,
        int inForce,
        int away,
        List<Behind> behind,
        long p50Us,
        long p99Us,
        long worstUs) {
    /** A proxy that has not acknowledged yet, and for how long. */
    public record Behind(int proxy, long version, long forUs) {}

    /** So many are named at most. */
    public static final int MOST_NAMED = 20;

    public Progress {
        behind = List.copyOf(behind);
    }
}
