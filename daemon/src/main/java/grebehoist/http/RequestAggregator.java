package grebehoist.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Puts requests together. A head that can't be believed is turned away before its body is waited for, and so is a
 * body that is too long.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private final ClientConnection connection;

    RequestAggregator(ClientConnection connection) {
        super(HttpTransport.MAX_BODY);
        this.connection = connection;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) throws Exception {
        FullHttpResponse bad = part instanceof HttpRequest head ? judged(head) : null;
        if (bad != null) {
            ReferenceCountUtil.release(part);
            connection.part(bad);
        } else {
            super.decode(ctx, part, out);
        }
    }

    private static FullHttpResponse judged(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            return Answers.plain(HttpResponseStatus.BAD_REQUEST, "not a request that can be read");
        }
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean plainChunks = codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase("chunked")
                && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (!codings.isEmpty() && !plainChunks) {
            return Answers.plain(HttpResponseStatus.BAD_REQUEST, "a body that is not sent in plain chunks");
        }
        return null;
    }

    @Override
    protected Object newContinueResponse(HttpMessage head, int most, ChannelPipeline pipeline) {
        // Where the body is too long, that is told in its turn.
        return isContentLengthInvalid(head, most) ? null : super.newContinueResponse(head, most, pipeline);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        connection.part(Answers.plain(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is longer than 64 KiB"));
    }
}
