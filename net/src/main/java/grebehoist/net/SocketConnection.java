package grebehoist.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A connection over a socket that knows how old the bytes may be that are read from it. An interrupted read (EINTR) is no end of the
 * stream on it: the runtime tells it as a negative number other than -1, which Netty takes for the end.
 */
final class SocketConnection extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;

    /** When it was accepted; 0 for one that this process opens. */
    private final long acceptedNs;
    /** All that came before this has been read. Until the first poll after the accept, the connection itself is as old. */
    private long readUpToNs;

    /** Since when polls name it if something waits; {@link Long#MAX_VALUE} while they don't. */
    private long polledFromNs = Long.MAX_VALUE;
    /** Whether the last read may have left something. */
    private boolean moreLeft;

    private long arrivedNs;

    /** Makes one that is yet to be connected. */
    SocketConnection() {
        acceptedNs = 0;
    }

    /**
     * Makes one that a listener has accepted.
     *
     * @param mayHaveComeNs when it may have come to the listener's queue, at the earliest, on the loop's ticker
     * @param acceptedNs when it was accepted
     */
    SocketConnection(Channel listener, SocketChannel accepted, long mayHaveComeNs, long acceptedNs) {
        super(listener, accepted);
        this.acceptedNs = acceptedNs;
        this.readUpToNs = mayHaveComeNs;
    }

    /** Returns when the bytes that were read last may have come, at the earliest, on the loop's ticker. */
    long arrivedNs() {
        return arrivedNs;
    }

    /** Returns when it was accepted, on the loop's ticker. */
    long acceptedNs() {
        return acceptedNs;
    }

    @Override
    protected void doBeginRead() throws Exception {
        super.doBeginRead();
        if (polledFromNs == Long.MAX_VALUE) {
            polledFromNs = nowNs();
        }
    }

    @Override
    protected void removeAndSubmit(NioIoOps removed) {
        if (removed.contains(NioIoOps.READ)) {
            polledFromNs = Long.MAX_VALUE;
        }
        super.removeAndSubmit(removed);
    }

    private long nowNs() {
        return eventLoop().ticker().nanoTime();
    }

    /** Returns when what the kernel holds of it may have come, at the earliest, on the loop's ticker. */
    long unreadSinceNs() {
        long completeNs = PollHistory.of(eventLoop()).completeNs();
        return moreLeft || completeNs < polledFromNs ? readUpToNs : Math.max(readUpToNs, completeNs);
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        arrivedNs = unreadSinceNs();
        long beforeNs = nowNs();
        int room = into.writableBytes();
        int read = super.doReadBytes(into);
        moreLeft = read == room || read < END_OF_STREAM;
        // A read that leaves room has found all that there was (recv(2)).
        readUpToNs = moreLeft ? arrivedNs : beforeNs;
        return read < END_OF_STREAM ? 0 : read;
    }
}
