package grebehoist.trial.scale;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.fleet.distribution.DistributionChange;
import grebehoist.fleet.distribution.DistributionNode;
import grebehoist.fleet.distribution.Item;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One hollow proxy: the state machine of a proxy's part of the distribution, a socket of its own, and what is counted of it. Used by its
 * loop's thread.
 */
final class HollowProxy implements DistributionNode.Output {
    /** What it needs of its process. */
    interface Ground {
        DistributionNode node(int proxy, List<String> scopes, DistributionNode.Output out);

        InetSocketAddress machine(int number);

        /** Returns the number of the machine that has this address, or -1. */
        int machine(InetSocketAddress address);

        /** Returns whether a datagram gets through, by the faults of the moment. */
        boolean passes(int proxy, int machine, boolean toMachine);

        void tell(ObjectNode line);
    }

    private final int proxy;
    private final Ground ground;
    private final List<Integer> scopes;
    private final List<String> names;
    private final Map<String, Long> versions = new HashMap<>();
    private final RateWindow in = new RateWindow();
    private final RateWindow out = new RateWindow();
    private final RateWindow both = new RateWindow();
    private DatagramChannel socket;
    private DistributionNode node;
    private long now;
    /** What it is to have before it counts as filled; null once it does. */
    private long[] wanted;

    private int lacking;
    private long startedUs;
    private long filledUs;
    private long fillBytes;
    private long measuredFromUs;
    private long bytesIn;
    private long bytesOut;
    private long datagramsIn;
    private long datagramsOut;

    HollowProxy(int proxy, Plan plan, Ground ground) {
        this.proxy = proxy;
        this.ground = ground;
        this.scopes = plan.scopesOf(proxy);
        List<String> all = plan.scopes();
        this.names = scopes.stream().map(all::get).toList();
    }

    /**
     * Begins from nothing.
     *
     * @param atLeast versions of all scopes that it is to have to count as filled
     */
    void start(long nowUs, Selector selector, long[] atLeast) throws IOException {
        end();
        socket = DatagramChannel.open();
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).configureBlocking(false);
        socket.register(selector, SelectionKey.OP_READ, this);
        now = nowUs;
        startedUs = nowUs;
        versions.clear();
        fillBytes = 0;
        wanted = scopes.stream().mapToLong(s -> atLeast[s]).toArray();
        lacking = (int) Arrays.stream(wanted).filter(v -> v > 0).count();
        node = ground.node(proxy, names, this);
        node.start(nowUs);
    }

    /** Is killed: what it held is lost. */
    void end() throws IOException {
        if (socket != null) {
            socket.close();
            socket = null;
            node = null;
        }
    }

    boolean runs() {
        return node != null;
    }

    void tick(long nowUs) {
        now = nowUs;
        node.tick(nowUs);
    }

    /** Reads what has come. */
    void read(long nowUs, ByteBuffer buffer) {
        now = nowUs;
        try {
            for (var from = socket.receive(buffer.clear());
                    from != null;
                    from = socket == null ? null : socket.receive(buffer.clear())) {
                int machine = ground.machine((InetSocketAddress) from);
                if (machine >= 0 && ground.passes(proxy, machine, false)) {
                    byte[] datagram = new byte[buffer.flip().remaining()];
                    buffer.get(datagram);
                    datagramsIn++;
                    bytesIn += datagram.length;
                    count(in, datagram.length);
                    node.received(nowUs, machine, datagram);
                }
            }
        } catch (IOException e) {
            // A machine that does not run: its port refuses, as good as a lost datagram.
            return;
        }
    }

    @Override
    public void send(int to, byte[] datagram) {
        datagramsOut++;
        bytesOut += datagram.length;
        count(out, datagram.length);
        if (ground.passes(proxy, to, true)) {
            try {
                socket.send(ByteBuffer.wrap(datagram), ground.machine(to));
            } catch (IOException e) {
                // Lost: the buffer is full, or an earlier one was refused.
                return;
            }
        }
    }

    private void count(RateWindow one, int bytes) {
        if (wanted != null) {
            fillBytes += bytes;
        } else {
            one.add(now, bytes);
            both.add(now, bytes);
        }
    }

    @Override
    public void changed(DistributionChange change) {
        if (!(change instanceof DistributionChange.InForce inForce)) {
            return;
        }
        long before = versions.getOrDefault(inForce.scope(), 0L);
        versions.put(inForce.scope(), inForce.version());
        if (wanted == null) {
            ground.tell(line("in_force").put("scope", inForce.scope()).put("version", inForce.version()));
            return;
        }
        int at = names.indexOf(inForce.scope());
        if (at >= 0 && before < wanted[at] && inForce.version() >= wanted[at] && --lacking == 0) {
            filled();
        }
    }

    private void filled() {
        filledUs = now;
        ground.tell(line("filled")
                .put("started_us", startedUs)
                .put("for_us", now - startedUs)
                .put("bytes", fillBytes));
        long[] told = wanted;
        wanted = null;
        for (int i = 0; i < told.length; i++) {
            long version = versions.getOrDefault(names.get(i), 0L);
            if (version > told[i]) {
                ground.tell(line("in_force").put("scope", names.get(i)).put("version", version));
            }
        }
    }

    private ObjectNode line(String what) {
        // The time of the clock, not that of the event: what it took to get here counts.
        return Wire.line(Wire.now(), "p" + proxy, what).put("who", "p" + proxy);
    }

    /** Counts from now on. */
    void measure(long nowUs) {
        measuredFromUs = nowUs;
        bytesIn = 0;
        bytesOut = 0;
        datagramsIn = 0;
        datagramsOut = 0;
        in.reset();
        out.reset();
        both.reset();
    }

    /** Returns its figures and what it has in force: for each scope its version and the digest of its contents. */
    ObjectNode figures(long nowUs) {
        ObjectNode line = line("figures")
                .put("for_us", nowUs - measuredFromUs)
                .put("filled", wanted == null && node != null)
                .put("bytes_in", bytesIn)
                .put("bytes_out", bytesOut)
                .put("datagrams_in", datagramsIn)
                .put("datagrams_out", datagramsOut)
                .put("window_in", in.greatest())
                .put("window_out", out.greatest())
                .put("window", both.greatest())
                .put("fill_us", filledUs - startedUs)
                .put("fill_bytes", fillBytes);
        if (node != null) {
            node.refused()
                    .forEach((why, n) ->
                            line.withObject("/refused").put(why.name().toLowerCase(Locale.ROOT), n));
            line.put("unreadable", node.unreadable());
            for (int i = 0; i < names.size(); i++) {
                long digest = 0;
                for (Item item : node.subscriber().items(names.get(i))) {
                    digest += Contents.digest(item.kind(), item.key(), item.value());
                }
                ArrayNode one = line.withArray("has").addArray();
                one.add(scopes.get(i))
                        .add(versions.getOrDefault(names.get(i), 0L))
                        .add(digest);
            }
        }
        return line;
    }
}
