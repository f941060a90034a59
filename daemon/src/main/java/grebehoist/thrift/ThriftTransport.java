package grebehoist.thrift;

import grebehoist.backend.PooledAttempt;
import grebehoist.backend.PooledConnection;
import grebehoist.backend.PooledTransport;
import grebehoist.engine.Attempt;
import grebehoist.engine.Payload;
import grebehoist.engine.Timers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import io.netty.channel.Channel;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;

/** The backends of one pool over framed Thrift. A connection carries one call at a time. */
public final class ThriftTransport extends PooledTransport {
    private final int maxFrame;

    /**
     * Makes a transport without backends.
     *
     * @param connIdleUs backends close a connection that has stood idle for so long, in microseconds
     * @param connectTimeoutUs how long a connection may take to come up, in microseconds
     * @param maxFrame the longest reply, in bytes
     */
    public ThriftTransport(
            Timers timers, Network network, Sockets sockets, long connIdleUs, long connectTimeoutUs, int maxFrame) {
        super(timers, network, sockets, connIdleUs, connectTimeoutUs);
        this.maxFrame = maxFrame;
    }

    @Override
    protected PooledConnection connection(Channel channel, Target target) {
        var frames = new Frames(maxFrame);
        var connection = new ThriftBackendConnection(target, channel, frames);
        channel.pipeline().addLast(frames, new IdleStateHandler(0, 0, idleUs(), TimeUnit.MICROSECONDS), connection);
        return connection;
    }

    @Override
    protected PooledAttempt attempt(Target target, Payload request, long deadlineUs, Attempt.End end) {
        return new ThriftAttempt(target, (ThriftCall) request, deadlineUs, end);
    }
}
