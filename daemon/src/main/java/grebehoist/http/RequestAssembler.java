package grebehoist.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;

/**
 * Puts a client's requests together, or hands on the long ones. A head that can't be believed is turned away before its body is
 * waited for, and so is a body that is too long to be passed on at all.
 */
final class RequestAssembler extends Assembler<HttpRequest> {
    private final ClientConnection connection;
    private final HeldBodies heldBodies;
    private Upload upload;
    /** How much of the body that is being put together is counted as held. */
    private int counted;
    /** Whether the client of the request that is being read waits to hear that it may send its body. */
    private boolean owesContinue;

    RequestAssembler(ClientConnection connection, HeldBodies heldBodies) {
        super(HttpRequest.class);
        this.connection = connection;
        this.heldBodies = heldBodies;
    }

    /** Returns the body that is being handed on as it comes, or null. */
    Upload upload() {
        return upload != null && !upload.over() ? upload : null;
    }

    @Override
    protected boolean begins(ChannelHandlerContext ctx, HttpRequest head) {
        FullHttpResponse bad = judged(head);
        if (bad != null) {
            connection.part(bad);
            return false;
        }
        // RFC 9110, 10.1.1: the client waits for this before it sends its body. In the middle of another answer it
        // would be part of it.
        owesContinue = HttpUtil.is100ContinueExpected(head);
        if (connection.headCame()) {
            itsTurn(ctx.channel());
        }
        return true;
    }

    /** The request that is being read is the next to be answered. One that sends its body already need not hear that it may. */
    void itsTurn(Channel channel) {
        if (owesContinue && heldBytes() == 0) {
            owesContinue = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private static FullHttpResponse judged(HttpRequest head) {
        if (head.decoderResult().cause() instanceof TooLongHttpHeaderException) {
            return Answers.plain(
                    HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "a head of more than 8 KiB, or of more than " + Framing.MOST_FIELDS + " fields");
        }
        if (head.decoderResult().isFailure()) {
            return Answers.plain(HttpResponseStatus.BAD_REQUEST, "not a request that can be read");
        }
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean plainChunks = codings.size() == 1
                && codings.get(0).trim().equalsIgnoreCase("chunked")
                && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (!codings.isEmpty() && !plainChunks) {
            return Answers.plain(HttpResponseStatus.BAD_REQUEST, "a body that is not sent in plain chunks");
        }
        String expected = head.headers().get(HttpHeaderNames.EXPECT);
        if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
            return Answers.plain(HttpResponseStatus.EXPECTATION_FAILED, "nothing but 100-continue can be expected");
        }
        return HttpUtil.getContentLength(head, 0L) > HttpTransport.LONGEST_BODY ? tooLong() : null;
    }

    private static FullHttpResponse tooLong() {
        return Answers.plain(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is longer than 32 MiB");
    }

    @Override
    protected boolean holds(HttpRequest head, int bytes) {
        count(bytes);
        // One that is known to become too long is not held any further than a short one.
        boolean tooLong = bytes > HttpTransport.MAX_BODY && HttpUtil.getContentLength(head, -1L) > HeldBodies.LONGEST;
        return !tooLong && heldBodies.mayHold(bytes);
    }

    private void count(int bytes) {
        heldBodies.add(bytes - counted);
        counted = bytes;
    }

    @Override
    protected void forgets() {
        owesContinue = false;
        count(0);
    }

    @Override
    protected void whole(ChannelHandlerContext ctx, HttpRequest head, ByteBuf body, DecoderResult result) {
        if (result.isFailure()) {
            body.release();
            connection.part(Answers.plain(HttpResponseStatus.BAD_REQUEST, "not a request that can be read"));
        } else {
            connection.request(head, body, null);
        }
    }

    @Override
    protected Sink streams(ChannelHandlerContext ctx, HttpRequest head) {
        upload = connection.upload(head);
        return upload;
    }
}
