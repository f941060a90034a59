package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A listener of which each call of accept(2) is made when a test says so. */
@Timeout(30)
class ListeningSocketTest {
    private static final String GREETING = "hello";
    private static final int BACKLOG = 128;

    private final EventLoop loop = PolledEventLoop.forSockets();
    private final BlockingQueue<Runnable> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> mayHaveComeNs = new LinkedBlockingQueue<>();
    private ListeningSocket listener;

    @BeforeEach
    void listen() {
        listener = (ListeningSocket) new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new ListeningSocket(calls::add, BACKLOG))
                .childHandler(new Greeter())
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    @AfterEach
    void end() {
        calls.forEach(Runnable::run);
        loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** Sends a line to whoever connects, and back what comes. */
    private final class Greeter extends ChannelInboundHandlerAdapter {
        @Override
        public boolean isSharable() {
            return true;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            mayHaveComeNs.add(((SocketConnection) ctx.channel()).unreadSinceNs());
            ctx.writeAndFlush(Unpooled.copiedBuffer(GREETING, StandardCharsets.US_ASCII));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ctx.writeAndFlush(ReferenceCountUtil.retain(message));
            ReferenceCountUtil.release(message);
        }
    }

    private Socket connect() throws IOException {
        var socket = new Socket(
                InetAddress.getLoopbackAddress(), listener.localAddress().getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static String read(Socket socket, int bytes) throws IOException {
        return new String(socket.getInputStream().readNBytes(bytes), StandardCharsets.US_ASCII);
    }

    private boolean onLoop(Callable<Boolean> question) {
        return loop.submit(question).syncUninterruptibly().getNow();
    }

    @Test
    void acceptsAllThatWaitInOneTurn() throws Exception {
        try (Socket first = connect();
                Socket second = connect()) {
            calls.take().run();
            assertThat(read(first, GREETING.length())).isEqualTo(GREETING);
            assertThat(read(second, GREETING.length())).isEqualTo(GREETING);
            assertThat(calls).isEmpty();
        }
    }

    @Test
    void acceptsNoMoreThanThereIsRoomFor() throws Exception {
        loop.submit(() -> listener.room(() -> 1)).syncUninterruptibly();
        try (Socket first = connect();
                Socket second = connect()) {
            calls.take().run();
            assertThat(read(first, GREETING.length())).isEqualTo(GREETING);
            Runnable next = calls.take();
            assertThat(mayHaveComeNs).hasSize(1);
            next.run();
            assertThat(read(second, GREETING.length())).isEqualTo(GREETING);
        }
    }

    @Test
    void tellsWhenNobodyWaits() throws Exception {
        var told = new CountDownLatch(1);
        try (Socket waiting = connect()) {
            Runnable turn = calls.take();
            loop.submit(() -> listener.whenNobodyWaits(told::countDown)).syncUninterruptibly();
            assertThat(told.getCount()).isEqualTo(1);
            turn.run();
            assertThat(told.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(read(waiting, GREETING.length())).isEqualTo(GREETING);
        }
        var toldAgain = new CountDownLatch(1);
        loop.submit(() -> listener.whenNobodyWaits(toldAgain::countDown)).syncUninterruptibly();
        calls.take().run();
        assertThat(toldAgain.await(10, TimeUnit.SECONDS))
                .as("nobody had to come")
                .isTrue();
    }

    /** One call that does not return, and no second one beside it; whoever is connected is served meanwhile. */
    @Test
    void connectionsAreServedDuringACall() throws Exception {
        try (Socket there = connect()) {
            calls.take().run();
            read(there, GREETING.length());
            try (Socket waiting = connect()) {
                Runnable call = calls.take();
                assertThat(onLoop(listener::accepting)).isTrue();
                there.getOutputStream().write('x');
                assertThat(read(there, 1)).isEqualTo("x");
                assertThat(calls).isEmpty();
                call.run();
                assertThat(read(waiting, GREETING.length())).isEqualTo(GREETING);
                assertThat(onLoop(listener::accepting)).isFalse();
            }
        }
    }

    /** Each call is short, and whoever is accepted last has waited for all of them: its time counts from when nobody waited. */
    @Test
    void whoWaitsBehindOthersIsAsOldAsTheLastTimeThatNobodyWaited() throws Exception {
        loop.submit(() -> listener.room(() -> 1)).syncUninterruptibly();
        var waiting = new ArrayList<Socket>();
        long connectedNs = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            waiting.add(connect());
        }
        for (Socket socket : waiting) {
            Runnable turn = calls.take();
            TimeUnit.MILLISECONDS.sleep(5);
            turn.run();
            assertThat(read(socket, GREETING.length())).isEqualTo(GREETING);
        }
        assertThat(mayHaveComeNs).hasSize(waiting.size()).allMatch(ns -> ns <= connectedNs);
        for (Socket socket : waiting) {
            socket.close();
        }
    }

    /** The runtime's own close would wait for the call, and hold up the loop. */
    @Test
    void isClosedOnceACallHasEnded() throws Exception {
        try (Socket waiting = connect()) {
            Runnable call = calls.take();
            Channel closing = listener;
            closing.close().syncUninterruptibly();
            call.run();
            assertThat(waiting.getInputStream().read()).as("nobody serves it").isEqualTo(-1);
            assertThat(onLoop(closing::isOpen)).isFalse();
        }
    }

    /** Its owner pauses it where places are short, and goes on later. */
    @Test
    void goesOnWhenReadAgain() throws Exception {
        try (Socket waiting = connect()) {
            calls.take().run();
            assertThat(read(waiting, GREETING.length())).isEqualTo(GREETING);
        }
        // On the loop, as its owner does: from another thread it takes effect some time later.
        loop.submit(() -> listener.config().setAutoRead(false)).syncUninterruptibly();
        try (Socket later = connect()) {
            assertThat(calls.poll(50, TimeUnit.MILLISECONDS))
                    .as("nobody is accepted while reading rests")
                    .isNull();
            listener.config().setAutoRead(true);
            calls.take().run();
            assertThat(read(later, GREETING.length())).isEqualTo(GREETING);
        }
    }
}
