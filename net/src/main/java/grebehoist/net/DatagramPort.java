package grebehoist.net;

import grebehoist.engine.Log;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * A UDP socket on an event loop, for datagrams of a few hundred bytes. Where its address is taken, as by the process that this one is to
 * follow, it is tried again until it is free, which is told once. Hundreds may share a loop, each with a buffer of {@value #MOST_BYTES}
 * bytes while it reads. All of it belongs to the loop's thread, but for the constructor, {@link #begin} and {@link #close}.
 */
public final class DatagramPort {
    /** What is longer is cut off here, which is more than any datagram that counts, so that whoever reads sees that it is too long. */
    public static final int MOST_BYTES = 512;

    private static final long AGAIN_MS = 250;

    /** Hears what comes, on the loop's thread. */
    public interface Listener {
        /** The socket is there, at this address: sent to it before, nothing has come. */
        default void bound(InetSocketAddress at) {}

        /** A datagram has come. */
        void received(InetSocketAddress from, byte[] datagram);
    }

    private final EventLoop loop;
    private final String name;
    private final InetSocketAddress wanted;
    private final Listener listener;
    private final Log log;
    private Channel channel;
    private volatile boolean closed;
    private boolean complained;
    private long unsent;

    /**
     * Makes one that is yet to begin.
     *
     * @param loop serves it; one of sockets
     * @param name what log lines call it
     * @param at where it is to be; port 0 for any that is free
     */
    public DatagramPort(EventLoop loop, String name, InetSocketAddress at, Listener listener, Log log) {
        this.loop = loop;
        this.name = name;
        this.wanted = at;
        this.listener = listener;
        this.log = log;
    }

    /** Begins to listen, at once or as soon as the address is free. */
    public void begin() {
        loop.execute(this::bind);
    }

    private void bind() {
        if (closed) {
            return;
        }
        ChannelFuture bound = LoopChannels.bind(
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MOST_BYTES))
                        .handler(new Receiver()),
                wanted);
        bound.addListener(f -> {
            if (!bound.isSuccess()) {
                complain(bound.cause());
                LoopTasks.after(loop, log, AGAIN_MS, TimeUnit.MILLISECONDS, this::bind);
            } else if (closed) {
                bound.channel().close();
            } else {
                channel = bound.channel();
                listener.bound((InetSocketAddress) channel.localAddress());
            }
        });
    }

    private void complain(Throwable cause) {
        if (!complained) {
            complained = true;
            log.line(name + ": " + wanted + " can't be had (another process as the same member?); it is tried again: "
                    + cause.getMessage());
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (!closed) {
                listener.received(packet.sender(), ByteBufUtil.getBytes(packet.content()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.failure(name + ": a datagram failed", cause);
        }
    }

    /** Sends a datagram, which may be lost like any other: also while the address is not to be had, or the kernel has no room. */
    public void send(InetSocketAddress to, byte[] datagram) {
        if (channel == null || closed) {
            unsent++;
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to))
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        unsent++;
                    }
                });
    }

    /** Returns whether it waits for its address, which somebody else has. */
    public boolean waits() {
        return complained && channel == null;
    }

    /** Returns how many datagrams could not be given to the kernel. */
    public long unsent() {
        return unsent;
    }

    /** Listens and sends no more; nothing is heard from then on. */
    public void close() {
        closed = true;
        loop.execute(() -> {
            if (channel != null) {
                channel.close();
            }
        });
    }
}
