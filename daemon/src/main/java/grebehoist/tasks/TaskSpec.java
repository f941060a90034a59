package grebehoist.tasks;

import java.net.InetSocketAddress;

/**
 * A task of the fleet: a call that is made every so often by the one proxy that holds it.
 *
 * @param fenced whether the receiver compares tokens: exact through any pause. Else the call is <em>timed</em>: begun only if it is over before
 *         the lease is
 * @param everyUs a run has this length, in microseconds
 * @param actUs a call takes no longer, in microseconds: then it is given up
 */
public record TaskSpec(String name, boolean fenced, InetSocketAddress to, String path, long everyUs, long actUs) {
    /** Returns how much of the lease must be left for a call to begin, in microseconds. */
    long leastLeftUs() {
        return fenced ? 0 : actUs;
    }
}
