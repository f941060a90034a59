package grebehoist.distribution;

import grebehoist.fleet.distribution.DistributionTerms;
import grebehoist.fleet.distribution.Layout;
import grebehoist.fleet.wire.KeyRing;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * What a proxy or a control machine is told.
 *
 * @param control whether it is a control machine
 * @param name for its log
 * @param listen where it gets datagrams
 * @param number a machine's among the machines, or a proxy's among the proxies
 * @param scopes what a proxy is to hold; empty at a machine
 * @param machines where the machines get datagrams, by number
 * @param layout where the machines are
 * @param keys one, or two while they change
 */
public record DistributionSettings(
        boolean control,
        String name,
        InetSocketAddress listen,
        int number,
        List<String> scopes,
        List<InetSocketAddress> machines,
        Layout layout,
        DistributionTerms terms,
        List<KeyRing.Key> keys) {
    /** A number of 16 bits names each machine and each proxy. */
    private static final int MOST_MEMBERS = 65_535;

    public DistributionSettings {
        scopes = List.copyOf(scopes);
        machines = List.copyOf(machines);
        keys = List.copyOf(keys);
    }

    /** Returns its number among machines and proxies together: the machines come first. */
    int member() {
        return control ? number : machines.size() + number;
    }

    /** Returns how many numbers it may meet: a proxy speaks with machines alone. */
    int members() {
        return control ? MOST_MEMBERS : member() + 1;
    }
}
