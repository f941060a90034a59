package grebehoist.net;

import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/**
 * A listening socket whose calls of accept(2) are made elsewhere ({@link AcceptWorker}), one at a time; what they return is handled on the
 * event loop, as with any channel. While a call is under way the loop does not look whether somebody waits.
 *
 * <p>The kernel does not tell how long a connection has waited. What is known is when nobody waited, and whoever is accepted has come since.
 */
final class ListeningSocket extends NioServerSocketChannel {
    private record Outcome(SocketChannel socket, Throwable failure) {}

    private final Executor worker;
    // Used on the loop's thread alone.
    private boolean calling;
    private boolean closeWanted;
    private Outcome outcome;
    /** The last time at which nobody is known to have waited; whoever is accepted came after it. */
    private long nobodyWaitedNs;
    /** Since when polls name it if somebody waits; {@link Long#MAX_VALUE} while they don't. */
    private long polledFromNs = Long.MAX_VALUE;

    /** Makes one that is not bound yet. */
    ListeningSocket(Executor worker) {
        this.worker = worker;
    }

    /** Returns whether somebody is being accepted. Used on the loop's thread. */
    boolean accepting() {
        return calling;
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (calling) {
            return;
        }
        super.doBeginRead();
        if (polledFromNs == Long.MAX_VALUE) {
            polledFromNs = nowNs();
        }
    }

    @Override
    protected void removeAndSubmit(NioIoOps removed) {
        if (removed.contains(NioIoOps.ACCEPT)) {
            polledFromNs = Long.MAX_VALUE;
        }
        super.removeAndSubmit(removed);
    }

    @Override
    protected void doBind(SocketAddress local) throws Exception {
        nobodyWaitedNs = nowNs();
        super.doBind(local);
    }

    private long nowNs() {
        return eventLoop().ticker().nanoTime();
    }

    /** Called when somebody waits, and once more when the call that this begins has an outcome. */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        if (outcome == null) {
            beginCall();
            return 0;
        }
        Outcome done = outcome;
        outcome = null;
        if (done.failure != null) {
            throw asException(done.failure);
        }
        if (done.socket == null) {
            return 0;
        }
        accepted.add(connection(done.socket));
        return 1;
    }

    /** One at a time: each that is accepted counts before the next call is made. */
    @Override
    @SuppressWarnings("deprecation") // The type is that of the overridden method.
    protected boolean continueReading(RecvByteBufAllocator.Handle handle) {
        return false;
    }

    private static Exception asException(Throwable failure) {
        return failure instanceof Exception known ? known : new IOException("accept failed", failure);
    }

    private SocketConnection connection(SocketChannel socket) {
        try {
            return new SocketConnection(this, socket, nobodyWaitedNs, nowNs());
        } catch (RuntimeException e) {
            closeQuietly(socket);
            throw e;
        }
    }

    private void beginCall() throws IOException {
        long completeNs = PollHistory.of(eventLoop()).completeNs();
        if (completeNs >= polledFromNs) {
            nobodyWaitedNs = Math.max(nobodyWaitedNs, completeNs);
        }
        try {
            worker.execute(this::call);
        } catch (RejectedExecutionException | OutOfMemoryError e) {
            throw new IOException("no thread to accept on", e);
        }
        calling = true;
        removeAndSubmit(NioIoOps.ACCEPT);
    }

    /** On a thread of the worker's. */
    private void call() {
        Outcome done = accept();
        try {
            eventLoop().execute(() -> ended(done));
        } catch (RejectedExecutionException e) {
            // The loop has ended, and the process with it.
            closeQuietly(done.socket);
        }
    }

    private Outcome accept() {
        try {
            return new Outcome(javaChannel().accept(), null);
        } catch (IOException | RuntimeException e) {
            return new Outcome(null, e);
        }
    }

    private void ended(Outcome done) {
        calling = false;
        if (closeWanted) {
            closeQuietly(done.socket);
            closeNow();
            return;
        }
        outcome = done;
        unsafe().read();
    }

    /** The runtime's close waits for a call that is under way, so it comes after it. */
    @Override
    protected void doClose() throws Exception {
        if (calling) {
            closeWanted = true;
        } else {
            super.doClose();
        }
    }

    private void closeNow() {
        try {
            super.doClose();
        } catch (Exception e) {
            // The descriptor is gone all the same (close(2)), and nobody waits to hear of it.
            pipeline().fireExceptionCaught(e);
        }
    }

    private static void closeQuietly(SocketChannel socket) {
        if (socket == null) {
            return;
        }
        try {
            socket.close();
        } catch (IOException e) {
            // What could not be set up is given up, whether or not its end can be told.
        }
    }
}
