package grebehoist.http;

import grebehoist.backend.PooledAttempt;
import grebehoist.backend.PooledTransport;
import grebehoist.engine.Timers;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** An attempt over HTTP. */
final class HttpAttempt extends PooledAttempt {
    /** A backend that takes nothing of a long body for so long takes none of it: as for a client that sends nothing. */
    private static final long STUCK_US = 2_600_000;

    private final Timers timers;
    private final HttpCall call;
    private final long deadlineUs;
    /** When the backend last took something of a long body. */
    private long takenAt;

    HttpAttempt(Timers timers, PooledTransport.Target target, HttpCall call, long deadlineUs, End end) {
        super(target, deadlineUs, end);
        this.timers = timers;
        this.call = call;
        this.deadlineUs = deadlineUs;
    }

    @Override
    protected Object message(Channel on) {
        var request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, call.method(), call.uri(), call.body().retainedDuplicate());
        fill(request);
        if (!call.method().equals(HttpMethod.GET) || request.content().isReadable()) {
            HttpUtil.setContentLength(request, request.content().readableBytes());
        }
        return request;
    }

    private void fill(HttpRequest request) {
        Headers.copyEndToEnd(call.headers(), request.headers());
        request.headers().set(Headers.TIMEOUT, Math.max(1, deadlineUs - timers.now()) + "u");
    }

    @Override
    protected ChannelFuture send(Channel on) {
        if (call.upload() == null) {
            return super.send(on);
        }
        var head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri());
        fill(head);
        if (call.upload().length() >= 0) {
            HttpUtil.setContentLength(head, call.upload().length());
        } else {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        takenAt = timers.now();
        var writer = new Writer(on);
        on.write(head);
        if (!call.upload().take(writer)) {
            // What went to another backend is not there any more.
            throw new IllegalStateException("the body has gone");
        }
        on.flush();
        return writer.whole;
    }

    @Override
    public boolean stuck() {
        return call.upload() != null && call.upload().paused() && timers.now() - takenAt > STUCK_US;
    }

    /** Writes a body as it comes, and asks for more as the backend takes it. */
    private final class Writer implements Assembler.Sink {
        private final Channel on;
        private final ChannelPromise whole;

        Writer(Channel on) {
            this.on = on;
            this.whole = on.newPromise();
        }

        /** Each piece asks for the next as it goes, so that not even a connection that drains at once is read ahead of. */
        @Override
        public void part(ByteBuf bytes) {
            on.writeAndFlush(new DefaultHttpContent(bytes)).addListener(f -> {
                takenAt = timers.now();
                if (!f.isSuccess()) {
                    whole.tryFailure(f.cause());
                } else if (call.upload().paused()) {
                    // The buffer still counts a piece while it tells of it: of the last one in it nothing more would be
                    // told.
                    on.eventLoop().execute(this::goOn);
                }
            });
            if (!on.isWritable()) {
                call.upload().wanted(false);
            }
        }

        private void goOn() {
            if (call.upload().paused() && on.isWritable()) {
                call.upload().wanted(true);
            }
        }

        @Override
        public void last() {
            on.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> {
                if (f.isSuccess()) {
                    whole.trySuccess();
                } else {
                    whole.tryFailure(f.cause());
                }
            });
        }

        /** The client has stopped half-way: the backend, which has begun with nothing yet, is told by the end of its connection. */
        @Override
        public void broken(boolean unreadable) {
            whole.tryFailure(new IllegalStateException("the client has cut its body off"));
        }
    }
}
