package grebehoist.http;

import beechfall.Balancer.Outcome;
import grebehoist.engine.Attempt;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

/** One attempt, from the wish for a connection to its end. */
final class HttpAttempt implements Attempt {
    private final HttpTransport transport;
    private final HttpTransport.Target target;
    private final HttpCall call;
    private final long deadlineUs;
    private final End end;
    private ChannelFuture connecting;
    private Channel channel;
    private boolean written;
    private boolean ended;

    HttpAttempt(HttpTransport transport, HttpTransport.Target target, HttpCall call, long deadlineUs, End end) {
        this.transport = transport;
        this.target = target;
        this.call = call;
        this.deadlineUs = deadlineUs;
        this.end = end;
    }

    @Override
    public void start() {
        target.begun(this);
        Promise<Channel> promise = transport.loop().newPromise();
        connecting = target.pool.acquireOrConnect(promise);
        promise.addListener((Future<Channel> f) -> connected(f));
    }

    @Override
    public boolean mayHaveRun() {
        return written;
    }

    private void connected(Future<Channel> f) {
        connecting = null;
        if (!f.isSuccess()) {
            end(Outcome.CONNECT_FAILED, null);
        } else if (ended) {
            f.getNow().close();
        } else {
            channel = f.getNow();
            try {
                write();
            } catch (RuntimeException e) {
                // A request that can't be written down has gone nowhere; nobody else must suffer for it.
                abort(Outcome.NOT_SENT);
            }
        }
    }

    private void write() {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(),
                call.body().retainedDuplicate());
        Headers.copyEndToEnd(call.headers(), request.headers());
        request.headers().set(Headers.TIMEOUT, Math.max(1, deadlineUs - transport.timers().now()) + "u");
        if (!call.method().equals(HttpMethod.GET) || request.content().isReadable()) {
            HttpUtil.setContentLength(request, request.content().readableBytes());
        }
        channel.pipeline().get(BackendConnection.class).begin(this);
        channel.writeAndFlush(request).addListener(f -> {
            written = f.isSuccess();
            if (!written) {
                abort(Outcome.CONNECT_FAILED);
            }
        });
    }

    /** Its connection is closed before anybody hears: no other attempt goes out beside it. */
    @Override
    public void abort(Outcome outcome) {
        if (ended) {
            return;
        }
        // The close fails a write that is under way, and that is not to end it a second time.
        ended = true;
        if (channel != null) {
            channel.close();
        } else if (connecting != null) {
            connecting.channel().close();
        }
        report(outcome, null);
    }

    /** What has come from the other side ends it. */
    void end(Outcome outcome, HttpAnswer answer) {
        if (!ended) {
            ended = true;
            report(outcome, answer);
        }
    }

    private void report(Outcome outcome, HttpAnswer answer) {
        target.ended(this);
        end.ended(outcome, answer);
    }
}
