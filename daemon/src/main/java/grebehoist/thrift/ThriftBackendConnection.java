package grebehoist.thrift;

import beechfall.Balancer.Outcome;
import grebehoist.backend.AttemptConnection;
import grebehoist.backend.PooledAttempt;
import grebehoist.backend.PooledTransport;
import grebehoist.net.LoopTasks;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * The reading side of a connection to a Thrift backend: a reply is the attempt's if its id, name and protocol are the call's
 * and it can be read to its end.
 */
final class ThriftBackendConnection extends AttemptConnection<ByteBuf> {
    /** So long after a oneway call its connection is there for the server to read, and for nothing else. */
    private static final long LINGER_MS = 2_000;

    private static final FieldPaths TYPE = new FieldPaths();
    private static final int TYPE_SLOT = TYPE.add("2");

    private int sequenceId;
    private boolean onewayDone;

    ThriftBackendConnection(PooledTransport.Target target, Channel channel, Frames frames) {
        super(target, channel, frames, Long.MAX_VALUE);
    }

    /** Ids are this connection's own: a reply to the call before last shows. */
    int nextId() {
        sequenceId = sequenceId == Integer.MAX_VALUE ? 1 : sequenceId + 1;
        return sequenceId;
    }

    /**
     * The server may still be at it, and some answer a oneway call they don't know: nobody else is to get that. So this side
     * ends its sending, and whatever comes is dropped.
     */
    void onewayWritten() {
        letGo();
        onewayDone = true;
        if (channel() instanceof SocketChannel socket) {
            socket.shutdownOutput();
        }
        LoopTasks.closeAfter(channel(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected boolean minds() {
        return !onewayDone;
    }

    @Override
    protected Verdict judge(ByteBuf frame, PooledAttempt of) {
        try {
            Message message = Message.read(frame);
            String[] found =
                    StructWalk.walk(frame, message, message.type() == Message.EXCEPTION ? TYPE : FieldPaths.NONE);
            // One that began before the call was written whole can't be its reply.
            if (of.mayHaveRun() && belongs(message, ((ThriftAttempt) of).message())) {
                return message.type() == Message.REPLY
                        ? new Verdict(Outcome.OK, true, new ThriftCall(message, frame))
                        : new Verdict(ThriftOutcomes.ofException(found[TYPE_SLOT]), true, null);
            }
        } catch (BadFrame e) {
            // Told below: something has come back, and it can't be read.
        }
        return new Verdict(Outcome.ERROR, false, null);
    }

    /** A server behind a multiplexed processor answers under the method's name alone. */
    private boolean belongs(Message answer, Message call) {
        boolean named = answer.name().equals(call.name())
                || answer.name().equals(call.name().substring(call.name().indexOf(':') + 1));
        boolean alike = (answer.encoding() == Encoding.COMPACT) == (call.encoding() == Encoding.COMPACT);
        return answer.sequenceId() == sequenceId
                && named
                && alike
                && (answer.type() == Message.REPLY || answer.type() == Message.EXCEPTION);
    }
}
