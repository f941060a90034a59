package grebehoist.http;

import grebehoist.engine.Timers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Puts a backend's answers together, or hands on the long ones as they come. A short answer is judged as a whole before the
 * client hears of it, as a spoilt one may be asked for again elsewhere; of a long one the first bytes count.
 */
final class AnswerAssembler extends Assembler<HttpResponse> {
    /** An answer of unknown length that has come to so much, and has more, is passed on as it comes. */
    private static final int LIKELY_LONG = 16 * 1024;
    /** It is passed on, too, when it has been held for so long: a twentieth of what holding the rest of a long one back may take. */
    private static final long HELD_US = 100_000;

    private final Timers timers;
    private BackendConnection connection;
    private long length;
    private Timers.Timer held;

    AnswerAssembler(Timers timers) {
        super(HttpResponse.class);
        this.timers = timers;
    }

    /** Names the connection, which needs this one's pipeline to be made. */
    void connection(BackendConnection its) {
        connection = its;
    }

    @Override
    protected boolean begins(ChannelHandlerContext ctx, HttpResponse head) {
        try {
            length = HttpUtil.getContentLength(head, -1L);
        } catch (NumberFormatException e) {
            length = -1;
            head.setDecoderResult(DecoderResult.failure(e));
        }
        return true;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (held == null && mayBeLong()) {
            held = timers.at(timers.now() + HELD_US, () -> passOn(ctx));
        }
        super.channelReadComplete(ctx);
    }

    /** Returns whether something is held that has no length and may turn out to be long. */
    private boolean mayBeLong() {
        HttpResponse head = holding();
        return head != null && good(head) && length < 0;
    }

    /**
     * One that is long, or likely to be, is not kept waiting for more of it: its first bytes are timed. Nor is one that can't be
     * read, or passed on: it is judged by its head.
     */
    @Override
    protected boolean holds(HttpResponse head, int bytes) {
        // That it ended too soon is told by the end itself, which has its own outcome.
        boolean unreadable = head.decoderResult().isFailure()
                && !(head.decoderResult().cause() instanceof PrematureChannelClosureException);
        if (unreadable || length > (good(head) ? HttpTransport.MAX_BODY : HttpTransport.LONGEST_BODY)) {
            return false;
        }
        return bytes <= (good(head) && length < 0 ? LIKELY_LONG : HttpTransport.MAX_BODY);
    }

    @Override
    protected void forgets() {
        if (held != null) {
            held.cancel();
            held = null;
        }
    }

    /** Passes on what may turn out to be long. Returns whether there was such an answer, and somebody to hear it. */
    boolean passOn(ChannelHandlerContext ctx) {
        boolean passes = mayBeLong() && connection.awaited();
        if (passes) {
            handOn(ctx);
        }
        return passes;
    }

    /** Only what can be an answer is passed on before its end. */
    private boolean good(HttpResponse head) {
        return head.status().equals(HttpResponseStatus.OK)
                && head.decoderResult().isSuccess()
                && length <= HttpTransport.LONGEST_BODY;
    }

    @Override
    protected void whole(ChannelHandlerContext ctx, HttpResponse head, ByteBuf body, DecoderResult result) {
        var answer = new DefaultFullHttpResponse(
                head.protocolVersion(),
                head.status(),
                body,
                head.headers(),
                head.headers().copy().clear());
        answer.setDecoderResult(result);
        ctx.fireChannelRead(answer);
    }

    @Override
    protected Sink streams(ChannelHandlerContext ctx, HttpResponse head) {
        AnswerStream stream = good(head) ? connection.stream(head, length) : null;
        if (stream == null) {
            whole(
                    ctx,
                    head,
                    Unpooled.EMPTY_BUFFER,
                    DecoderResult.failure(new TooLongFrameException("an answer that is too long")));
        }
        return stream;
    }
}
