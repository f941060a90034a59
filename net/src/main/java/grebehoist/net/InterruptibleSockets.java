package grebehoist.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * Sockets on which an interrupted read (EINTR) is no end of the stream. The runtime tells it as a negative number other than -1, which
 * Netty takes for the end, and closes a connection on which a request may be waiting.
 */
final class InterruptibleSockets {
    private static final int END_OF_STREAM = -1;

    private InterruptibleSockets() {}

    /** A connection that this process opens, or has accepted. */
    static final class Connection extends NioSocketChannel {
        /** Makes one that is yet to be connected. */
        Connection() {}

        /** Makes one that a listener has accepted. */
        Connection(Channel listener, SocketChannel accepted) {
            super(listener, accepted);
        }

        @Override
        protected int doReadBytes(ByteBuf into) throws Exception {
            int read = super.doReadBytes(into);
            return read < END_OF_STREAM ? 0 : read;
        }
    }
}
