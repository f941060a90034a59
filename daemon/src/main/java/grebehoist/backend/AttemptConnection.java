package grebehoist.backend;

import beechfall.Balancer.Outcome;
import grebehoist.engine.Payload;
import grebehoist.net.SocketPeek;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;

/**
 * The reading side of a connection to a backend. An answer is judged once all that has come is read: it is the attempt's if
 * it can be read whole, and its connection is used again only if it brought nothing else.
 *
 * @param <M> a message as the decoder before this makes it, reference-counted
 */
public abstract class AttemptConnection<M> extends SimpleChannelInboundHandler<M> implements PooledConnection {
    /** What the decoder before this knows of the bytes that came. */
    public interface Counted {
        /** Returns the bytes that have come since the count began. */
        long bytes();

        /** Begins the count. */
        void countAfresh();

        /** Returns whether bytes have come that belong to no message so far. */
        boolean holdsMore();
    }

    /**
     * What an answer is.
     *
     * @param reusable whether the connection can be trusted with another attempt
     * @param answer for {@link Outcome#OK}, made of the message and its owner from here on; else null
     */
    public record Verdict(Outcome outcome, boolean reusable, Payload answer) {}

    private final PooledTransport.Target target;
    private final Channel channel;
    private final Counted decoder;
    private final long mostBytes;
    private PooledAttempt attempt;
    private M answer;
    private boolean unasked;
    /** Whether an answer is passed on as it comes: its attempt has ended, and the connection is still its own. */
    private boolean streaming;

    /** Whether it has been put back, and has carried nothing since. */
    private boolean idle;

    private long idleSince;
    /** How much had come when that was last asked. */
    private long seen;

    /**
     * Makes the last handler of a connection.
     *
     * @param mostBytes an answer, with all that comes ahead of it, is never longer
     */
    protected AttemptConnection(PooledTransport.Target target, Channel channel, Counted decoder, long mostBytes) {
        this.target = target;
        this.channel = channel;
        this.decoder = decoder;
        this.mostBytes = mostBytes;
    }

    /** Returns whether a message is the one that an attempt waits for, and not one ahead of it. */
    protected boolean isFinal(M message) {
        return true;
    }

    /** Judges an answer. One that is no answer of this attempt's is an {@link Outcome#ERROR}: something has come back. */
    protected abstract Verdict judge(M message, PooledAttempt of);

    @Override
    public final Channel channel() {
        return channel;
    }

    @Override
    public final void begin(PooledAttempt next) {
        attempt = next;
        idle = false;
        decoder.countAfresh();
        seen = 0;
    }

    @Override
    public final boolean moved() {
        long before = seen;
        seen = decoder.bytes();
        return seen > before;
    }

    @Override
    public boolean passOn() {
        return false;
    }

    /** The attempt has its end from elsewhere; whatever comes is nobody's. */
    protected final void letGo() {
        attempt = null;
    }

    /** An answer has begun that is passed on as it comes. Its attempt ends here, unless it has before. */
    protected final void stream(Payload begun) {
        PooledAttempt a = attempt;
        attempt = null;
        streaming = true;
        a.end(Outcome.OK, begun);
    }

    /** Returns whether an attempt waits for its answer here. */
    protected final PooledAttempt attempt() {
        return attempt;
    }

    /** That answer is over. */
    protected final void streamed(boolean whole) {
        streaming = false;
        putBack(whole);
    }

    /** Into the pool again, if it can be trusted with another attempt and brought nothing but what was asked for. */
    private void putBack(boolean reusable) {
        boolean clean = reusable && !unasked && !decoder.holdsMore();
        decoder.countAfresh();
        if (clean && target.reuses() && channel.isActive()) {
            target.pool().release(channel);
        } else {
            channel.close();
        }
    }

    /** Returns whether bytes that nobody waits for end the connection at once. */
    protected boolean minds() {
        return true;
    }

    @Override
    public final boolean quiet() {
        return minds() ? !SocketPeek.hasUnread(channel) : !SocketPeek.hasEnded(channel);
    }

    @Override
    public final void idleFrom(long nowUs) {
        idle = true;
        idleSince = nowUs;
    }

    @Override
    public final long idleUs(long nowUs) {
        return nowUs - idleSince;
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext ctx, M message) {
        if (attempt == null || answer != null) {
            unasked = true;
        } else if (isFinal(message)) {
            answer = ReferenceCountUtil.retain(message);
        }
    }

    @Override
    public final void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (answer != null) {
            answered();
        } else if (streaming) {
            streamMoved();
        } else if (attempt == null) {
            if (decoder.bytes() > 0 && minds()) {
                // Nobody has asked: what comes next on this connection can't be trusted.
                ctx.close();
                if (idle) {
                    // Nor on the others of its backend. The rest of an answer that was spoilt tells nothing of those.
                    target.unasked();
                }
            }
        } else if (decoder.bytes() > mostBytes) {
            spoilt();
        }
        super.channelReadComplete(ctx);
    }

    /** More of an answer that is passed on has come. */
    protected void streamMoved() {}

    private void answered() {
        M message = answer;
        PooledAttempt a = attempt;
        answer = null;
        attempt = null;
        Verdict verdict = judge(message, a);
        // Back into the pool before the module hears: what it sends next may find no room for another.
        putBack(verdict.reusable());
        if (verdict.answer() == null) {
            ReferenceCountUtil.release(message);
        }
        a.end(verdict.outcome(), verdict.answer());
    }

    /** Something has come back, so that the attempt may have run; but it is no answer, and none will follow. */
    private void spoilt() {
        PooledAttempt a = attempt;
        attempt = null;
        channel.close();
        if (a != null) {
            a.end(Outcome.ERROR, null);
        }
    }

    @Override
    public final void channelInactive(ChannelHandlerContext ctx) throws Exception {
        target.pool().closed(this);
        if (answer != null) {
            ReferenceCountUtil.release(answer);
            answer = null;
        }
        if (attempt != null) {
            PooledAttempt a = attempt;
            attempt = null;
            // Before its last byte is written nobody begins with it; after that it may have run.
            a.end(a.mayHaveRun() ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }
        super.channelInactive(ctx);
    }

    @Override
    public final void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof IdleStateEvent && attempt == null && !streaming) {
            ctx.close();
        }
        super.userEventTriggered(ctx, event);
    }

    /** The connection is about to be closed, as something went wrong with it. */
    protected void failing(Throwable cause) {}

    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failing(cause);
        // That the end came too soon for the decoder is told by the end itself.
        if (cause instanceof CodecException && !(cause instanceof PrematureChannelClosureException)) {
            spoilt();
        } else {
            ctx.close();
        }
    }
}
