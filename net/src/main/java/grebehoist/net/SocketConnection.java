package grebehoist.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * A connection over a socket that can be asked what the kernel holds of it, its end above all, ahead of its handlers, and how old the bytes
 * may be that are read from it. An interrupted read (EINTR) is no end of the
 * stream on it: the runtime tells it as a negative number other than -1, which Netty takes for the end.
 */
final class SocketConnection extends NioSocketChannel implements ReadBudget.Reader {
    private static final int END_OF_STREAM = -1;
    private static final int MOST_INTERRUPTED = 16;
    /** So much is read at a time to see an end: twice what systems hold of one connection at its sender, which is 4 MB on Linux. */
    private static final int MOST_SEEN_BYTES = 8 * 1024 * 1024;

    /** When it was accepted; 0 for one that this process opens. */
    private final long acceptedNs;
    /** All that came before this has been read. Until the first poll after the accept, the connection itself is as old. */
    private long readUpToNs;

    /** Since when polls name it if something waits; {@link Long#MAX_VALUE} while they don't. */
    private long polledFromNs = Long.MAX_VALUE;
    /** Whether the last read may have left something. */
    private boolean moreLeft;

    private long arrivedNs;
    /** What has been read and no handler has seen, or null, and since when it may have waited. */
    private ByteBuf readAhead;

    private long readAheadSinceNs;
    /** Whether the end of the stream, or a failure of the connection, has been read. */
    private boolean ended;
    /** Null where the stream has ended in good order. */
    private IOException failure;

    private boolean readingSoon;
    private boolean dropsUnread;
    private final ReadBudget.Account account = new ReadBudget.Account(this);

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
        if (account.queued()) {
            // It is read when its turn comes: until then a poll need not name it.
            return;
        }
        super.doBeginRead();
        if (polledFromNs == Long.MAX_VALUE) {
            polledFromNs = nowNs();
        }
        if (holdsAny()) {
            readSoon();
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
        boolean holdsBytes = readAhead != null && readAhead.isReadable();
        if (!holdsBytes && ended) {
            return endOfStream();
        }
        long beforeNs = nowNs();
        if (!budgetOfLoop().mayRead(account, beforeNs)) {
            return putOff(into.writableBytes());
        }
        int room = account.room(into.writableBytes());
        unsafe().recvBufAllocHandle().attemptedBytesRead(room);
        if (holdsBytes) {
            return takeReadAhead(into, room);
        }
        arrivedNs = unreadSinceNs();
        int read = into.writeBytes(javaChannel(), room);
        account.brought(read);
        countRead(read, room, beforeNs);
        return read < END_OF_STREAM ? 0 : read;
    }

    /** What waits stays in the kernel, and is as old as it may be. */
    private int putOff(int room) {
        moreLeft = true;
        removeAndSubmit(NioIoOps.READ);
        unsafe().recvBufAllocHandle().attemptedBytesRead(room);
        return 0;
    }

    @Override
    public void readDeferred() {
        if (isOpen() && config().isAutoRead()) {
            unsafe().read();
        }
    }

    private ReadBudget budgetOfLoop() {
        return ((PolledEventLoop) eventLoop()).readBudget();
    }

    private void countRead(int read, int room, long beforeNs) {
        moreLeft = read == room || read < END_OF_STREAM;
        // A read that leaves room has found all that there was (recv(2)).
        readUpToNs = moreLeft ? unreadSinceNs() : beforeNs;
    }

    private int endOfStream() throws IOException {
        if (failure != null) {
            throw failure;
        }
        return END_OF_STREAM;
    }

    private int takeReadAhead(ByteBuf into, int room) {
        int taken = Math.min(room, readAhead.readableBytes());
        into.writeBytes(readAhead, taken);
        account.brought(taken);
        arrivedNs = readAheadSinceNs;
        aheadOfLoop().add(-taken);
        if (!readAhead.isReadable()) {
            dropReadAhead();
        }
        if (holdsAny()) {
            readSoon();
        }
        return taken;
    }

    private void dropReadAhead() {
        if (readAhead != null) {
            aheadOfLoop().add(-readAhead.readableBytes());
            readAhead.release();
            readAhead = null;
        }
    }

