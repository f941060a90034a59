package grebehoist.demo;

import beechfall.Balancer;
import beechfall.Balancer.Effect;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Scope;
import beechfall.Policy;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import grebehoist.net.StderrLog;
import grebehoist.pool.Pool;
import grebehoist.testkit.Fleet;
import grebehoist.testkit.Rig;
import grebehoist.testkit.StandInBackend;
import grebehoist.testkit.Witness;
import grebehoist.testkit.Witness.Count;
import io.netty.channel.ChannelFuture;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Runs discovery, a handful of backends of different speeds, clients, and the real proxy between them, on loopback; tells
 * every second how it goes, and at the end what the witness of the four rules says.
 */
public final class Demo {
    /** What can be brought about in the middle of the demo. */
    private enum Trouble {
        SLOW,
        HANG,
        CRASH,
        DEPLOY,
        BURST
    }

    private static final long S = 1_000_000;
    private static final long MS = 1_000;
    private static final int MACHINES = 6;
    private static final double LOAD = 0.6;
    private static final String USAGE = "usage: demo [--fault slow|hang|crash|deploy|burst] [--seconds N] [--seed N]";

    private static final Balancer.Settings SETTINGS = new Balancer.Settings(
            1,
            0,
            "u",
            4 * MS,
            List.of(
                    new RequestClass("read-balance", 600 * MS, 2 * S, 1, 0, Effect.SAFE, Scope.ALL, 0),
                    new RequestClass("issue-invoice", 600 * MS, 2_500 * MS, 2, 0, Effect.KEYED, Scope.ZONE, 12 * S),
                    new RequestClass("post-payment", 400 * MS, 2 * S, 10, 0, Effect.KEYED, Scope.ZONE, 1_200 * MS)),
            List.of(new Balancer.Tenant("vestkraft", 400), new Balancer.Tenant("dalen-energi", 200)),
            0.05,
            false,
            new Balancer.Limits(true, false, false, true, 4, 2 * S),
            new Balancer.Rules(0.4, 8 * S, 4, S, 10 * S, false),
            1);
    private static final double[] SHARES = {0.48, 0.37, 0.15};

    private final Rig rig;
    private final Trouble trouble;
    private final int seconds;
    private final Network network = Network.sockets();
    private final Policy policy = new Policy(SETTINGS);
    private final Pool pool;
    private final Map<Count, Long> before = new EnumMap<>(Count.class);
    private final Map<String, Long> ranBefore = new HashMap<>();

    private Demo(Trouble trouble, int seconds, long seed) {
        this.trouble = trouble;
        this.seconds = seconds;
        rig = new Rig(SETTINGS, SHARES, 15 * S, seed);
        var spec = Pool.Spec.http("demo", SETTINGS, rig.discoveryOfNextProxy(), 15 * S, 200 * MS);
        var host = new Pool.Host(
                network,
                new LoopTimers(network.loop()),
                new Sockets(network.loop(), new StderrLog(), 1_024),
                new StderrLog());
        pool = new Pool(host, spec, new Pool.Wiring(settings -> policy, t -> t, i -> i, m -> m));
    }

    /**
     * Runs the command.
     *
     * @return the exit code: 0 where the rules were kept, 1 where one was broken, 2 for words that can't be read
     */
    public static int run(String... args) throws InterruptedException {
        Trouble trouble = null;
        int seconds = 15;
        long seed = 1;
        try {
            for (int i = 0; i < args.length; i += 2) {
                switch (args[i]) {
                    case "--fault" -> trouble = Trouble.valueOf(args[i + 1].toUpperCase(Locale.ROOT));
                    case "--seconds" -> seconds = Math.max(3, Integer.parseInt(args[i + 1]));
                    case "--seed" -> seed = Long.parseLong(args[i + 1]);
                    default -> throw new IllegalArgumentException("unknown word '" + args[i] + "'");
                }
            }
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            System.err.println(e.getMessage() + "\n" + USAGE);
            return 2;
        }
        return new Demo(trouble, seconds, seed).play();
    }

