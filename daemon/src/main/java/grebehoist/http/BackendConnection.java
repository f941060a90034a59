package grebehoist.http;

import beechfall.Balancer.Outcome;
import grebehoist.backend.AttemptConnection;
import grebehoist.backend.PooledAttempt;
import grebehoist.backend.PooledTransport;
import grebehoist.engine.Timers;
import grebehoist.net.ReadSwitch;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;

/** The reading side of a connection to an HTTP backend. */
final class BackendConnection extends AttemptConnection<FullHttpResponse> implements AnswerStream.Source {
    /** An answer that is put together, with its head, its padding and what comes ahead of it, is never longer, in bytes. */
    private static final long MOST_BYTES = 4 * HttpTransport.MAX_BODY;
    /** A long answer of which nothing more comes for so long, though it is read, will not be whole. */
    private static final long SILENT_US = 5_000_000;

    /** The long answer that is on its way, or null. */
    private AnswerStream stream;

    private boolean keeps;
    private final ReadSwitch reading;
    private boolean movedOn;
    private final Timers timers;
    private Timers.Timer watch;

    BackendConnection(PooledTransport.Target target, Channel channel, Framing.Responses decoder, Timers timers) {
        super(target, channel, decoder, MOST_BYTES);
        this.timers = timers;
        this.reading = new ReadSwitch(channel);
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
        // One that began before the request was written whole can't be its answer; that it was turned away can be told
        // then.
        boolean sound = readable && of.mayHaveRun();
        Outcome outcome = HttpOutcomes.ofAnswer(response, sound, readable);
        return new Verdict(
                outcome,
                sound && HttpUtil.isKeepAlive(response),
                outcome == Outcome.OK ? new HttpAnswer(response.headers(), response.content()) : null);
    }

    /** Returns whether an attempt waits here whose answer may have begun: its last byte has been written. */
    boolean awaited() {
        return attempt() != null && attempt().mayHaveRun();
    }

    @Override
    public boolean passOn() {
        ChannelHandlerContext assembler = channel().pipeline().context(AnswerAssembler.class);
        return assembler != null && ((AnswerAssembler) assembler.handler()).passOn(assembler);
    }

    /** A long answer has begun. Returns null where it is nobody's, or can't be the answer of the attempt that waits here. */
    AnswerStream stream(HttpResponse head, long length) {
        if (!awaited()) {
            return null;
        }
        var begun = new AnswerStream(head.headers(), length, this);
        keeps = HttpUtil.isKeepAlive(head) && (length >= 0 || HttpUtil.isTransferEncodingChunked(head));
        watch = timers.at(timers.now() + SILENT_US, this::look);
        stream = begun;
        stream(begun);
        return begun;
    }

    @Override
    protected void streamMoved() {
        movedOn = true;
    }

    private void look() {
        if (!movedOn && !reading.rests()) {
            stream.because(CutOff.BACKEND_SILENT);
            channel().close();
        } else {
            movedOn = false;
            watch = timers.at(timers.now() + SILENT_US, this::look);
        }
    }

    @Override
    public void wanted(boolean more) {
        movedOn = true;
        if (more) {
            reading.resume();
        } else {
            reading.rest();
        }
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

    @Override
    protected void failing(Throwable cause) {
        if (stream != null && !(cause instanceof IOException)) {
            stream.because(cause instanceof CodecException ? CutOff.BACKEND_UNREADABLE : CutOff.BACKEND_FAILED);
        }
    }

    private void over() {
        stream = null;
        if (watch != null) {
            watch.cancel();
            watch = null;
        }
        reading.resume();
    }
}
