package grebehoist.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.config.Json;
import grebehoist.engine.Counter;
import grebehoist.engine.Log;
import grebehoist.net.LoopChannels;
import grebehoist.net.LoopTasks;
import grebehoist.net.Network;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * One call to discovery, on a connection of its own: a few in a minute are not worth keeping any. Whatever becomes of it, it ends
 * once, on the event loop, and after a bounded time.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<FullHttpResponse> {
    /**
     * What is asked.
     *
     * @param address where discovery is
     * @param from the version from which changes are wanted, or -1 for the whole list
     * @param holdMs how long discovery may wait for a change
     * @param timeoutMs how long an answer may take
     * @param overdueMs after how long without an answer the owner is told that it is overdue, or -1 for never
     */
    record Question(InetSocketAddress address, long from, long holdMs, long timeoutMs, long overdueMs) {
        private String uri() {
            return from >= 0 ? PATH + "?from=" + from + "&hold_ms=" + holdMs : PATH;
        }
    }

    /** Hears what becomes of a call, on the event loop. */
    interface Owner {
        /** The call is over: with a list, or null where it has failed. */
        void ended(DiscoveryCall call, EndpointList list);

        /** No answer has come so far, though it should have. */
        void overdue(DiscoveryCall call);
    }

    private static final String PATH = "/v1/endpoints";
    private static final int MAX_ANSWER = 8 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final Question question;
    private final Owner owner;
    private final Log log;
    private final Future<?> timeout;
    private final Future<?> overdueTimer;
    private final ChannelFuture connecting;
    private boolean overdue;
    private boolean asked;
    private boolean broken;
    private boolean ended;

    /** Makes the call. */
    DiscoveryCall(Network network, Log log, Question question, Owner owner) {
        this.question = question;
        this.owner = owner;
        this.log = log;
        // Guards against a discovery that is cut off and says nothing: TCP alone would never tell.
        timeout = LoopTasks.after(
                network.loop(),
                log,
                question.timeoutMs,
                TimeUnit.MILLISECONDS,
                () -> finish(null, "no answer in time"));
        overdueTimer = question.overdueMs < 0
                ? null
                : LoopTasks.after(network.loop(), log, question.overdueMs, TimeUnit.MILLISECONDS, this::becomeOverdue);
        connecting = LoopChannels.connect(
                network.client()
                        .clone()
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MAX_ANSWER),
                                                DiscoveryCall.this);
                            }
                        }),
                network.address(question.address));
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                finish(null, "no connection: " + f.cause().getMessage());
            }
        });
    }

    Question question() {
        return question;
    }

    /** Returns whether its answer is overdue. */
    boolean isOverdue() {
        return overdue;
    }

    /** Returns whether it is over. */
    boolean hasEnded() {
        return ended;
    }

    /** Returns whether its connection broke after it was asked: an answer may have been on its way. */
    boolean isBroken() {
        return broken;
    }

    private void becomeOverdue() {
        overdue = true;
        owner.overdue(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, question.uri());
        request.headers()
                .set(HttpHeaderNames.HOST, question.address.getHostString() + ":" + question.address.getPort());
        HttpUtil.setKeepAlive(request, false);
        ctx.writeAndFlush(request);
        asked = true;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (!response.status().equals(HttpResponseStatus.OK)
                || response.decoderResult().isFailure()) {
            finish(null, "answer " + response.status());
            return;
        }
        try (InputStream body = new ByteBufInputStream(response.content())) {
            JsonNode json = Json.read(body);
            var list = new EndpointList(json);
            finish(list.wellFormed() ? list : null, "the answer is no list");
        } catch (IOException e) {
            finish(null, "the answer is not JSON");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        broken = asked;
        finish(null, "the connection broke");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken = asked && (cause instanceof IOException || cause instanceof PrematureChannelClosureException);
        finish(null, cause.toString());
    }

    private void finish(EndpointList list, String trouble) {
        if (ended) {
            return;
        }
        cancel();
        if (list == null) {
            log.count(Counter.DISCOVERY_CALL_FAILED);
            log.line("discovery: " + trouble);
        }
        owner.ended(this, list);
    }

    /** Ends it without a word to its owner. */
    void cancel() {
        ended = true;
        timeout.cancel(false);
        if (overdueTimer != null) {
            overdueTimer.cancel(false);
        }
        LoopChannels.close(connecting);
    }
}
