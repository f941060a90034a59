package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a connection can be asked while its event loop is busy with something else: everything else waits in the kernel. */
@Timeout(30)
class SocketConnectionTest {
    private final Network network = Network.sockets();
    private final BlockingQueue<Channel> accepted = new LinkedBlockingQueue<>();
    private final StringBuilder read = new StringBuilder();
    private final CountDownLatch inactive = new CountDownLatch(1);
    private InetSocketAddress address;

    @BeforeEach
    void listen() {
        address = (InetSocketAddress) network.server()
                .clone()
                .childHandler(new Reader())
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    @AfterEach
    void end() {
        network.loop().parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private final class Reader extends ChannelInboundHandlerAdapter {
        @Override
        public boolean isSharable() {
            return true;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            accepted.add(ctx.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            read.append(((ByteBuf) message).toString(StandardCharsets.US_ASCII));
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            inactive.countDown();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private interface Step {
        void run() throws Exception;
    }

    private void onLoop(Step step) {
        network.loop()
                .submit(() -> {
                    step.run();
                    return null;
                })
                .syncUninterruptibly();
    }

    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), address.getPort());
    }

    /** Loopback hands over what is written, and an end, before the call returns. */
    private static void write(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void anEndIsSeenBeforeItIsRead() throws Exception {
        Socket client = connect();
        Channel channel = accepted.take();
        onLoop(() -> {
            assertThat(SocketPeek.hasEnded(channel)).isFalse();
            assertThat(SocketPeek.hasUnread(channel)).isFalse();
            client.close();
            assertThat(SocketPeek.hasEnded(channel)).isTrue();
            assertThat(channel.isOpen())
                    .as("its handlers hear of it in their turn")
                    .isTrue();
        });
        assertThat(inactive.await(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void anEndIsSeenBehindWhatIsUnreadAndNothingIsLost() throws Exception {
        Socket client = connect();
        Channel channel = accepted.take();
        String much = "x".repeat(60_000);
        onLoop(() -> {
            write(client, "first ");
            assertThat(SocketPeek.hasEnded(channel)).isFalse();
            assertThat(SocketPeek.hasUnread(channel)).isTrue();
            write(client, much);
            client.close();
            assertThat(SocketPeek.hasEnded(channel)).isTrue();
        });
        assertThat(inactive.await(10, TimeUnit.SECONDS)).isTrue();
        onLoop(() -> assertThat(read.toString()).isEqualTo("first " + much));
    }

    /** What is ahead of an end is bounded: where it is more, the end is not known, and nothing of it is lost. */
    @Test
    void anEndBehindMoreThanIsReadAheadIsUnknown() throws Exception {
        int length = 1_000_000;
        var client = SocketChannel.open(address);
        var channel = (SocketConnection) accepted.take();
        var written = new int[1];
        onLoop(() -> {
            written[0] = writeAtOnce(client, length);
            client.close();
            assertThat(written[0]).isGreaterThan(300_000);
            assertThat(SocketPeek.peerState(channel)).isEqualTo(PeerState.UNKNOWN);
            assertThat(SocketPeek.hasEnded(channel)).isFalse();
        });
        assertThat(inactive.await(10, TimeUnit.SECONDS)).isTrue();
        onLoop(() -> assertThat(read.length()).isEqualTo(written[0]));
    }

    /** Guards against review case 4: behind what was of no use any more an end was not seen, and requests were sent on. */
    @Test
    void anEndIsSeenBehindAnyLengthThatIsDropped() throws Exception {
        var client = SocketChannel.open(address);
        var channel = (SocketConnection) accepted.take();
        onLoop(() -> {
            SocketPeek.dropUnread(channel);
            writeAtOnce(client, 1_000_000);
            assertThat(SocketPeek.peerState(channel))
                    .as("more may be on its way")
                    .isEqualTo(PeerState.UNKNOWN);
            writeAtOnce(client, 1_000_000);
            client.close();
            PeerState state = PeerState.UNKNOWN;
            while (state != PeerState.ENDED) {
                state = SocketPeek.peerState(channel);
            }
        });
        assertThat(inactive.await(10, TimeUnit.SECONDS)).isTrue();
        onLoop(() -> assertThat(read).isEmpty());
    }

    /** Writes what the kernel takes at once, up to a length; returns how much that was. */
    private static int writeAtOnce(SocketChannel client, int length) throws IOException {
        client.configureBlocking(false);
        var bytes = ByteBuffer.allocate(length);
        while (client.write(bytes) > 0) {
            // There may be room for more.
        }
        return bytes.position();
    }

    @Test
    void aResetIsAnEnd() throws Exception {
        Socket client = connect();
        Channel channel = accepted.take();
        onLoop(() -> {
            client.setSoLinger(true, 0);
            client.close();
            assertThat(SocketPeek.hasEnded(channel)).isTrue();
        });
        assertThat(inactive.await(10, TimeUnit.SECONDS)).isTrue();
    }

    /** A connection whose handlers read nothing for now is closed all the same once its end is known. */
    @Test
    void anEndIsSeenWhileReadingRests() throws Exception {
        Socket client = connect();
        Channel channel = accepted.take();
        onLoop(() -> channel.config().setAutoRead(false));
        write(client, "unread");
        client.close();
        onLoop(() -> assertThat(SocketPeek.hasEnded(channel)).isTrue());
        assertThat(inactive.await(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void whatWasReadAheadComesOnceReadingGoesOn() throws Exception {
        try (Socket client = connect()) {
            Channel channel = accepted.take();
            onLoop(() -> channel.config().setAutoRead(false));
            write(client, "early");
            onLoop(() -> {
                assertThat(SocketPeek.hasUnread(channel)).isTrue();
                assertThat(SocketPeek.hasEnded(channel)).isFalse();
            });
            onLoop(() -> {
                assertThat(read).isEmpty();
                channel.config().setAutoRead(true);
            });
            while (read.length() < "early".length()) {
                onLoop(() -> {});
            }
            onLoop(() -> assertThat(read.toString()).isEqualTo("early"));
        }
    }

    /** The loop is held up in many short steps, none of them long: bytes are as old as they can be all the same. */
    @Test
    void bytesAreAsOldAsThePollThatDidNotNameThem() throws Exception {
        try (Socket client = connect()) {
            var channel = (SocketConnection) accepted.take();
            onLoop(() -> {});
            long[] writtenNs = new long[1];
            onLoop(() -> {
                writtenNs[0] = System.nanoTime();
                write(client, "late");
                for (int i = 0; i < 10; i++) {
                    TimeUnit.MILLISECONDS.sleep(10);
                }
            });
            while (read.isEmpty()) {
                onLoop(() -> {});
            }
            onLoop(() -> assertThat(channel.arrivedNs()).isLessThanOrEqualTo(writtenNs[0]));
        }
    }
}
