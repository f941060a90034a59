package grebehoist.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** What clients are answered. */
final class Answers {
    private Answers() {}

    /** Passes a backend's answer on; the body goes with it. */
    static FullHttpResponse served(HttpAnswer served) {
        var answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, served.body());
        Headers.copyEndToEnd(served.headers(), answer.headers());
        HttpUtil.setContentLength(answer, served.body().readableBytes());
        return answer;
    }

    /**
     * Begins to pass a backend's long answer on.
     *
     * @param chunks whether it goes on in chunks; else its length is told, or its end is the connection's
     */
    static HttpResponse begun(AnswerStream served, boolean chunks, boolean keepAlive) {
        var answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        Headers.copyEndToEnd(served.headers(), answer.headers());
        if (served.length() >= 0) {
            HttpUtil.setContentLength(answer, served.length());
        }
        HttpUtil.setTransferEncodingChunked(answer, chunks);
        HttpUtil.setKeepAlive(answer, keepAlive);
        return answer;
    }

    /** Says that trying again is harmless, and when: RFC 9110, 10.2.3, with a fraction as the protocol page allows; never sooner. */
    static FullHttpResponse refused(long retryAfterUs) {
        FullHttpResponse answer = plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "not now; trying again is harmless");
        if (retryAfterUs > 0) {
            answer.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", (retryAfterUs + 999) / 1_000 / 1e3));
        }
        return answer;
    }

    static FullHttpResponse failed() {
        return plain(HttpResponseStatus.BAD_GATEWAY, "failed; it may have taken effect");
    }

    static FullHttpResponse plain(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        var answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        HttpUtil.setContentLength(answer, body.readableBytes());
        return answer;
    }
}
