package grebehoist.testkit;

import beechfall.Balancer;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Stand-ins on loopback sockets, in real time, for proxies that run in this process or in others: backends, a discovery
 * address for each proxy, clients, and their witness. All of it runs on a thread of its own; a caller's work is handed to
 * it with {@link #on}.
 */
public final class Rig implements AutoCloseable {
    /** What loopback and a busy machine may add to any moment, in microseconds: what the operators' pages allow too. */
    public static final long SLACK_US = 50_000;

    private static final int LOOK_MS = 5;

    private final Network network = Network.sockets();
    private final LoopTimers timers = new LoopTimers(network.loop());
    private final Witness witness;
    private final StandInDiscovery discovery;
    private final StandInClients clients;
    private final Fleet fleet;
    private final Traffic traffic;
    private final List<InetSocketAddress> proxies = new ArrayList<>();
    private final Map<Integer, Long> excusedUntilUs = new ConcurrentHashMap<>();
    private final Set<Integer> avoided = ConcurrentHashMap.newKeySet();
    /** Those that get no new connections; the ones that are open are used on. */
    private final Set<Integer> notDealtOut = ConcurrentHashMap.newKeySet();

    private final SplittableRandom random;
    private volatile double cores;

    /**
     * Makes a rig without backends and proxies.
     *
     * @param settings those of the proxies; all of them see the same classes, rules and limits
     * @param shares of the classes in the traffic
     */
    public Rig(Balancer.Settings settings, double[] shares, long connIdleUs, long seed) {
        this(new HttpWire(), settings, shares, connIdleUs, seed);
    }

    /** As the other, for clients and backends that speak something else than HTTP. */
    public Rig(StandInWire wire, Balancer.Settings settings, double[] shares, long connIdleUs, long seed) {
        this(wire, settings, shares, connIdleUs, seed, Witness.Terms.of(settings, SLACK_US));
    }

    /** As the other, with other terms. */
    public Rig(
            StandInWire wire,
            Balancer.Settings settings,
            double[] shares,
            long connIdleUs,
            long seed,
            Witness.Terms terms) {
        random = new SplittableRandom(seed);
        witness = new Witness(terms);
        discovery = new StandInDiscovery(network, timers, witness);
        clients = new StandInClients(
                wire,
                network,
                timers,
                witness,
                proxies::get,
                (proxy, at) -> at < excusedUntilUs.getOrDefault(proxy, Long.MIN_VALUE));
        clients.dealtOut(proxy -> !avoided.contains(proxy) && !notDealtOut.contains(proxy));
        fleet = new Fleet(
                wire, network, timers, witness, discovery, settings, connIdleUs, random, Rig::anyPort, false, f -> {});
        traffic = new Traffic(timers, clients, random, settings, shares, () -> cores, this::aProxy);
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private int aProxy() {
        List<Integer> here = new ArrayList<>();
        for (int i = 0; i < proxies.size(); i++) {
            if (!avoided.contains(i)) {
                here.add(i);
            }
        }
        return here.isEmpty() ? 0 : here.get(random.nextInt(here.size()));
    }

    /** Does something on the stand-ins' thread, and waits for it. */
    public <T> T on(Callable<T> work) {
        return network.loop().submit(work).syncUninterruptibly().getNow();
    }

    /** As {@link #on}, where nothing comes back. */
    public void run(Runnable work) {
        network.loop().submit(work).syncUninterruptibly();
    }

    /** Adds machines that have run for long, and waits until they listen. */
    public void machines(int number) {
        run(() -> {
            for (int i = 0; i < number; i++) {
                fleet.add(true);
            }
        });
        await("the backends listen", () -> discovery.listed().size() >= number);
    }

    /** Listens as the discovery of one more proxy; returns the address. Proxies are counted from 0. */
    public InetSocketAddress discoveryOfNextProxy() {
        return (InetSocketAddress) on(() -> discovery.listen(anyPort()))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    /** Tells where the proxy is whose discovery was asked for last. */
    public void proxyAt(InetSocketAddress address) {
        run(() -> proxies.add(address));
    }

    /** Clients ask for so much work from now on: in warm cores of speed 1, for so long. */
    public void load(double warmCores, long forUs) {
        cores = warmCores;
        run(() -> traffic.run(timers.now() + forUs));
    }

    /** Until then (on {@link #now}'s clock) a proxy can't be blamed for what it does not answer. */
    public void excuse(int proxy, long untilUs) {
        excusedUntilUs.put(proxy, untilUs);
    }

    /** A process is about to be killed as it has not ended in time: see {@link StandInClients#killing}. */
    public void killing(Set<Integer> clientPorts) {
        run(() -> clients.killing(clientPorts));
    }

    /** Whether clients know that they must not ask a proxy, as whoever deals them out does after a while. */
    public void avoid(int proxy, boolean avoid) {
        if (avoid) {
            avoided.add(proxy);
        } else {
            avoided.remove(proxy);
        }
    }

    /** Whether a proxy gets new connections, as whoever deals clients out has it; they use those that are open as long as they are. */
    public void dealOut(int proxy, boolean deal) {
        if (deal) {
            notDealtOut.remove(proxy);
        } else {
            notDealtOut.add(proxy);
        }
    }

    /** Does something on the stand-ins' thread at a time of {@link #now}'s clock. */
    public void later(long atUs, Runnable action) {
        timers.at(atUs, action);
    }

    /** Returns the time in microseconds. */
    public long now() {
        return timers.now();
    }

    /** Returns the stand-ins' parts, to be used on their thread alone. */
    public Fleet fleet() {
        return fleet;
    }

    /** Returns the discovery. */
    public StandInDiscovery discovery() {
        return discovery;
    }

    /** Returns the clients. */
    public StandInClients clients() {
        return clients;
    }

    /** Returns the traffic. */
    public Traffic traffic() {
        return traffic;
    }

    /** Returns the witness. */
    public Witness witness() {
        return witness;
    }

    /** Waits for something that the stand-ins can see, 30 s at most. */
    public void await(String what, Supplier<Boolean> condition) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!on(condition::get)) {
            if (System.nanoTime() - until > 0) {
                throw new IllegalStateException("waited in vain: " + what);
            }
            try {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted: " + what, e);
            }
        }
    }

    /** Waits until so many more have been served than now. */
    public void awaitServed(int more) {
        long before = on(() -> witness.count(Witness.Count.SERVED));
        await(more + " more are served", () -> witness.count(Witness.Count.SERVED) >= before + more);
    }

    /** Ends the traffic, waits until all clients have their answers, and returns what the witness says of it all. */
    public Witness finish() {
        run(traffic::stop);
        await("all is answered", () -> clients.waiting() == 0);
        run(() -> witness.finish(timers.now()));
        return witness;
    }

    @Override
    public void close() {
        run(fleet::close);
        network.loop().parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
