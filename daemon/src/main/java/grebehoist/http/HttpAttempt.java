package grebehoist.http;

import grebehoist.backend.PooledAttempt;
import grebehoist.backend.PooledTransport;
import grebehoist.engine.Timers;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** An attempt over HTTP. */
final class HttpAttempt extends PooledAttempt {
    private final Timers timers;
    private final HttpCall call;
    private final long deadlineUs;

    HttpAttempt(Timers timers, PooledTransport.Target target, HttpCall call, long deadlineUs, End end) {
        super(target, end);
        this.timers = timers;
        this.call = call;
        this.deadlineUs = deadlineUs;
    }

    @Override
    protected Object message(Channel on) {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(),
                call.body().retainedDuplicate());
        Headers.copyEndToEnd(call.headers(), request.headers());
        request.headers().set(Headers.TIMEOUT, Math.max(1, deadlineUs - timers.now()) + "u");
        if (!call.method().equals(HttpMethod.GET) || request.content().isReadable()) {
            HttpUtil.setContentLength(request, request.content().readableBytes());
        }
        return request;
    }
}
