package grebehoist.http;

import beechfall.Balancer.Outcome;
import grebehoist.backend.PooledAttempt;
import grebehoist.backend.PooledConnection;
import grebehoist.backend.PooledTransport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The reading side of a connection to a backend. An answer is judged once all that has come is read: it is the
 * attempt's if it can be read whole, and its connection is used again only if it brought nothing else.
 */
final class BackendConnection extends SimpleChannelInboundHandler<FullHttpResponse> implements PooledConnection {
    /** An answer with its head, its padding and what comes ahead of it is never longer than this, in bytes. */
    private static final long MOST_BYTES = 2 * HttpTransport.MAX_BODY;
    private static final long STALL_MS = 100;
    private static final long SETTLE_US = 3_000;

    private final PooledTransport.Target target;
    private final Channel channel;
    private final Framing.Responses decoder;
    private PooledAttempt attempt;
    private FullHttpResponse answer;
    private boolean unasked;
    private long idleSince;
    private Future<?> stall;

    BackendConnection(PooledTransport.Target target, Channel channel, Framing.Responses decoder) {
        this.target = target;
        this.channel = channel;
        this.decoder = decoder;
    }

    @Override
    public void begin(PooledAttempt next) {
        attempt = next;
        decoder.countAfresh();
    }

    @Override
    public Channel channel() {
        return channel;
    }

    @Override
    public void idleFrom(long now) {
        idleSince = now;
    }

    @Override
    public boolean settled(long now) {
        return now - idleSince >= SETTLE_US;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (attempt == null || answer != null) {
            unasked = true;
        } else if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            answer = response.retain();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (answer != null) {
            answered();
        } else if (attempt == null) {
            if (decoder.bytes() > 0) {
                // Nobody has asked: what comes next on this connection can't be trusted.
                ctx.close();
            }
        } else if (decoder.bytes() > MOST_BYTES) {
            spoilt();
        } else if (decoder.bytes() > 0 && stall == null) {
            awaitMore(decoder.bytes());
        }
        super.channelReadComplete(ctx);
    }

    private void answered() {
        FullHttpResponse response = answer;
        PooledAttempt a = attempt;
        answer = null;
        attempt = null;
        stopAwaiting();
        // One that began before the request was written whole can't be its answer.
        boolean sound = response.decoderResult().isSuccess() && a.mayHaveRun();
        boolean clean = sound && !unasked && !decoder.holdsMore();
        decoder.countAfresh();
        // Back into the pool before the module hears: what it sends next may find no room for another.
        if (clean && HttpUtil.isKeepAlive(response) && target.ready()) {
            target.pool().release(channel);
        } else {
            channel.close();
        }
        Outcome outcome = HttpOutcomes.ofAnswer(response, sound);
        a.end(outcome, outcome == Outcome.OK ? new HttpAnswer(response.headers(), response.content()) : null);
        if (outcome != Outcome.OK) {
            response.release();
        }
    }

    /** Backends send their answers in one go: one that stops on its way has a length that is wrong, or no end. */
    private void awaitMore(long seen) {
        stall = channel.eventLoop().schedule(() -> {
            stall = null;
            if (attempt == null) {
                return;
            }
            if (decoder.bytes() == seen) {
                spoilt();
            } else {
                awaitMore(decoder.bytes());
            }
        }, STALL_MS, TimeUnit.MILLISECONDS);
    }

    private void stopAwaiting() {
        if (stall != null) {
            stall.cancel(false);
            stall = null;
        }
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
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        target.pool().closed(this);
        stopAwaiting();
        if (answer != null) {
            answer.release();
            answer = null;
        }
        if (attempt != null) {
            PooledAttempt a = attempt;
            attempt = null;
            a.end(HttpOutcomes.ofBreak(a.mayHaveRun()), null);
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
        if (cause instanceof TooLongHttpContentException) {
            spoilt();
        } else {
            ctx.close();
        }
    }
}
