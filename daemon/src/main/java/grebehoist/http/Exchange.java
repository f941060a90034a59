package grebehoist.http;

import grebehoist.engine.Payload;
import grebehoist.engine.Request;
import grebehoist.engine.Responder;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;

/** A request and its one answer. */
final class Exchange implements Responder {
    private final HttpFront front;
    private final ClientConnection connection;
    private final FullHttpRequest request;
    private final long firstByteAt;
    private String id;

    Exchange(HttpFront front, ClientConnection connection, FullHttpRequest request, long firstByteAt) {
        this.front = front;
        this.connection = connection;
        this.request = request;
        this.firstByteAt = firstByteAt;
    }

    void begin() {
        Request read;
        try {
            var uri = new QueryStringDecoder(request.uri());
            if (uri.rawPath().equals("/ready")) {
                answer(front.ready() ? Answers.plain(HttpResponseStatus.OK, "ready")
                        : Answers.plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready"));
                return;
            }
            read = front.reader().read(request, uri, firstByteAt);
        } catch (RequestReader.Rejected e) {
            reject(Answers.plain(e.status(), e.getMessage()));
            return;
        } catch (IllegalArgumentException e) {
            reject(Answers.plain(HttpResponseStatus.BAD_REQUEST, "not a path that can be read"));
            return;
        }
        if (front.intake().knows(read.id())) {
            reject(Answers.plain(HttpResponseStatus.CONFLICT, "a request with this id is being served"));
            return;
        }
        id = read.id();
        front.intake().arrived(read, this);
    }

    /** The connection ends with this: on one that is kept, rubbish would come again at the speed of its answers. */
    private void reject(FullHttpResponse answer) {
        drop();
        connection.rejected(answer);
    }

    @Override
    public void served(Payload answer) {
        answer(Answers.served((HttpAnswer) answer));
    }

    @Override
    public void refused(long retryAfterUs) {
        answer(Answers.refused(retryAfterUs));
    }

    @Override
    public void failed() {
        answer(Answers.failed());
    }

    private void answer(FullHttpResponse answer) {
        if (!connection.isCurrent(this)) {
            answer.release();
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request) && !(front.partsSoon() && connection.last());
        HttpUtil.setKeepAlive(answer, keepAlive);
        drop();
        ChannelFuture written = connection.write(answer);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        connection.answered(keepAlive);
    }

    void clientGone() {
        drop();
        if (id != null) {
            front.intake().clientGone(id);
        }
    }

    /** Gives up the request's bytes. */
    void drop() {
        request.release();
    }
}
