package grebehoist.fleet.distribution;

import grebehoist.fleet.wire.KeyRing;
import grebehoist.fleet.wire.Refused;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * A control machine or a proxy: the seal on its datagrams, and what it holds. No clock, thread or socket; used by one thread. Times are
 * microseconds of a clock that does not go back.
 */
public final class DistributionNode {
    /** Where datagrams and news go. */
    public interface Output {
        /**
         * Sends a datagram. A proxy sends to machines, whose addresses it knows. A machine sends to other machines, and to a proxy where its
         * last proven datagram came from; while {@link #received} runs, what goes to that datagram's sender goes where it came from.
         */
        void send(int to, byte[] datagram);

        /** Tells what has changed. */
        void changed(DistributionChange change);
    }

    /**
     * Who this is.
     *
     * @param number machines have 0 to m - 1, as in the layout, proxies the numbers from m on
     * @param members machines and proxies together, 65,535 at most
     * @param random must differ from life to life
     */
    public record Setup(int number, int members, Layout layout, DistributionTerms terms, KeyRing ring, RandomGenerator random) { }

    private DistributionNode() { }

    /** Makes a control machine. */
    public static DistributionNode machine(Setup setup, Output out) {
        return new DistributionNode();
    }

    /** Makes a proxy that subscribes to scopes. */
    public static DistributionNode proxy(Setup setup, List<String> scopes, Output out) {
        return new DistributionNode();
    }

    /** Begins. */
    public void start(long nowUs) { }

    /** Time has passed; to be called each {@link DistributionTerms#machineTickUs} or {@link DistributionTerms#proxyTickUs}. */
    public void tick(long nowUs) { }

    /**
     * A datagram has come.
     *
     * @param from at a proxy the number of the machine whose address it comes from, or -1; at a machine the same for another machine's address,
     *        else {@code Post.sender(datagram)}
     * @return whether it is sure who sent it, and that it is new: where it came from is where its sender is
     */
    public boolean received(long nowUs, int from, byte[] datagram) {
        return false;
    }

    /** Returns what is held; null at a proxy. */
    public Holder holder() {
        return null;
    }

    /** Returns what is in force; null at a control machine. */
    public Subscriber subscriber() {
        return null;
    }

    /** Returns how many datagrams changed nothing, by cause. */
    public Map<Refused, Long> refused() {
        return Map.of();
    }

    /** Returns how many bodies could not be read although their seal was right: another version's, or a mistake. */
    public long unreadable() {
        return 0;
    }
}
