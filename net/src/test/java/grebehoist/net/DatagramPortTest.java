package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.engine.Log;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Real sockets of the loopback interface. */
@Timeout(30)
class DatagramPortTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final Log log = new Log() {
        @Override
        public void line(String text) {
            lines.add(text);
        }

        @Override
        public void failure(String what, Throwable cause) {
            lines.add(what + ": " + cause);
        }
    };

    /** Keeps what it hears. */
    private static final class Heard implements DatagramPort.Listener {
        private final BlockingQueue<InetSocketAddress> bound = new LinkedBlockingQueue<>();
        private final BlockingQueue<byte[]> came = new LinkedBlockingQueue<>();
        private final BlockingQueue<InetSocketAddress> from = new LinkedBlockingQueue<>();

        @Override
        public void bound(InetSocketAddress at) {
            bound.add(at);
        }

        @Override
        public void received(InetSocketAddress sender, byte[] datagram) {
            from.add(sender);
            came.add(datagram);
        }
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(10, TimeUnit.SECONDS);
        assertThat(next).as("something comes").isNotNull();
        return next;
    }

    private DatagramPort open(InetSocketAddress at, Heard heard) {
        var port = new DatagramPort(loop, "test", at, heard, log);
        port.begin();
        return port;
    }

    private void send(DatagramPort by, InetSocketAddress to, byte[] datagram) {
        loop.submit(() -> by.send(to, datagram)).syncUninterruptibly();
    }

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    void whatOneSendsTheOtherHears() throws Exception {
        var one = new Heard();
        var other = new Heard();
        DatagramPort first = open(ANY, one);
        DatagramPort second = open(ANY, other);
        InetSocketAddress a = next(one.bound);
        InetSocketAddress b = next(other.bound);
        send(first, b, new byte[] {1, 2, 3});
        assertThat(next(other.came)).containsExactly(1, 2, 3);
        assertThat(next(other.from)).isEqualTo(a);
        send(second, a, new byte[0]);
        assertThat(next(one.came)).isEmpty();
        assertThat(next(one.from)).isEqualTo(b);
        assertThat(lines).isEmpty();
    }

    /** Whoever reads is to see that it is too long: never more than so much is kept of it. */
    @Test
    void aLongOneIsCutOff() throws Exception {
        var heard = new Heard();
        open(ANY, heard);
        InetSocketAddress at = next(heard.bound);
        try (var socket = new DatagramSocket(ANY)) {
            socket.send(new java.net.DatagramPacket(new byte[20_000], 20_000, at));
            socket.send(new java.net.DatagramPacket(new byte[] {7}, 1, at));
        }
        assertThat(next(heard.came)).hasSize(DatagramPort.MOST_BYTES);
        assertThat(next(heard.came)).containsExactly(7);
    }

    @Test
    void anAddressThatIsTakenIsTriedAgain() throws Exception {
        var heard = new Heard();
        DatagramPort port;
        InetSocketAddress at;
        try (var socket = new DatagramSocket(ANY)) {
            at = (InetSocketAddress) socket.getLocalSocketAddress();
            port = open(at, heard);
            assertThat(next(lines))
                    .contains("test")
                    .contains(Integer.toString(at.getPort()))
                    .contains("tried again");
            send(port, at, new byte[1]);
            assertThat(loop.submit(port::unsent).get()).isEqualTo(1);
            assertThat(loop.submit(port::waits).get()).isTrue();
            // Two more tries at least, of which nothing is said.
            loop.schedule(() -> {}, 600, TimeUnit.MILLISECONDS).sync();
        }
        assertThat(next(heard.bound)).isEqualTo(at);
        assertThat(loop.submit(port::waits).get()).isFalse();
        assertThat(lines).isEmpty();
        send(port, at, new byte[] {9});
        assertThat(next(heard.came)).containsExactly(9);
    }

    /** One loop for as many as a hundred machines: each hears what is sent to it and nothing else. */
    @Test
    void aHundredShareALoop() throws Exception {
        List<Heard> all = new ArrayList<>();
        List<DatagramPort> ports = new ArrayList<>();
        List<InetSocketAddress> at = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            all.add(new Heard());
            ports.add(open(ANY, all.get(i)));
            at.add(next(all.get(i).bound));
        }
        for (int i = 0; i < 100; i++) {
            send(ports.get(i), at.get((i + 1) % 100), new byte[] {(byte) i});
        }
        for (int i = 0; i < 100; i++) {
            assertThat(next(all.get((i + 1) % 100).came)).containsExactly((byte) i);
            assertThat(all.get((i + 1) % 100).came).isEmpty();
        }
    }

    @Test
    void aClosedOneGivesItsAddressBackAndHearsNothing() throws Exception {
        var heard = new Heard();
        DatagramPort port = open(ANY, heard);
        InetSocketAddress at = next(heard.bound);
        port.close();
        // The kernel has it back a moment later, with the selector's next round: the next one waits for that.
        var next = new Heard();
        DatagramPort second = open(at, next);
        assertThat(next(next.bound)).isEqualTo(at);
        send(second, at, new byte[] {5});
        assertThat(next(next.came)).containsExactly(5);
        assertThat(heard.came).isEmpty();
        send(port, at, new byte[1]);
        assertThat(loop.submit(port::unsent).get()).isEqualTo(1);
        var never = new DatagramPort(loop, "test", at, heard, log);
        never.close();
        never.begin();
        loop.submit(() -> {}).sync();
        assertThat(heard.bound).isEmpty();
    }
}
