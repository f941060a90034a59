package grebehoist.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.util.UUID;
import java.util.function.Function;

/**
 * What connections are made of, and the one thread that they are served by: sockets, or, for a warm-up or a test, Netty's
 * channels inside the process. The bootstraps are templates, to be cloned.
 */
public record Network(
        EventLoop loop,
        ServerBootstrap server,
        Bootstrap client,
        Function<InetSocketAddress, SocketAddress> addresses) {
    private static final String MACHINE_ID = "io.netty.machineId";
    private static final String COUNTS_DIRECT_MEMORY = "io.netty.tryReflectionSetAccessible";

    static {
        // Netty would look for a hardware address first, in vain on most machines, and say so: it only tells channels
        // of one process
        // from another's.
        if (System.getProperty(MACHINE_ID) == null) {
            System.setProperty(MACHINE_ID, "02:00:00:00:00:01");
        }
        // Netty then counts direct memory itself, and what goes beyond it fails at once: the runtime's own way is to
        // collect garbage and sleep for half a second, on the loop's thread. Takes effect where java.nio is open to it,
        // as the manifest says.
        if (System.getProperty(COUNTS_DIRECT_MEMORY) == null) {
            System.setProperty(COUNTS_DIRECT_MEMORY, "true");
        }
    }

    private static final int BACKLOG = 1_024;
    /**
     * How much the kernel holds of what a client has yet to take, in bytes; Linux counts twice as much for its own needs. Left to
     * itself it holds up to 4 MB, and says that there is room again when a third of that is free: a client that reads 64 kB a second
     * would seem to take nothing for 20 s.
     */
    public static final int UNSENT = 256 * 1024;
    /**
     * How much the kernel holds of what clients have sent and nobody has read. A request's time counts from its last byte, which may
     * wait there while a backend takes no more of a long body; and the less fits in, the less of the body is still to go when it comes.
     */
    public static final int UNREAD = 64 * 1024;
    /** Where the kernel holds so much that nobody has read, its sender may have been kept from sending more. */
    public static final int FULL = UNREAD / 4;
    /** The most that one read takes, and the most that waits in the program for one connection before its source rests, in bytes. */
    private static final int PIECE = 32 * 1024;
    /** What one read has room for at least, in bytes: a read that is put off counts as one that brought nothing. */
    private static final int LEAST_READ = 2 * 1024;

    /** Returns the sockets of this machine, with an event loop of their own. */
    public static Network sockets() {
        return sockets(false);
    }

    /**
     * Returns the sockets of this machine, with an event loop of their own.
     *
     * @param shared whether another process may listen at the same addresses (SO_REUSEPORT): by mistake, too, and unnoticed
     */
    public static Network sockets(boolean shared) {
        EventLoop loop = PolledEventLoop.forSockets();
        var acceptWorker = new AcceptWorker(loop);
        ServerBootstrap server = new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new ListeningSocket(acceptWorker, BACKLOG))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.SO_SNDBUF, UNSENT)
                .childOption(ChannelOption.SO_RCVBUF, UNREAD)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, pieces())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, marks());
        if (shared) {
            server.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        return new Network(
                loop,
                server,
                new Bootstrap()
                        .group(loop)
                        .channelFactory(SocketConnection::new)
                        .option(ChannelOption.SO_SNDBUF, UNSENT)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, pieces())
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, marks()),
                a -> a);
    }

    private static RecvByteBufAllocator pieces() {
        return new AdaptiveRecvByteBufAllocator(LEAST_READ, LEAST_READ, PIECE);
    }

    private static WriteBufferWaterMark marks() {
        return new WriteBufferWaterMark(PIECE / 2, PIECE);
    }

    /** Returns channels inside the process, with an event loop of their own. */
    public static Network inProcess() {
        return inProcess(PolledEventLoop.inProcess(), new InProcess());
    }

    /** Returns channels inside the process, on a loop that handles such channels: all in one world reach one another. */
    public static Network inProcess(EventLoop loop, InProcess world) {
        return new Network(
                loop,
                new ServerBootstrap().group(loop).channel(LocalServerChannel.class),
                new Bootstrap().group(loop).channel(LocalChannel.class),
                world::at);
    }

    /** The addresses inside a process are the whole process's: each world has its own. */
    public static final class InProcess {
        private final String name = UUID.randomUUID().toString();

        private SocketAddress at(InetSocketAddress address) {
            return new LocalAddress(name + address);
        }
    }

    /** Returns where in this network an address is. */
    public SocketAddress address(InetSocketAddress address) {
        return addresses.apply(address);
    }
}
