package grebehoist.trial.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The network between the program's processes, control machines and proxies: for each directed pair with a machine in it a socket of its own,
 * by which datagrams are lost or cut. What hollow proxies lose they lose themselves. A thread of its own runs it.
 */
final class MachineRelay implements AutoCloseable {
    private static final int LONGEST = 2_048;

    private record Link(int from, int to) {}

    private final InetSocketAddress[] real;
    private final int[] zones;
    private final DatagramChannel[][] sockets;
    private final Selector selector = Selector.open();
    private final SplittableRandom random;
    private final AtomicLong bytes = new AtomicLong();
    private final Thread thread;
    private volatile double loss;
    private volatile int cutRegion = -1;
    private volatile boolean closed;

    /**
     * Opens all sockets.
     *
     * @param real where each process gets its datagrams, the machines first
     * @param zones where each is
     * @param machines how many of them are machines
     */
    MachineRelay(InetSocketAddress[] real, int[] zones, int machines, long seed) throws IOException {
        this.real = real.clone();
        this.zones = zones.clone();
        this.random = new SplittableRandom(seed);
        int n = real.length;
        sockets = new DatagramChannel[n][n];
        for (int a = 0; a < n; a++) {
            for (int b = 0; b < n; b++) {
                if (a != b && (a < machines || b < machines)) {
                    DatagramChannel socket = DatagramChannel.open();
                    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                            .configureBlocking(false);
                    socket.register(selector, SelectionKey.OP_READ, new Link(a, b));
                    sockets[a][b] = socket;
                }
            }
        }
        thread = new Thread(this::run, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns where one sees another; its own address where it is itself. */
    InetSocketAddress address(int sees, int other) throws IOException {
        return sees == other ? real[sees] : (InetSocketAddress) sockets[sees][other].getLocalAddress();
    }

    void loss(double rate) {
        loss = rate;
    }

    /** Cuts a region off from the others, both ways; -1 for none. */
    void cut(int region) {
        cutRegion = region;
    }

    /** Returns what it has carried. */
    long bytes() {
        return bytes.get();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocateDirect(LONGEST);
        try {
            while (!closed) {
                selector.select(key -> read(key, buffer), 100);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the relay fails", e);
        }
    }

    private void read(SelectionKey key, ByteBuffer buffer) {
        Link link = (Link) key.attachment();
        try {
            for (SocketAddress from = ((DatagramChannel) key.channel()).receive(buffer.clear());
                    from != null;
                    from = ((DatagramChannel) key.channel()).receive(buffer.clear())) {
                // Whoever else sends here is none of the machines.
                if (from.equals(real[link.from()]) && passes(link)) {
                    bytes.addAndGet(buffer.flip().remaining());
                    sockets[link.to()][link.from()].send(buffer, real[link.to()]);
                }
            }
        } catch (IOException e) {
            // A receiver that does not run: its port refuses, and the datagram is lost.
            return;
        }
    }

    private boolean passes(Link link) {
        if (loss > 0 && random.nextDouble() < loss) {
            return false;
        }
        int region = cutRegion;
        return region < 0 || Plan.region(zones[link.from()]) == region == (Plan.region(zones[link.to()]) == region);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(2_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (DatagramChannel[] row : sockets) {
            for (DatagramChannel socket : row) {
                if (socket != null) {
                    socket.close();
                }
            }
        }
        selector.close();
    }
}
