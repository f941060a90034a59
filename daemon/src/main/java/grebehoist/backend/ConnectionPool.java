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
    private final Timers timers;
    private final Sockets sockets;
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    private ChannelFuture connecting;

    ConnectionPool(Bootstrap bootstrap, ChannelPoolHandler handler, Timers timers, Sockets sockets) {
        super(bootstrap, handler);
        this.timers = timers;
        this.sockets = sockets;
    }

    boolean hasIdle() {
        long now = timers.now();
        // The first has been idle for longest.
        return !idle.isEmpty() && idle.getFirst().settled(now);
    }

    @Override
    protected ChannelFuture connectChannel(Bootstrap to) {
        connecting = LoopChannels.connect(to);
        return connecting;
    }

    /** Takes a connection; returns the one that is being opened for it, or null. */
    ChannelFuture acquireOrConnect(Promise<Channel> promise) {
        connecting = null;
        acquire(promise);
        return connecting;
    }

    @Override
    protected Channel pollChannel() {
        long now = timers.now();
        for (Iterator<PooledConnection> i = idle.descendingIterator(); i.hasNext(); ) {
            PooledConnection connection = i.next();
            if (connection.settled(now)) {
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
