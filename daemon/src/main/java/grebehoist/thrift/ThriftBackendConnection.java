package grebehoist.thrift;

import beechfall.Balancer.Outcome;
import grebehoist.backend.PooledAttempt;
import grebehoist.backend.PooledConnection;
import grebehoist.backend.PooledTransport;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The reading side of a connection to a Thrift backend. A reply is judged once all that has come is read: it is the
 * attempt's if its id, name and protocol are the call's and it can be read to its end, and its connection is used again only
 * if it brought nothing else.
 */
final class ThriftBackendConnection extends SimpleChannelInboundHandler<ByteBuf> implements PooledConnection {
    /** A reply that has begun comes on without stops as long as this: one that does not has a length that is wrong. */
    private static final long STALL_MS = 100;
    private static final long SETTLE_US = 3_000;
    /** So long after a oneway call its connection is there for the server to read, and for nothing else. */
    private static final long LINGER_MS = 2_000;
    private static final FieldPaths TYPE = new FieldPaths();
    private static final int TYPE_SLOT = TYPE.add("2");

    private final PooledTransport.Target target;
    private final Channel channel;
    private final Frames frames;
    private ThriftAttempt attempt;
    private int sequenceId;
    private ByteBuf reply;
    private boolean unasked;
    private boolean onewayDone;
    private long idleSince;
    private Future<?> stall;

    ThriftBackendConnection(PooledTransport.Target target, Channel channel, Frames frames) {
        this.target = target;
        this.channel = channel;
        this.frames = frames;
    }

    /** Ids are this connection's own: a reply to the call before last shows. */
    int nextId() {
        sequenceId = sequenceId == Integer.MAX_VALUE ? 1 : sequenceId + 1;
        return sequenceId;
    }

    @Override
    public Channel channel() {
        return channel;
    }

    @Override
    public void begin(PooledAttempt next) {
        attempt = (ThriftAttempt) next;
        frames.countAfresh();
    }

    @Override
    public void idleFrom(long nowUs) {
        idleSince = nowUs;
    }

    @Override
    public boolean settled(long nowUs) {
        return nowUs - idleSince >= SETTLE_US;
    }

    /**
     * The server may still be at it, and some answer a oneway call they don't know: nobody else is to get that. So this side
     * ends its sending, and whatever comes is dropped.
     */
    void onewayWritten() {
        attempt = null;
        onewayDone = true;
        if (channel instanceof SocketChannel socket) {
            socket.shutdownOutput();
        }
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        if (attempt == null || reply != null) {
            unasked = true;
        } else {
            reply = frame.retain();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (reply != null) {
            answered();
        } else if (attempt == null) {
            if (frames.bytes() > 0 && !onewayDone) {
                // Nobody has asked: what comes next on this connection can't be trusted.
                ctx.close();
            }
        } else if (frames.bytes() > 0 && stall == null) {
            awaitMore(frames.bytes());
        }
        super.channelReadComplete(ctx);
    }

    private void answered() {
        ByteBuf frame = reply;
        ThriftAttempt a = attempt;
        reply = null;
        attempt = null;
        stopAwaiting();
        Outcome outcome = Outcome.ERROR;
        Message message = null;
        boolean sound = false;
        try {
            message = Message.read(frame);
            String[] found = StructWalk.walk(frame, message, message.type() == Message.EXCEPTION ? TYPE : FieldPaths.NONE);
            // One that began before the call was written whole can't be its reply.
            sound = a.mayHaveRun() && belongs(message, a.message());
            if (sound) {
                outcome = message.type() == Message.REPLY ? Outcome.OK : ThriftOutcomes.ofException(found[TYPE_SLOT]);
            }
        } catch (BadFrame e) {
            sound = false;
        }
        boolean clean = sound && !unasked && !frames.holdsMore();
        frames.countAfresh();
        // Back into the pool before the module hears: what it sends next may find no room for another.
        if (clean && target.ready()) {
            target.pool().release(channel);
        } else {
            channel.close();
        }
        if (outcome == Outcome.OK) {
            a.end(Outcome.OK, new ThriftCall(message, frame));
        } else {
            frame.release();
            a.end(outcome, null);
        }
    }

    /** A server behind a multiplexed processor answers under the method's name alone. */
    private boolean belongs(Message answer, Message call) {
        boolean named = answer.name().equals(call.name()) || answer.name().equals(call.name().substring(call.name().indexOf(':') + 1));
        boolean alike = (answer.encoding() == Encoding.COMPACT) == (call.encoding() == Encoding.COMPACT);
        return answer.sequenceId() == sequenceId && named && alike
                && (answer.type() == Message.REPLY || answer.type() == Message.EXCEPTION);
    }

    private void awaitMore(long seen) {
        stall = channel.eventLoop().schedule(() -> {
            stall = null;
            if (attempt == null) {
                return;
            }
            if (frames.bytes() == seen) {
                spoilt();
            } else {
                awaitMore(frames.bytes());
            }
        }, STALL_MS, TimeUnit.MILLISECONDS);
    }

    private void stopAwaiting() {
        if (stall != null) {
            stall.cancel(false);
            stall = null;
        }
    }

    /** Something has come back, so that the attempt may have run; but it is no reply, and none will follow. */
    private void spoilt() {
        ThriftAttempt a = attempt;
        attempt = null;
        channel.close();
        if (a != null) {
            a.end(Outcome.ERROR, null);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        target.pool().closed(this);
        stopAwaiting();
        if (reply != null) {
            reply.release();
            reply = null;
        }
        if (attempt != null) {
            ThriftAttempt a = attempt;
            attempt = null;
            a.end(ThriftOutcomes.ofBreak(a.mayHaveRun()), null);
        }
        super.channelInactive(ctx);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof IdleStateEvent && attempt == null) {
            ctx.close();
        }
        super.userEventTriggered(ctx, event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof CodecException) {
            spoilt();
        } else {
            ctx.close();
        }
    }
}
