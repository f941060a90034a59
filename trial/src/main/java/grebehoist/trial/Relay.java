package grebehoist.trial;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The network between processes: for each directed pair a socket of its own on loopback. Member {@code a} knows {@code b} by the socket
 * (a, b); what comes there goes to b from the socket (b, a), which is where b knows a. What is lost, late, repeated or cut follows the
 * faults of the moment, drawn for each direction from the seed. A thread of its own runs it.
 */
final class Relay implements AutoCloseable {
    private static final int LONGEST = 2_048;
    private static final int MOST_WAITING = 200_000;
    private static final int BUFFER = 1 << 20;

    private record Link(int from, int to) {}

    private record Waiting(long atNs, long order, Link link, ByteBuffer bytes) implements Comparable<Waiting> {
        @Override
        public int compareTo(Waiting o) {
            return atNs != o.atNs ? Long.compare(atNs, o.atNs) : Long.compare(order, o.order);
        }
    }

    private final int members;
    private final Selector selector = Selector.open();
    private final DatagramChannel[][] sockets;
    private final SplittableRandom[][] random;
    private final InetSocketAddress[] real;
    private final List<Fault> faults = new CopyOnWriteArrayList<>();
    private final PriorityQueue<Waiting> late = new PriorityQueue<>();
    private final AtomicLong carried = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLong longest = new AtomicLong();
    private final Thread thread;
    private long order;
    private volatile boolean closed;

    /**
     * Opens all sockets.
     *
     * @param real where each process gets its datagrams
     */
    Relay(InetSocketAddress[] real, long seed) throws IOException {
        this.members = real.length;
        this.real = real.clone();
        this.sockets = new DatagramChannel[members][members];
        this.random = new SplittableRandom[members][members];
        for (int a = 0; a < members; a++) {
            for (int b = 0; b < members; b++) {
                if (a != b) {
                    DatagramChannel socket = DatagramChannel.open().setOption(StandardSocketOptions.SO_RCVBUF, BUFFER);
                    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                            .configureBlocking(false);
                    socket.register(selector, SelectionKey.OP_READ, new Link(a, b));
                    sockets[a][b] = socket;
                    random[a][b] = new SplittableRandom(seed ^ (long) a << 32 ^ b);
                }
            }
        }
        thread = new Thread(this::run, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns where a member sees another; its own address where it is itself. */
    InetSocketAddress address(int sees, int other) throws IOException {
        return sees == other ? real[sees] : (InetSocketAddress) sockets[sees][other].getLocalAddress();
    }

    void begin(Fault fault) {
        faults.add(fault);
    }

    void end(Fault fault) {
        faults.remove(fault);
    }

    /** Returns what it has carried, for people. */
    String traffic() {
        return carried + " datagrams carried, " + lost + " lost or cut, " + bytes + " bytes, the longest " + longest;
    }

    long longest() {
        return longest.get();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(LONGEST);
        try {
            while (!closed) {
                long now = System.nanoTime();
                while (!late.isEmpty() && late.peek().atNs() - now <= 0) {
                    Waiting next = late.poll();
                    pass(next.link(), next.bytes());
                }
                long waitMs = late.isEmpty()
                        ? 100
                        : Math.max(1, TimeUnit.NANOSECONDS.toMillis(late.peek().atNs() - now));
                selector.select(key -> read(key, buffer), Math.min(100, waitMs));
            }
        } catch (IOException e) {
            if (!closed) {
                throw new IllegalStateException("the relay fails", e);
            }
        }
    }

    private void read(SelectionKey key, ByteBuffer buffer) {
        Link link = (Link) key.attachment();
        try {
            for (SocketAddress from = receive(key, buffer); from != null; from = receive(key, buffer)) {
                buffer.flip();
                // Whoever else sends here is none of the members.
                if (from.equals(real[link.from()])) {
                    ByteBuffer copy =
                            ByteBuffer.allocate(buffer.remaining()).put(buffer).flip();
                    carry(link, copy);
                }
            }
        } catch (IOException e) {
            // A receiver that does not run: its port refuses, and the datagram is lost.
            lost.incrementAndGet();
        }
    }

    private static SocketAddress receive(SelectionKey key, ByteBuffer buffer) throws IOException {
        return ((DatagramChannel) key.channel()).receive(buffer.clear());
    }

    private void carry(Link link, ByteBuffer datagram) throws IOException {
        SplittableRandom draw = random[link.from()][link.to()];
        longest.accumulateAndGet(datagram.remaining(), Math::max);
        long[] delaysUs = Fault.delaysUs(faults, link.from(), link.to(), draw);
        if (delaysUs.length == 0) {
            lost.incrementAndGet();
        }
        for (long afterUs : delaysUs) {
            if (afterUs == 0) {
                pass(link, datagram.duplicate());
            } else if (late.size() < MOST_WAITING) {
                late.add(new Waiting(System.nanoTime() + 1_000 * afterUs, order++, link, datagram.duplicate()));
            }
        }
    }

    private void pass(Link link, ByteBuffer datagram) throws IOException {
        carried.incrementAndGet();
        bytes.addAndGet(datagram.remaining());
        sockets[link.to()][link.from()].send(datagram, real[link.to()]);
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
