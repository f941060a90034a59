package grebehoist.benchmarks.slopes;

import grebehoist.benchmarks.Workload;
import grebehoist.engine.Log;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import grebehoist.net.StderrLog;
import grebehoist.pool.Pool;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What a whole list takes on its way from discovery into a pool: source, engine, transport and module, over loopback, cold. */
final class DiscoverySlopes {
    private static final long IDLE_US = 15_000_000;
    private static final long CONNECT_US = 200_000;
    private static final long MOST_WAIT_NS = TimeUnit.SECONDS.toNanos(20);

    private DiscoverySlopes() {}

    static Map<String, Double> whole(int backends) throws Exception {
        Network outside = Network.sockets();
        Network network = Network.sockets();
        var trouble = new StringBuffer();
        try {
            byte[] list = ListService.list(backends, new InetSocketAddress(InetAddress.getLoopbackAddress(), 8_080));
            var service = new ListService(outside, list);
            long before = Heap.used();
            var host = new Pool.Host(
                    network,
                    new LoopTimers(network.loop()),
                    new Sockets(network.loop(), new StderrLog(), 1_024),
                    new Log() {
                        @Override
                        public void line(String text) {
                            trouble.append(text).append("; ");
                        }

                        @Override
                        public void failure(String what, Throwable cause) {
                            trouble.append(what).append(": ").append(cause).append("; ");
                        }
                    });
            var pool = new Pool(
                    host, Pool.Spec.http("slope", Workload.settings(1), service.address(), IDLE_US, CONNECT_US));
            long from = System.nanoTime();
            network.loop().execute(() -> pool.begin(null));
            while (!network.loop().submit(pool::ready).get()) {
                if (System.nanoTime() - from > MOST_WAIT_NS) {
                    throw new IllegalStateException("a list of " + list.length + " bytes was not taken: " + trouble);
                }
                TimeUnit.MILLISECONDS.sleep(1);
            }
            double ms = (System.nanoTime() - from) / 1e6;
            long kept = Heap.used() - before;
            network.loop().submit(pool::end).sync();
            return DecisionSlopes.figures(
                    "list_bytes",
                    list.length,
                    "list_bytes_each",
                    list.length / (double) backends,
                    "ms_until_ready",
                    ms,
                    "pool_bytes_each",
                    kept / (double) backends);
        } finally {
            network.loop()
                    .parent()
                    .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
                    .sync();
            outside.loop()
                    .parent()
                    .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
                    .sync();
        }
    }
}
