package grebehoist.net;

import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.IntSupplier;

/**
 * A listening socket whose calls of accept(2) are made elsewhere ({@link AcceptWorker}), in turns: a turn accepts all that wait, as far as
 * there is room for them, and hands each to the event loop as it is accepted. While a turn is under way the loop does not look whether
 * somebody waits.
 *
 * <p>The kernel does not tell how long a connection has waited. What is known is when nobody waited, and whoever is accepted has come since.
 */
final class ListeningSocket extends NioServerSocketChannel {
    private final Executor worker;
    private final int backlog;
    // All that follows is used on the loop's thread alone.
    private IntSupplier room = () -> Integer.MAX_VALUE;
    private boolean turnUnderWay;
    private boolean closeWanted;
    /** What the turn has just brought, until the pipeline has it. */
    private SocketChannel accepted;

    private Throwable failure;
    private final List<Runnable> whenNobodyWaits = new ArrayList<>();
    /** The last time at which nobody is known to have waited; whoever is accepted came after it. */
    private long nobodyWaitedNs;
    /** Since when polls name it if somebody waits; {@link Long#MAX_VALUE} while they don't. */
    private long polledFromNs = Long.MAX_VALUE;

    /**
     * Makes one that is not bound yet.
     *
     * @param backlog so many connections wait to be accepted at most
     */
    ListeningSocket(Executor worker, int backlog) {
        this.worker = worker;
        this.backlog = backlog;
    }

    /** Sets how many more connections there is room for, asked for as each turn begins. */
    void room(IntSupplier forMore) {
        room = forMore;
    }

    /** Returns whether a turn is under way. */
    boolean accepting() {
        return turnUnderWay;
    }

    /** Runs an action as soon as nobody waits to be accepted: connections that wait when a listener is closed are reset. */
    void whenNobodyWaits(Runnable action) {
        whenNobodyWaits.add(action);
        if (config().isAutoRead()) {
            read();
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (turnUnderWay) {
            return;
        }
        super.doBeginRead();
        if (polledFromNs == Long.MAX_VALUE) {
            polledFromNs = nowNs();
        }
        if (!whenNobodyWaits.isEmpty()) {
            eventLoop().execute(this::turnUnasked);
        }
    }

    /** Nobody has been seen to wait: the turn finds out. */
    private void turnUnasked() {
        if (!turnUnderWay && isOpen()) {
            unsafe().read();
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

    /** Called when somebody waits, and for each outcome of the turn that this begins. */
    @Override
    protected int doReadMessages(List<Object> into) throws Exception {
        if (failure != null) {
            Throwable told = failure;
            failure = null;
            throw told instanceof Exception known ? known : new IOException("accept failed", told);
        }
        if (accepted == null) {
            beginTurn();
            return 0;
        }
        SocketChannel next = accepted;
        accepted = null;
        into.add(connection(next));
        return 1;
    }

    /** One at a time: each that is accepted counts before the next is. */
    @Override
    @SuppressWarnings("deprecation") // The type is that of the overridden method.
    protected boolean continueReading(RecvByteBufAllocator.Handle handle) {
        return false;
    }

    private SocketConnection connection(SocketChannel socket) {
        try {
            return new SocketConnection(this, socket, nobodyWaitedNs, nowNs());
        } catch (RuntimeException e) {
            closeQuietly(socket);
            throw e;
        }
    }

    private void beginTurn() throws IOException {
        long completeNs = PollHistory.of(eventLoop()).completeNs();
        if (completeNs >= polledFromNs) {
            nobodyWaitedNs = Math.max(nobodyWaitedNs, completeNs);
        }
        long beganNs = nowNs();
        int most = Math.max(1, Math.min(room.getAsInt(), backlog));
        try {
            worker.execute(() -> takeTurn(most, beganNs));
        } catch (RejectedExecutionException | OutOfMemoryError e) {
            throw new IOException("no thread to accept on", e);
        }
        turnUnderWay = true;
        removeAndSubmit(NioIoOps.ACCEPT);
    }

    /** On a thread of the worker's. */
    private void takeTurn(int most, long beganNs) {
        for (int i = 0; i < most; i++) {
            long beforeNs = nowNs();
            SocketChannel next;
            try {
                next = javaChannel().accept();
            } catch (IOException | RuntimeException e) {
                tellLoop(() -> turnFailed(e), null);
                return;
            }
            if (next == null) {
                tellLoop(() -> turnEnded(beforeNs), null);
                return;
            }
            tellLoop(() -> accepted(next), next);
        }
        // Who waited as a turn began that has accepted as many as can wait has been accepted.
        tellLoop(() -> turnEnded(most == backlog ? beganNs : Long.MIN_VALUE), null);
    }

    private void tellLoop(Runnable outcome, SocketChannel with) {
        try {
            eventLoop().execute(outcome);
        } catch (RejectedExecutionException e) {
            // The loop has ended, and the process with it.
            closeQuietly(with);
        }
    }

    private void accepted(SocketChannel socket) {
        if (closeWanted) {
            closeQuietly(socket);
            return;
        }
        accepted = socket;
        unsafe().read();
    }

    private void turnFailed(Exception e) {
        turnUnderWay = false;
        if (closeWanted) {
            closeNow();
            return;
        }
        failure = e;
        unsafe().read();
    }

    /** Whoever wants to know that nobody waits hears it before the loop looks again. */
    private void turnEnded(long nobodyWaitsNs) {
        turnUnderWay = false;
        if (closeWanted) {
            closeNow();
            return;
        }
        nobodyWaitedNs = Math.max(nobodyWaitedNs, nobodyWaitsNs);
        if (nobodyWaitsNs != Long.MIN_VALUE) {
            List<Runnable> actions = List.copyOf(whenNobodyWaits);
            whenNobodyWaits.clear();
            actions.forEach(Runnable::run);
        }
        if (isOpen() && config().isAutoRead()) {
            read();
        }
    }

    /** The runtime's close waits for a call that is under way, so it comes after it. */
    @Override
    protected void doClose() throws Exception {
        if (turnUnderWay) {
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