    private int play() throws InterruptedException {
        rig.machines(MACHINES);
        network.loop().submit(() -> pool.begin(null)).syncUninterruptibly();
        ChannelFuture bound = network.loop()
                .submit(() ->
                        pool.httpFront().listen(network, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
                .syncUninterruptibly()
                .getNow()
                .syncUninterruptibly();
        rig.proxyAt((InetSocketAddress) bound.channel().localAddress());
        while (!network.loop().submit(pool::ready).syncUninterruptibly().getNow()) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        double capacity = rig.on(() -> rig.fleet().capacity());
        System.out.printf(
                Locale.ROOT,
                "%d backends worth %.1f cores, clients ask for %.0f%% of that: %.0f requests a second%n",
                MACHINES,
                capacity,
                100 * LOAD,
                LOAD * capacity * S / 25_000);
        rig.load(LOAD * capacity, seconds * S);
        System.out.println("  s  asked served refused failed | backend: weight, attempts out, requests run");
        for (int second = 1; second <= seconds; second++) {
            if (trouble != null && second == 1 + seconds / 3) {
                System.out.println("--- " + trouble.name().toLowerCase(Locale.ROOT) + " ---");
                rig.run(() -> begin(rig.now() + seconds * S / 3));
            }
            TimeUnit.SECONDS.sleep(1);
            line(second);
        }
        Witness witness = rig.finish();
        String verdict = rig.on(witness::verdict);
        System.out.println(verdict);
        boolean kept = rig.on(() -> witness.violations().isEmpty());
        network.loop().submit(pool::end).syncUninterruptibly();
        network.loop().parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        rig.close();
        return kept ? 0 : 1;
    }

    private void begin(long end) {
        List<Fleet.Machine> machines = rig.fleet().staying();
        Fleet.Machine first = machines.get(0);
        switch (trouble) {
            case SLOW -> {
                first.backend().slower(8);
                at(end, () -> first.backend().slower(1));
            }
            case HANG -> {
                first.backend().act(StandInBackend.Act.VANISH);
                at(end, () -> first.backend().act(StandInBackend.Act.SERVE));
            }
            case CRASH -> first.crash(rig.now() + 2 * S);
            case DEPLOY -> {
                for (int i = 0; i < machines.size() / 2; i++) {
                    Fleet.Machine next = machines.get(i);
                    at(rig.now() + i * S, () -> next.leave(rig.now() + 2 * S, true));
                }
            }
            case BURST -> {
                rig.traffic().burst(4);
                at(end, () -> rig.traffic().burst(1));
            }
            default -> throw new IllegalStateException("no such trouble");
        }
    }

    private void at(long when, Runnable action) {
        rig.later(when, action);
    }

    private void line(int second) {
        Map<String, Policy.View> views = network.loop().submit(policy::view).syncUninterruptibly().getNow().stream()
                .collect(Collectors.toMap(Policy.View::backend, v -> v));
        System.out.println(rig.on(() -> {
            var text = new StringBuilder(String.format(
                    Locale.ROOT,
                    "%3d %6d %6d %7d %6d |",
                    second,
                    since(Count.ASKED),
                    since(Count.SERVED),
                    since(Count.REFUSED),
                    since(Count.FAILED)));
            for (Fleet.Machine m : rig.fleet().present()) {
                Policy.View view = views.get(m.id());
                long ran = m.backend().runs();
                text.append(String.format(
                        Locale.ROOT,
                        " %s%s: %s %d",
                        m.id(),
                        m.leaving() ? " drains" : m.up() ? "" : " down",
                        view == null ? "-" : String.format(Locale.ROOT, "%.2f, %d,", view.weight(), view.out()),
                        Math.max(0, ran - ranBefore.getOrDefault(m.id(), 0L))));
                ranBefore.put(m.id(), ran);
            }
            return text.toString();
        }));
    }

    private long since(Count count) {
        long now = rig.witness().count(count);
        Long last = before.put(count, now);
        return now - (last == null ? 0 : last);
    }
}
