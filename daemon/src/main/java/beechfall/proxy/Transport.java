package beechfall.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.UUID;
import java.util.function.Function;

/**
 * What connections are made of, and the one thread that they are served by: sockets, or, for {@link Warmup}, Netty's
 * channels inside the process. The bootstraps are templates, to be cloned.
 */
record Transport(EventLoop loop, ServerBootstrap server, Bootstrap client,
        Function<InetSocketAddress, SocketAddress> addresses) {
    private static final int BACKLOG = 1_024;

    static Transport sockets() {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        ServerBootstrap server = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                // One at a time: each that is accepted counts before the next is.
                .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator())
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true);
        return new Transport(loop, server, new Bootstrap().group(loop).channel(NioSocketChannel.class), a -> a);
    }

    static Transport inProcess() {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory()).next();
        // Such addresses are the whole process's: each transport has its own.
        String world = UUID.randomUUID().toString();
        return new Transport(loop, new ServerBootstrap().group(loop).channel(LocalServerChannel.class),
                new Bootstrap().group(loop).channel(LocalChannel.class), a -> new LocalAddress(world + a));
    }

    SocketAddress address(InetSocketAddress address) {
        return addresses.apply(address);
    }
}
