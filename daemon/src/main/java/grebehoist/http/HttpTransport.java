package grebehoist.http;

import grebehoist.backend.PooledAttempt;
import grebehoist.backend.PooledConnection;
import grebehoist.backend.PooledTransport;
import grebehoist.engine.Attempt;
import grebehoist.engine.Payload;
import grebehoist.engine.Timers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;

/** The backends of one pool over HTTP/1.1. */
public final class HttpTransport extends PooledTransport {
    /** The longest body of a request or an answer that is put together before it goes on, in bytes. */
    public static final int MAX_BODY = 64 * 1024;
    /** The longest that is passed on at all, in bytes. */
    static final long LONGEST_BODY = 33L * 1024 * 1024;

    /**
     * Makes a transport without backends.
     *
     * @param connIdleUs backends close a connection that has stood idle for so long, in microseconds
     * @param connectTimeoutUs how long a connection may take to come up, in microseconds
     */
    public HttpTransport(Timers timers, Network network, Sockets sockets, long connIdleUs, long connectTimeoutUs) {
        super(timers, network, sockets, connIdleUs, connectTimeoutUs);
    }

    @Override
    protected PooledConnection connection(Channel channel, Target target) {
        var decoder = new Framing.Responses();
        var assembler = new AnswerAssembler(timers());
        var connection = new BackendConnection(target, channel, decoder, timers());
        assembler.connection(connection);
        channel.pipeline()
                .addLast(
                        new HttpRequestEncoder(),
                        decoder,
                        assembler,
                        new IdleStateHandler(0, 0, idleUs(), TimeUnit.MICROSECONDS),
                        connection);
        return connection;
    }

    @Override
    protected PooledAttempt attempt(Target target, Payload request, long deadlineUs, Attempt.End end) {
        return new HttpAttempt(timers(), target, (HttpCall) request, deadlineUs, end);
    }
}
