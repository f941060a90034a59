package grebehoist.operations;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Json;
import grebehoist.engine.Log;
import grebehoist.net.LoopChannels;
import grebehoist.net.LoopTasks;
import grebehoist.net.Network;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Where operators call: HTTP/1.1, one call on a connection. Any 2xx means yes, anything else no. Runs on the loop's thread;
 * the client listeners' limits are not its own, so it answers however busy these are.
 */
public final class Door {
    /** What can be asked here. Called on the loop's thread, and each answer is given there. */
    public interface Calls {
        /** Returns whether this process can serve. */
        boolean ready();

        /** Returns the figures. */
        ObjectNode figures();

        /** Returns what is held of the other proxies, or null where there is nothing to do with them. */
        ObjectNode members();

        /** Returns whether a backend is listed, or suspended. */
        boolean knows(String backend);

        /** Takes a backend out; the consumer hears whether that is so. */
        void suspend(String backend, Consumer<Boolean> then);

        /** Puts a backend back; the consumer hears whether that is so. */
        void resume(String backend, Consumer<Boolean> then);

        /** Sends clients elsewhere, or no longer; the consumer hears whether that is so. */
        void drain(boolean on, Consumer<Boolean> then);
    }

    /** Descriptors that it may hold; the oldest that has asked nothing yet gives way. */
    public static final int MOST_CALLERS = 24;
    /** A call must be over by then. */
    private static final long MOST_MS = 5_000;

    private static final int MOST_BODY = 4 * 1024;
    private static final String BACKENDS = "/v1/backends/";

    /** Null at a process that has no pool of the platform's. */
    private final Calls calls;

    private final Log log;
    private final Set<Channel> callers = new LinkedHashSet<>();
    /** Null where nothing is distributed; set once. */
    private volatile DistributionCalls distribution;

    /**
     * Makes a door that is yet to be opened.
     *
     * @param calls what is asked of the platform's pool; null where there is none
     */
    public Door(Calls calls, Log log) {
        this.calls = calls;
        this.log = log;
    }

    /** Tells who answers what is asked of the distribution of configuration. */
    public void distribution(DistributionCalls answers) {
        distribution = answers;
    }

