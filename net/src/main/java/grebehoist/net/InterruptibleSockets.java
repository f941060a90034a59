package grebehoist.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * Sockets on which an interrupted read (EINTR) is no end of the stream. The runtime tells it as a negative number other than -1, which
 * Netty takes for the end, and closes a connection on which a request may be waiting.
 */
final class InterruptibleSockets {
    private static final int END_OF_STREAM = -1;

    private InterruptibleSockets() { }

    /** A connection that this process opens, or has accepted. */
    static final class Connection extends NioSocketChannel {
        /** Makes one that is yet to be connected. */
        Connection() { }

        private Connection(Channel listener, SocketChannel accepted) {
            super(listener, accepted);
        }

        @Override
        protected int doReadBytes(ByteBuf into) throws Exception {
            int read = super.doReadBytes(into);
            return read < END_OF_STREAM ? 0 : read;
        }
    }

    /** A listener that accepts such connections. */
    static final class Listener extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            SocketChannel socket = javaChannel().accept();
            if (socket == null) {
                return 0;
            }
            try {
                accepted.add(new Connection(this, socket));
                return 1;
            } catch (RuntimeException e) {
                closeQuietly(socket);
                throw e;
            }
        }

        private static void closeQuietly(SocketChannel socket) {
            try {
                socket.close();
            } catch (IOException e) {
                // What could not be set up is given up, whether or not its end can be told.
            }
        }
    }
}
