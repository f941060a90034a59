package grebehoist.http;

import beechfall.Balancer.Outcome;
import grebehoist.backend.AttemptConnection;
import grebehoist.backend.PooledAttempt;
import grebehoist.backend.PooledTransport;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** The reading side of a connection to an HTTP backend. */
final class BackendConnection extends AttemptConnection<FullHttpResponse> implements AnswerStream.Source {
    /** An answer that is put together, with its head, its padding and what comes ahead of it, is never longer, in bytes. */
    private static final long MOST_BYTES = 4 * HttpTransport.MAX_BODY;
    /** A long answer of which nothing more comes for so long, though it is read, will not be whole. */
    private static final long SILENT_MS = 5_000;

    private boolean keeps;
    private boolean paused;
    private boolean movedOn;
    private Future<?> watch;

    BackendConnection(PooledTransport.Target target, Channel channel, Framing.Responses decoder) {
        super(target, channel, decoder, MOST_BYTES);
    }

    /** RFC 9110, 15.2: any number of 1xx answers may come ahead; 101 is final, as nobody has asked to switch. */
    @Override
    protected boolean isFinal(FullHttpResponse response) {
        return response.status().codeClass() != HttpStatusClass.INFORMATIONAL
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    @Override
    protected Verdict judge(FullHttpResponse response, PooledAttempt of) {
        boolean readable = response.decoderResult().isSuccess();
        // One that began before the request was written whole can't be its answer; that it was turned away can be told then.
        boolean sound = readable && of.mayHaveRun();
        Outcome outcome = HttpOutcomes.ofAnswer(response, sound, readable);
        return new Verdict(outcome, sound && HttpUtil.isKeepAlive(response),
                outcome == Outcome.OK ? new HttpAnswer(response.headers(), response.content()) : null);
    }

    /** A long answer has begun. Returns null where it is nobody's, or can't be the answer of the attempt that waits here. */
    AnswerStream stream(HttpResponse head, long length) {
        PooledAttempt waiting = attempt();
        if (waiting == null || !waiting.mayHaveRun()) {
            return null;
        }
        var begun = new AnswerStream(head.headers(), length, this);
        keeps = HttpUtil.isKeepAlive(head) && (length >= 0 || HttpUtil.isTransferEncodingChunked(head));
        watch = channel().eventLoop().scheduleWithFixedDelay(this::look, SILENT_MS, SILENT_MS, TimeUnit.MILLISECONDS);
        stream(begun);
        return begun;
    }

    @Override
    protected void moved() {
        movedOn = true;
    }

    private void look() {
        if (!movedOn && !paused) {
            channel().close();
        }
        movedOn = false;
    }

    @Override
    public void wanted(boolean more) {
        paused = !more;
        movedOn = true;
        channel().config().setAutoRead(more);
    }

    @Override
    public void cancel() {
        over();
        channel().close();
    }

    @Override
    public void over(boolean whole) {
        boolean kept = whole && keeps;
        over();
        streamed(kept);
    }

    private void over() {
        if (watch != null) {
            watch.cancel(false);
            watch = null;
        }
        if (paused) {
            wanted(true);
        }
    }
}
