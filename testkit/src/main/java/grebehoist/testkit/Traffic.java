package grebehoist.testkit;

import beechfall.Balancer;
import beechfall.Balancer.RequestClass;
import grebehoist.engine.Timers;
import grebehoist.testkit.StandInClients.Manner;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

/** What clients ask and when: arrivals at random, not waiting for answers. Used by the stand-ins' one thread. */
public final class Traffic {
    /** The mean work of a request, in microseconds. */
    public static final double MEAN_WORK_US = 25_000;

    private static final double LEAST_PER_S = 8;

    private final Timers timers;
    private final StandInClients clients;
    private final SplittableRandom random;
    private final List<RequestClass> classes;
    private final double[] shares;
    private final List<Balancer.Tenant> tenants;
    private final DoubleSupplier cores;
    private final IntSupplier proxy;
    private final Map<Manner, Double> manners = new EnumMap<>(Manner.class);
    private double burst = 1;
    private double oneway;
    private long nextOrder;
    private long until;
    private int runs;

    /**
     * Makes traffic that is yet to begin.
     *
     * @param shares of the classes, in their order
     * @param cores how many warm cores of speed 1 are asked for at this moment
     * @param proxy which proxy the next request goes to
     */
    public Traffic(
            Timers timers,
            StandInClients clients,
            SplittableRandom random,
            Balancer.Settings settings,
            double[] shares,
            DoubleSupplier cores,
            IntSupplier proxy) {
        this.timers = timers;
        this.clients = clients;
        this.random = random;
        this.classes = settings.classes();
        this.shares = shares.clone();
        this.tenants = settings.tenants();
        this.cores = cores;
        this.proxy = proxy;
    }

    /** Clients come from now on until then. */
    public void run(long untilUs) {
        until = untilUs;
        next(timers.now(), ++runs);
    }

    /** No client comes any more. */
    public void stop() {
        runs++;
    }

    /** Multiplies the rate from now on. */
    public void burst(double times) {
        burst = times;
    }

    /** From now on a share of the clients behaves like this. */
    public void manner(Manner manner, double share) {
        if (share > 0) {
            manners.put(manner, share);
        } else {
            manners.remove(manner);
        }
    }

    /** From now on this share of the plain calls is oneway. */
    public void oneway(double share) {
        oneway = share;
    }

    private void next(long at, int run) {
        if (at < until) {
            timers.at(at, () -> {
                if (run != runs) {
                    return;
                }
                ask();
                double perUs = Math.max(LEAST_PER_S / 1e6, cores.getAsDouble() * burst / MEAN_WORK_US);
                next(at + Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / perUs)), run);
            });
        }
    }

    private void ask() {
        double share = random.nextDouble();
        int type = 0;
        while (type < shares.length - 1 && share > shares[type]) {
            share -= shares[type++];
        }
        RequestClass c = classes.get(type);
        Manner manner = Manner.PLAIN;
        double drawn = random.nextDouble();
        for (Map.Entry<Manner, Double> m : manners.entrySet()) {
            manner = drawn > 0 && drawn < m.getValue() ? m.getKey() : manner;
            drawn -= m.getValue();
        }
        String tenant = tenants.isEmpty()
                ? null
                : tenants.get(random.nextInt(4) > 0 ? 0 : random.nextInt(tenants.size()))
                        .name();
        long work = (long) (MEAN_WORK_US * random.nextDouble(0.6, 1.4));
        // In whole milliseconds, as some protocols know no other.
        long patience = (long) (c.deadlineUs() * random.nextDouble(0.7, 1)) / 1_000 * 1_000;
        boolean nobodyWaits = oneway > 0 && manner == Manner.PLAIN && random.nextDouble() < oneway;
        clients.ask(
                proxy.getAsInt(),
                new StandInClients.Order(
                        "o" + nextOrder++,
                        c,
                        tenant,
                        work,
                        patience,
                        manner,
                        random.nextLong(400_000),
                        random.nextInt(3),
                        nobodyWaits));
    }
}
