package grebehoist.thrift;

import beechfall.Balancer;
import beechfall.Balancer.Effect;
import beechfall.Balancer.Event;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Scope;
import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.cli.Fixture;
import grebehoist.cli.Peer;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import grebehoist.net.StderrLog;
import grebehoist.pool.Pool;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** A Thrift pool and its listener on loopback, with a module that the test gives. */
final class ThriftFixture implements Closeable {
    static final long MS = 1_000;
    private static final int DESCRIPTORS = 1_024;
    static final Balancer.Settings SETTINGS = new Balancer.Settings(
            1,
            0,
            "a",
            4 * MS,
            List.of(
                    new RequestClass("read", 600 * MS, 2_000 * MS, 1, 0, Effect.SAFE, Scope.ALL, 0),
                    new RequestClass("pay", 400 * MS, 2_000 * MS, 10, 0, Effect.KEYED, Scope.ZONE, 1_200 * MS)),
            List.of(new Balancer.Tenant("vestkraft", 1_000)),
            0.05,
            false,
            new Balancer.Limits(true, false, false, true, 4, 2_000 * MS),
            new Balancer.Rules(0.4, 8_000 * MS, 4, 1_000 * MS, 10_000 * MS, false),
            7);
    static final ThriftMethod.Fixed VESTKRAFT = new ThriftMethod.Fixed("vestkraft");
    static final List<ThriftMethod> METHODS = List.of(
            new ThriftMethod(
                    "pay",
                    "pay",
                    new ThriftMethod.At("2.1"),
                    new ThriftMethod.At("2.3"),
                    new ThriftMethod.At("2.2"),
                    new ThriftMethod.At("4"),
                    new ThriftMethod.At("1"),
                    null,
                    null),
            new ThriftMethod(
                    "declared", "read", VESTKRAFT, null, null, null, null, null, new ThriftMethod.Refusal(2, 1, 3)),
            new ThriftMethod("Billing:*", "read", VESTKRAFT, null, null, null, null, null, null),
            new ThriftMethod("read*", "read", VESTKRAFT, null, null, null, null, null, null));

    final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    final InetSocketAddress address;
    final ThriftFront front;
    private final Network network = Network.sockets();
    private final Pool pool;
    private final Peer discovery = new Peer();

    static ThriftOptions options(boolean outOfOrder, int maxOpen) {
        return options(outOfOrder, maxOpen, 1 << 20);
    }

    static ThriftOptions options(boolean outOfOrder, int maxOpen, long maxHalfBytes) {
        return new ThriftOptions(
                METHODS, false, 64 * 1024, outOfOrder, maxOpen, 1 << 20, 16 << 20, maxHalfBytes, 60_000_000);
    }

    ThriftFixture(Function<Balancer.Settings, Balancer> factory, ThriftOptions options, InetSocketAddress... backends)
            throws IOException {
        this(factory, options, DESCRIPTORS, backends);
    }

    private ThriftFixture(
            Function<Balancer.Settings, Balancer> factory,
            ThriftOptions options,
            int descriptors,
            InetSocketAddress... backends)
            throws IOException {
        var servers = new StringBuilder();
        for (int i = 0; i < backends.length; i++) {
            servers.append(i == 0 ? "" : ",")
                    .append(Fixture.entry("s" + i, "127.0.0.1:" + backends[i].getPort(), "ready"));
        }
        String list = "{\"version\":41,\"full\":true,\"servers\":[" + servers + "]}";
        discovery.always(Peer.ok(list));
        var host = new Pool.Host(
                network,
                new LoopTimers(network.loop()),
                new Sockets(network.loop(), new StderrLog(), descriptors),
                new StderrLog());
        var spec = new Pool.Spec(
                "billing",
                Pool.Protocol.THRIFT,
                SETTINGS,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), discovery.port()),
                15_000_000,
                200_000,
                options.maxFrame());
        pool = new Pool(
                host,
                spec,
                new Pool.Wiring(
                        settings -> {
                            Balancer module = factory.apply(settings);
                            return (now, event, actions) -> {
                                events.add(event);
                                module.handle(now, event, actions);
                            };
                        },
                        t -> t,
                        i -> i,
                        m -> m));
        JsonNode known = Fixture.json(list);
        network.loop().submit(() -> pool.begin(known)).syncUninterruptibly();
        front = (ThriftFront) pool.thriftFront(options, "t-");
        address = (InetSocketAddress) front.listen(network, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    ThriftFixture(Fixture.Module module, ThriftOptions options, InetSocketAddress... backends) throws IOException {
        this(module, options, DESCRIPTORS, backends);
    }

    ThriftFixture(Fixture.Module module, ThriftOptions options, int descriptors, InetSocketAddress... backends)
            throws IOException {
        this(settings -> (now, event, actions) -> module.handle(event, actions), options, descriptors, backends);
    }

    /** Waits for the next event of a type. */
    <T extends Event> T next(Class<T> type) throws InterruptedException {
        while (true) {
            Event event = Peer.next(events);
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    /** Does something on the loop's thread, and waits for it. */
    void on(Runnable work) {
        network.loop().submit(work).syncUninterruptibly();
    }

    /** Waits until something can be seen on the loop's thread, 10 s at most. */
    void awaitOn(BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!network.loop()
                .submit(condition::getAsBoolean)
                .syncUninterruptibly()
                .getNow()) {
            if (System.nanoTime() - until > 0) {
                throw new AssertionError("waited in vain");
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    @Override
    public void close() throws IOException {
        network.loop().submit(pool::end).syncUninterruptibly();
        network.loop().parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        discovery.close();
    }
}
