package grebehoist.http;

import beechfall.Balancer.Outcome;
import grebehoist.backend.AttemptConnection;
import grebehoist.backend.PooledAttempt;
import grebehoist.backend.PooledTransport;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/** The reading side of a connection to an HTTP backend. */
final class BackendConnection extends AttemptConnection<FullHttpResponse> {
    /** An answer with its head, its padding and what comes ahead of it is never longer than this, in bytes. */
    private static final long MOST_BYTES = 2 * HttpTransport.MAX_BODY;

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
        // One that began before the request was written whole can't be its answer.
        boolean sound = response.decoderResult().isSuccess() && of.mayHaveRun();
        Outcome outcome = HttpOutcomes.ofAnswer(response, sound);
        return new Verdict(outcome, sound && HttpUtil.isKeepAlive(response),
                outcome == Outcome.OK ? new HttpAnswer(response.headers(), response.content()) : null);
    }
}
