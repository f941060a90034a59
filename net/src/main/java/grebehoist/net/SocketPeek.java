package grebehoist.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;

/**
 * Asks the kernel, without waiting, what it holds of a connection that has not been read yet. Used by the channel's event loop. Of channels
 * inside the process, which have no kernel behind them, it tells what is known.
 */
public final class SocketPeek {
    private SocketPeek() {}

    /** Returns whether the other side has ended the connection or reset it, as far as that can be seen. */
    public static boolean hasEnded(Channel channel) {
        return peerState(channel) == PeerState.ENDED;
    }

    /** Returns whether the other side has ended the connection or reset it, or what hides that. */
    public static PeerState peerState(Channel channel) {
        if (channel instanceof SocketConnection socket) {
            return socket.peerState();
        }
        return channel.isActive() ? PeerState.OPEN : PeerState.ENDED;
    }

    /** Nothing that comes on a channel is of use any more: what has to be read to see its end is dropped. */
    public static void dropUnread(Channel channel) {
        if (channel instanceof SocketConnection socket) {
            socket.dropUnread();
        }
    }

    /**
     * Returns whether a read has left nothing.
     *
     * @param read what was read, in the buffer that was offered for it
     */
    public static boolean drained(Channel channel, ByteBuf read) {
        return channel instanceof SocketConnection socket
                ? !socket.mayHoldMore()
                : channel instanceof SocketChannel && read.isWritable();
    }

    /** Returns how many bytes wait to be read; none inside the process. */
    public static int unreadBytes(Channel channel) {
        return channel instanceof SocketConnection socket ? socket.unreadBytes() : 0;
    }

    /** Returns whether bytes, or the end, wait to be read. */
    public static boolean hasUnread(Channel channel) {
        return channel instanceof SocketConnection socket ? socket.hasUnread() : !channel.isActive();
    }
}
