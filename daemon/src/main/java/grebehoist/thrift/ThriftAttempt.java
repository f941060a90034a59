package grebehoist.thrift;

import beechfall.Balancer.Outcome;
import grebehoist.backend.PooledAttempt;
import grebehoist.backend.PooledConnection;
import grebehoist.backend.PooledTransport;
import grebehoist.engine.Payload;
import io.netty.channel.Channel;

/** An attempt over Thrift. */
final class ThriftAttempt extends PooledAttempt {
    private final ThriftCall call;
    private ThriftBackendConnection connection;

    ThriftAttempt(PooledTransport.Target target, ThriftCall call, long deadlineUs, End end) {
        super(target, deadlineUs, end);
        this.call = call;
    }

    Message message() {
        return call.message();
    }

    @Override
    protected Object message(Channel on) {
        connection = (ThriftBackendConnection) on.attr(PooledConnection.KEY).get();
        return call.message().framed(on.alloc(), call.frame(), connection.nextId());
    }

    /** Nothing will come back for a oneway call: it is answered by being written. */
    @Override
    protected void whole() {
        if (call.oneway()) {
            connection.onewayWritten();
            end(Outcome.OK, Payload.NONE);
        }
    }
}
