package grebehoist.benchmarks.slopes;

import grebehoist.fleet.FleetNode;
import grebehoist.net.Network;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/** The bytes that the program logs as other members come and one of them dies: itself as a process, the others on sockets of this one. */
final class LogSlope implements AutoCloseable {
    private static final int HEAP_MB = 48;
    private static final long TICK_NS = 50_000_000;
    private static final long MOST_WAIT_NS = 60_000_000_000L;
    /** After the last line that is waited for, whatever follows it. */
    private static final long AFTER_NS = 3_000_000_000L;

    private static final int MOST_DATAGRAM = 512;

    private final Selector selector = Selector.open();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();
    private final List<DatagramChannel> channels = new ArrayList<>();
    private final List<FleetNode> nodes = new ArrayList<>();
    private final ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();
    private int silent = -1;

    private LogSlope(int members) throws IOException {
        addresses.add(free());
        nodes.add(null);
        channels.add(null);
        for (int i = 1; i < members; i++) {
            DatagramChannel channel = DatagramChannel.open();
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ, i);
            channels.add(channel);
            addresses.add((InetSocketAddress) channel.getLocalAddress());
            nodes.add(VirtualMembers.node(i, members, new SplittableRandom(i), this::send));
        }
        for (int i = 0; i < members; i++) {
            numbers.put(addresses.get(i), i);
        }
    }

    /** The program binds its own: an address that was free a moment ago. */
    private static InetSocketAddress free() throws IOException {
        try (DatagramChannel channel = DatagramChannel.open()) {
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            return (InetSocketAddress) channel.getLocalAddress();
        }
    }

    static Map<String, Double> log(Path jar, int members) throws Exception {
        // It wants something to serve, whose list it can have: nothing is logged of that.
        Network outside = Network.sockets();
        var service = new ListService(
                outside, ListService.list(1, new InetSocketAddress(InetAddress.getLoopbackAddress(), 8_080)));
        try (var play = new LogSlope(members);
                var program = new Program(
                        jar,
                        HEAP_MB,
                        Program.installation(1, service.address(), members) + play.membership(),
                        play.lines::add)) {
            return play.play(members, program);
        } finally {
            outside.loop()
                    .parent()
                    .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
                    .sync();
        }
    }

    private String membership() {
        return "[membership]\nlisten = \"" + text(addresses.get(0)) + "\"\nnumber = 0\nzone = \"zone-0\"\npeers = ["
                + addresses.stream().map(a -> '"' + text(a) + '"').collect(Collectors.joining(", "))
                + "]\n[[membership.key]]\nid = 1\nsecret = \""
                + HexFormat.of().formatHex(VirtualMembers.SECRET) + "\"\n";
    }

    private static String text(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    private Map<String, Double> play(int members, Program program) throws IOException {
        long now = micros();
        nodes.stream().skip(1).forEach(n -> n.start(now));
        run(() -> views("alive") >= members, "all members in the log");
        long[] start = sum();
        int last = members - 1;
        silent = last;
        run(() -> views("dead") >= 1, "the dead one in the log");
        long[] all = sum();
        long[] views = lines.stream()
                .filter(l -> l.contains("\"view\""))
                .mapToLong(String::length)
                .toArray();
        return DecisionSlopes.figures(
                "view_line_bytes",
                Arrays.stream(views).average().orElse(0) + 1,
                "start_lines",
                start[0],
                "start_bytes",
                start[1],
                "death_lines",
                all[0] - start[0],
                "death_bytes",
                all[1] - start[1],
                "cpu_ms",
                program.cpuMs());
    }

    private long[] sum() {
        return new long[] {
            lines.size(), lines.stream().mapToLong(l -> l.length() + 1L).sum()
        };
    }

    private long views(String state) {
        return lines.stream()
                .filter(l -> l.contains("\"view\"") && l.contains("\"state\":\"" + state + "\""))
                .map(l -> l.replaceAll(".*\"of\":\"([^\"]*)\".*", "$1"))
                .distinct()
                .count();
    }

    private void run(BooleanSupplier until, String what) throws IOException {
        long from = System.nanoTime();
        long end = Long.MAX_VALUE;
        long tickAt = from;
        while (System.nanoTime() < end) {
            if (end == Long.MAX_VALUE && until.getAsBoolean()) {
                end = System.nanoTime() + AFTER_NS;
            }
            if (end == Long.MAX_VALUE && System.nanoTime() - from > MOST_WAIT_NS) {
                throw new IllegalStateException("not seen: " + what + "; lines: "
                        + lines.stream().limit(5).toList());
            }
            selector.select(Math.max(1, (tickAt - System.nanoTime()) / 1_000_000));
            for (SelectionKey key : selector.selectedKeys()) {
                read((int) key.attachment());
            }
            selector.selectedKeys().clear();
            if (System.nanoTime() >= tickAt) {
                tickAt += TICK_NS;
                long now = micros();
                for (int i = 1; i < nodes.size(); i++) {
                    if (i != silent) {
                        nodes.get(i).tick(now);
                    }
                }
            }
        }
    }

    private void read(int number) throws IOException {
        var buffer = ByteBuffer.allocate(MOST_DATAGRAM);
        for (SocketAddress from = channels.get(number).receive(buffer);
                from != null;
                from = channels.get(number).receive(buffer)) {
            byte[] datagram = new byte[buffer.flip().remaining()];
            buffer.get(datagram).clear();
            if (number != silent) {
                nodes.get(number).received(micros(), numbers.getOrDefault(from, -1), datagram);
            }
        }
    }

    private void send(int from, int to, byte[] datagram) {
        try {
            channels.get(from).send(ByteBuffer.wrap(datagram), addresses.get(to));
        } catch (IOException e) {
            // A datagram that can't be sent is a lost one.
            lines.add("not sent: " + e);
        }
    }

    private static long micros() {
        return System.nanoTime() / 1_000;
    }

    @Override
    public void close() throws IOException {
        for (DatagramChannel channel : channels) {
            if (channel != null) {
                channel.close();
            }
        }
        selector.close();
    }
}