    /** Listens; the future tells whether the address could be had. */
    public ChannelFuture listen(Network network, InetSocketAddress address) {
        return LoopChannels.bind(
                network.server()
                        .clone()
                        .handler(LoopChannels.keepAccepting(log))
                        .childHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                admit(channel);
                                channel.pipeline()
                                        .addLast(
                                                new HttpServerCodec(),
                                                new HttpObjectAggregator(MOST_BODY),
                                                new Caller());
                            }
                        }),
                network.address(address));
    }

    private void admit(Channel channel) {
        if (callers.size() >= MOST_CALLERS) {
            callers.iterator().next().close();
        }
        callers.add(channel);
        var late = LoopTasks.closeAfter(channel, MOST_MS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(f -> {
            callers.remove(channel);
            late.cancel(false);
        });
    }

    private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean asked;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (asked) {
                return;
            }
            asked = true;
            try {
                if (request.decoderResult().isFailure()) {
                    answer(ctx.channel(), HttpResponseStatus.BAD_REQUEST, "not a call that can be read");
                } else {
                    call(ctx.channel(), request, new QueryStringDecoder(request.uri()));
                }
            } catch (IllegalArgumentException e) {
                answer(ctx.channel(), HttpResponseStatus.BAD_REQUEST, "not a path that can be read");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.failure("a call at the operators' door failed", cause);
            }
            ctx.close();
        }
    }

    private void call(Channel to, FullHttpRequest request, QueryStringDecoder uri) {
        // Decoded part by part, as an id may hold a slash.
        String path = uri.rawPath();
        HttpMethod method = request.method();
        switch (path) {
            case "/v1/readyz" -> {
                if (expect(to, method, HttpMethod.GET)) {
                    boolean ready = calls == null ? distribution.ready() : calls.ready();
                    answer(
                            to,
                            ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                            ready ? "can serve" : "can't serve yet");
                }
            }
            case "/v1/distribution", "/v1/distribution/call" -> {
                if (distribution == null) {
                    answer(to, HttpResponseStatus.NOT_FOUND, "nothing is distributed to this process");
                } else if (expect(to, method, path.endsWith("call") ? HttpMethod.POST : HttpMethod.GET)) {
                    distribution.call(request, uri, (status, body) -> answer(to, status, body));
                }
            }
            default -> {
                if (calls == null) {
                    answer(to, HttpResponseStatus.NOT_FOUND, "no such call");
                } else {
                    pool(to, method, path);
                }
            }
        }
    }

    private void pool(Channel to, HttpMethod method, String path) {
        switch (path) {
            case "/v1/metrics" -> {
                if (expect(to, method, HttpMethod.GET)) {
                    answer(to, HttpResponseStatus.OK, calls.figures());
                }
            }
            case "/v1/members" -> {
                if (expect(to, method, HttpMethod.GET)) {
                    ObjectNode members = calls.members();
                    if (members == null) {
                        answer(to, HttpResponseStatus.NOT_FOUND, "this process speaks to no other proxies");
                    } else {
                        answer(to, HttpResponseStatus.OK, members);
                    }
                }
            }
            case "/v1/proxy/drain", "/v1/proxy/activate" -> {
                if (expect(to, method, HttpMethod.POST)) {
                    boolean on = path.endsWith("drain");
                    log.line("operators: " + (on ? "drain" : "activate"));
                    calls.drain(on, done -> answer(to, done, on ? "drained" : "active"));
                }
            }
            default -> backend(to, method, path);
        }
    }

    private void backend(Channel to, HttpMethod method, String path) {
        int end = path.lastIndexOf('/');
        String what = path.substring(end + 1);
        boolean suspend = what.equals("suspend");
        if (!path.startsWith(BACKENDS) || end <= BACKENDS.length() || !suspend && !what.equals("resume")) {
            answer(to, HttpResponseStatus.NOT_FOUND, "no such call");
            return;
        }
        String id = QueryStringDecoder.decodeComponent(
                path.substring(BACKENDS.length(), end).replace("+", "%2B"));
        if (!expect(to, method, HttpMethod.POST)) {
            return;
        }
        if (!calls.knows(id)) {
            answer(to, HttpResponseStatus.NOT_FOUND, "no backend '" + id + "' is listed");
        } else if (suspend) {
            log.line("operators: suspend " + id);
            calls.suspend(id, done -> answer(to, done, "suspended"));
        } else {
            log.line("operators: resume " + id);
            calls.resume(id, done -> answer(to, done, "resumed"));
        }
    }

    private boolean expect(Channel to, HttpMethod method, HttpMethod wanted) {
        if (method.equals(wanted)) {
            return true;
        }
        answer(to, HttpResponseStatus.METHOD_NOT_ALLOWED, "this is called with " + wanted);
        return false;
    }

    private void answer(Channel to, boolean done, String state) {
        answer(
                to,
                done ? HttpResponseStatus.OK : HttpResponseStatus.INSUFFICIENT_STORAGE,
                done ? state : "not on disk yet; it holds in this process, and is written as soon as that can be");
    }

    private void answer(Channel to, HttpResponseStatus status, String state) {
        answer(
                to,
                status,
                Json.object()
                        .put(status.codeClass().equals(HttpResponseStatus.OK.codeClass()) ? "state" : "error", state));
    }

    private void answer(Channel to, HttpResponseStatus status, JsonNode body) {
        var answer = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body.toString() + "\n", StandardCharsets.UTF_8));
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json").set(HttpHeaderNames.CONNECTION, "close");
        HttpUtil.setContentLength(answer, answer.content().readableBytes());
        to.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }
}
