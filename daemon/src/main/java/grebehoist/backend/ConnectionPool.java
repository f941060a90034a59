package grebehoist.backend;

import grebehoist.engine.Timers;
import grebehoist.net.LoopChannels;
import grebehoist.net.Sockets;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.pool.ChannelPoolHandler;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.util.concurrent.Promise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Netty's pool, which leaves the choice of the idle connection to its subclass: of those that have settled the one
 * used last, so that the others grow old and are closed, and never one that was closed meanwhile.
 */
public final class ConnectionPool extends SimpleChannelPool {
    /** What comes right behind an answer, and does not belong to it, has shown by then. */
    private static final long SETTLED_US = 3_000;
    /** So has a second answer that comes some milliseconds late: taken for that of a request with an effect it would be believed. */
    private static final long BEYOND_DOUBT_US = 25_000;

    private final Timers timers;
    private final Sockets sockets;
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    private ChannelFuture connecting;
    /** For how long a connection has to have been idle that is taken now. */
    private long leastIdleUs = SETTLED_US;

    ConnectionPool(Bootstrap bootstrap, ChannelPoolHandler handler, Timers timers, Sockets sockets) {
        super(bootstrap, handler);
        this.timers = timers;
        this.sockets = sockets;
    }

    private static long leastIdleUs(boolean hasEffect) {
        return hasEffect ? BEYOND_DOUBT_US : SETTLED_US;
    }

    /**
     * Returns whether a connection is idle that may be used.
     *
     * @param hasEffect whether it is for a request with an effect
     */
    boolean hasIdle(boolean hasEffect) {
        // The first has been idle for longest.
        return !idle.isEmpty() && idle.getFirst().idleUs(timers.now()) >= leastIdleUs(hasEffect);
    }

    @Override
    protected ChannelFuture connectChannel(Bootstrap to) {
        connecting = LoopChannels.connect(to);
        return connecting;
    }

    /**
     * Takes a connection; returns the one that is being opened for it, or null.
     *
     * @param hasEffect whether it is for a request with an effect
     */
    ChannelFuture acquireOrConnect(Promise<Channel> promise, boolean hasEffect) {
        connecting = null;
        leastIdleUs = leastIdleUs(hasEffect);
        acquire(promise);
        return connecting;
    }

    @Override
    protected Channel pollChannel() {
        long now = timers.now();
        for (Iterator<PooledConnection> i = idle.descendingIterator(); i.hasNext(); ) {
            PooledConnection connection = i.next();
            if (connection.idleUs(now) >= leastIdleUs) {
                i.remove();
                sockets.backendIdle(connection.channel(), false);
                if (connection.quiet()) {
                    return connection.channel();
                }
                connection.channel().close();
            }
        }
        return null;
    }

    @Override
    protected boolean offerChannel(Channel channel) {
        PooledConnection connection = channel.attr(PooledConnection.KEY).get();
        connection.idleFrom(timers.now());
        idle.addLast(connection);
        sockets.backendIdle(channel, true);
        return true;
    }

    /** A connection has ended by itself. */
    public void closed(PooledConnection connection) {
        idle.remove(connection);
    }

    void closeIdle() {
        for (PooledConnection connection = idle.pollLast(); connection != null; connection = idle.pollLast()) {
            connection.channel().close();
        }
    }
}
