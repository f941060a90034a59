package grebehoist.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
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

    private BackendConnection connection;
    private long length;

    AnswerAssembler() {
        super(HttpResponse.class);
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

    /** One that is long, or likely to be, is not kept waiting for more of it: its first bytes are timed. */
    @Override
    protected boolean holds(HttpResponse head, int bytes) {
        int most = !good(head) ? HttpTransport.MAX_BODY : length < 0 ? LIKELY_LONG : length <= HttpTransport.MAX_BODY ? HttpTransport.MAX_BODY : 0;
        return bytes <= most;
    }

    /** Only what can be an answer is passed on before its end: all else is judged by its head, and the rest is not waited for. */
    private boolean good(HttpResponse head) {
        return head.status().equals(HttpResponseStatus.OK) && head.decoderResult().isSuccess()
                && length <= HttpTransport.LONGEST_BODY;
    }

    @Override
    protected void whole(ChannelHandlerContext ctx, HttpResponse head, ByteBuf body, DecoderResult result) {
        var answer = new DefaultFullHttpResponse(head.protocolVersion(), head.status(), body, head.headers(), head.headers().copy().clear());
        answer.setDecoderResult(result);
        ctx.fireChannelRead(answer);
    }

    @Override
    protected Sink streams(ChannelHandlerContext ctx, HttpResponse head) {
        AnswerStream stream = good(head) ? connection.stream(head, length) : null;
        if (stream == null) {
            whole(ctx, head, Unpooled.EMPTY_BUFFER, DecoderResult.failure(new TooLongFrameException("an answer that is too long")));
        }
        return stream;
    }
}
