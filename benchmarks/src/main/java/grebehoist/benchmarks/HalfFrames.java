package grebehoist.benchmarks;

import grebehoist.engine.Log;
import grebehoist.net.Front;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import grebehoist.net.StderrLog;
import grebehoist.pool.Pool;
import grebehoist.thrift.ThriftMethod;
import grebehoist.thrift.ThriftOptions;
import io.netty.buffer.PooledByteBufAllocator;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Thousands of clients that each send half a frame and say no more: what they cost the proxy in memory, and after how long
 * each of them is cut off.
 */
final class HalfFrames {
    private static final int MAX_FRAME = 64 * 1024;
    private static final long BOUND = 16 << 20;

    private HalfFrames() {}

    static void main(String[] args) throws Exception {
        int number = args.length > 1 && args[0].equals("--connections") ? Integer.parseInt(args[1]) : 5_000;
        System.out.println("connections  bytes each  heap MB  buffers MB  first end after ms  last end after ms");
        for (int bytes : new int[] {20, 2_000, MAX_FRAME / 2}) {
            measure(Math.min(number, 200), bytes, false);
            measure(number, bytes, true);
        }
        System.exit(0);
    }

    private static void measure(int number, int bytes, boolean told) throws Exception {
        Network network = Network.sockets();
        var host = new Pool.Host(
                network,
                new LoopTimers(network.loop()),
                new Sockets(network.loop(), new StderrLog(), 4 * number),
                new Log() {
                    @Override
                    public void line(String text) {}

                    @Override
                    public void failure(String what, Throwable cause) {
                        cause.printStackTrace();
                    }
                });
        var pool = new Pool(
                host,
                new Pool.Spec(
                        "half",
                        Pool.Protocol.THRIFT,
                        Workload.settings(1),
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                        15_000_000,
                        200_000,
                        MAX_FRAME));
        var options = new ThriftOptions(
                List.of(new ThriftMethod(
                        "read", "read", new ThriftMethod.Fixed("large"), null, null, null, null, null, null)),
                false,
                MAX_FRAME,
                false,
                64,
                1 << 20,
                BOUND,
                BOUND,
                60_000_000);
        Front front =
                network.loop().submit(() -> pool.thriftFront(options, "h")).get();
        var address = (InetSocketAddress) network.loop()
                .submit(() -> front.listen(network, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
                .get()
                .sync()
                .channel()
                .localAddress();
        long heapBefore = heap();
        long buffersBefore = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory() + direct();
        var half = ByteBuffer.allocate(bytes).putInt(0, MAX_FRAME - 1).putInt(4, 0x80010001);
        List<SocketChannel> clients = new ArrayList<>();
        List<Long> sentAt = new ArrayList<>();
        long most = 0;
        for (int i = 0; i < number; i++) {
            SocketChannel client = SocketChannel.open(address);
            sentAt.add(System.nanoTime());
            client.write(half.duplicate());
            client.configureBlocking(false);
            clients.add(client);
            most = i % 100 == 0
                    ? Math.max(most, PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory() + direct())
                    : most;
        }
        network.loop().submit(() -> {}).sync();
        most = Math.max(most, PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory() + direct());
        long heapAfter = heap();
        long first = Long.MAX_VALUE;
        long last = 0;
        var left = new ArrayList<Integer>();
        for (int i = 0; i < number; i++) {
            left.add(i);
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!left.isEmpty() && System.nanoTime() < until) {
            for (var it = left.iterator(); it.hasNext(); ) {
                int i = it.next();
                if (ended(clients.get(i))) {
                    long after = (System.nanoTime() - sentAt.get(i)) / 1_000_000;
                    first = Math.min(first, after);
                    last = Math.max(last, after);
                    it.remove();
                }
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
        for (SocketChannel client : clients) {
            client.close();
        }
        if (told) {
            System.out.printf(
                    "%11d %11d %8.1f %11.1f %19d %18d%s%n",
                    number,
                    bytes,
                    (heapAfter - heapBefore) / 1e6,
                    (most - buffersBefore) / 1e6,
                    first,
                    last,
                    left.isEmpty() ? "" : "  " + left.size() + " never ended");
        }
        network.loop().parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }

    private static boolean ended(SocketChannel client) {
        try {
            return client.read(ByteBuffer.allocate(64)) < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** What is in use once all that is garbage has gone. */
    private static long heap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static long direct() {
        return ManagementFactory.getPlatformMXBeans(java.lang.management.BufferPoolMXBean.class).stream()
                .filter(b -> b.getName().equals("direct"))
                .mapToLong(java.lang.management.BufferPoolMXBean::getMemoryUsed)
                .sum();
    }
}
