package grebehoist.net;

import grebehoist.engine.Log;
import io.netty.bootstrap.AbstractBootstrap;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.SocketAddress;

/**
 * Connects and binds so that the outcome is always told on the owner's event loop. Where no socket can be had (EMFILE, ENFILE, ENOBUFS,
 * ENOMEM), Netty's bootstrap returns a future of a channel that was never registered: its listeners run on Netty's global executor,
 * and closing its channel throws. All connects and binds of the program go through here, which {@code LayersTest} holds.
 */
public final class LoopChannels {
    private LoopChannels() {}

    /** Connects to an address. */
    public static ChannelFuture connect(Bootstrap bootstrap, SocketAddress remote) {
        return toldOnLoop(bootstrap.connect(remote), loopOf(bootstrap));
    }

    /** Connects to the address that the bootstrap holds. */
    public static ChannelFuture connect(Bootstrap bootstrap) {
        return toldOnLoop(bootstrap.connect(), loopOf(bootstrap));
    }

    /** Binds to an address. */
    public static ChannelFuture bind(AbstractBootstrap<?, ?> bootstrap, SocketAddress local) {
        return toldOnLoop(bootstrap.bind(local), loopOf(bootstrap));
    }

    /** Returns the handler of a listener that goes on accepting where accept(2) fails for a moment, and that nobody else pauses. */
    public static ChannelHandler keepAccepting(Log log) {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel listener) {
                listener.pipeline().addLast(new AcceptRetry(log, new AlwaysAccepting(listener)));
            }
        };
    }

    /** Of a listener whose clients' time is not counted. */
    private record AlwaysAccepting(Channel listener) implements AcceptRetry.Owner {
        @Override
        public void resume() {
            listener.config().setAutoRead(true);
        }
    }

    /** Closes the channel of a connect or bind, whatever has become of it. */
    public static void close(ChannelFuture connecting) {
        Channel channel = connecting.channel();
        if (channel.isRegistered()) {
            channel.close();
        }
    }

    /**
     * Closes a connection by a reset, so that the kernel drops what it has yet to send; in order where the system refuses that. The
     * runtime resets a channel only as its loop polls again, so its sending is ended first, which takes effect at once.
     */
    public static void reset(Channel channel) {
        try {
            if (channel instanceof SocketChannel socket && channel.isOpen()) {
                socket.config().setSoLinger(0);
                socket.shutdownOutput();
            }
        } catch (ChannelException e) {
            // setsockopt(2) fails where the socket has just been closed, or as the system is short of memory.
        } finally {
            channel.close();
        }
    }

    private static EventLoop loopOf(AbstractBootstrap<?, ?> bootstrap) {
        // Each bootstrap of the program is given one loop as its group.
        return (EventLoop) bootstrap.config().group();
    }

    private static ChannelFuture toldOnLoop(ChannelFuture outcome, EventLoop loop) {
        var told = new DefaultChannelPromise(outcome.channel(), loop);
        outcome.addListener(f -> {
            if (loop.inEventLoop()) {
                pass(outcome, told);
            } else {
                loop.execute(() -> pass(outcome, told));
            }
        });
        return told;
    }

    private static void pass(ChannelFuture outcome, DefaultChannelPromise told) {
        if (outcome.isSuccess()) {
            told.trySuccess();
        } else {
            told.tryFailure(outcome.cause());
        }
    }
}