    private ReadAhead aheadOfLoop() {
        return ((PolledEventLoop) eventLoop()).readAhead();
    }

    /** Returns whether something has been read that no handler has seen. */
    private boolean holdsAny() {
        return readAhead != null || ended;
    }

    /** Returns whether the kernel may hold bytes behind those that the handlers have seen. */
    boolean mayHoldMore() {
        return moreLeft || holdsAny();
    }

    /** What comes is of no use any more: what is read to see the end is dropped, and never comes to the handlers. */
    void dropUnread() {
        dropsUnread = true;
    }

    /**
     * Looks for the end of the connection, or a reset, behind all that the kernel holds now, as far as that may be read. Behind so much that
     * the other side may have been kept from sending, more may be on its way.
     */
    PeerState peerState() {
        long seen = 0;
        int read = ended ? 0 : readAheadOnce();
        while (read > 0 && seen < MOST_SEEN_BYTES) {
            // Behind what has come there may be more, or the end.
            seen += read;
            read = readAheadOnce();
        }
        if (ended || !isActive()) {
            return PeerState.ENDED;
        }
        return seen >= Network.FULL || !mayReadAhead() ? PeerState.UNKNOWN : PeerState.OPEN;
    }

    private boolean mayReadAhead() {
        return dropsUnread || aheadOfLoop().hasRoom(readAhead == null ? 0 : readAhead.readableBytes());
    }

    /** Returns how many bytes have come that no handler has seen; as many as it asks the system to hold where that does not tell. */
    int unreadBytes() {
        int held = readAhead == null ? 0 : readAhead.readableBytes();
        try {
            // FIONREAD, which does not wait.
            return isActive() ? held + javaChannel().socket().getInputStream().available() : held;
        } catch (IOException e) {
            return Network.UNREAD;
        }
    }

    /** Returns whether anything has come that no handler has seen. */
    boolean hasUnread() {
        if (!holdsAny()) {
            readAheadOnce();
        }
        return holdsAny() || !isActive();
    }

    /**
     * Reads what is there, as far as there is room for it, and does not wait. What it finds comes to the handlers soon.
     *
     * @return how many bytes it found
     */
    private int readAheadOnce() {
        if (!isActive() || !mayReadAhead()) {
            moreLeft = isActive();
            return 0;
        }
        ByteBuffer piece = aheadOfLoop().piece();
        long sinceNs = unreadSinceNs();
        long beforeNs = nowNs();
        int read = readUninterrupted(piece);
        if (read == END_OF_STREAM) {
            ended = true;
        } else {
            countRead(read, piece.capacity(), beforeNs);
        }
        if (read > 0 && !dropsUnread) {
            keep(piece.flip(), sinceNs);
        }
        if (holdsAny()) {
            readSoon();
        }
        return Math.max(read, 0);
    }

    /** Returns how many bytes were read, none where the call was interrupted again and again, or that the stream has ended, be it by a failure. */
    private int readUninterrupted(ByteBuffer into) {
        try {
            int read = javaChannel().read(into);
            for (int i = 0; read < END_OF_STREAM && i < MOST_INTERRUPTED; i++) {
                read = javaChannel().read(into);
            }
            return read < END_OF_STREAM ? 0 : read;
        } catch (IOException e) {
            failure = e;
            return END_OF_STREAM;
        }
    }

    private void keep(ByteBuffer bytes, long sinceNs) {
        if (readAhead == null) {
            readAhead = alloc().buffer(bytes.remaining());
            readAheadSinceNs = sinceNs;
        }
        aheadOfLoop().add(bytes.remaining());
        readAhead.writeBytes(bytes);
    }

    /** The kernel does not tell again of what has been read: the loop is told. */
    private void readSoon() {
        if (!readingSoon) {
            readingSoon = true;
            eventLoop().execute(this::readHeld);
        }
    }

    private void readHeld() {
        readingSoon = false;
        if (!isOpen() || !holdsAny()) {
            return;
        }
        if (config().isAutoRead()) {
            unsafe().read();
        } else if (ended) {
            // Its handlers read nothing more for now, and whoever would hear an answer has gone.
            unsafe().close(voidPromise());
        }
    }

    @Override
    protected void doClose() throws Exception {
        dropReadAhead();
        super.doClose();
    }
}
