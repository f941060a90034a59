package beechfall.proxy;

import beechfall.Balancer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The clients' side: takes requests in, turns bad ones away, and gives each good one exactly one answer. */
final class Frontend {
    private static final Pattern TIMEOUT = Pattern.compile("(\\d{1,8})([mu])");
    /** An answer is on its way for a moment, and the proxy may be late by a few milliseconds. */
    private static final long ON_ITS_WAY_US = 8_000;
    /** How often the loop shows that it runs, and how late that may be before it counts as held up. */
    private static final long BEAT_US = 10_000;
    private static final long IDLE_S = 60;
    private static final long LINGER_MS = 1_000;
    /** Requests read ahead on one connection; clients send one at a time, so more is not worth memory. */
    private static final int PIPELINED = 4;

    private final Clock clock;
    private final Log log;
    private final Proxy proxy;
    private final Sockets sockets;
    private final BooleanSupplier ready;
    private final Map<String, Balancer.Effect> effects = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();
    private final Set<Connection> connections = new HashSet<>();
    private Channel listener;
    private boolean closing;
    private long beatAt;
    private long heldUpFrom = Long.MAX_VALUE;

    Frontend(Clock clock, Log log, Proxy proxy, Sockets sockets, Balancer.Settings settings, BooleanSupplier ready) {
        this.clock = clock;
        this.log = log;
        this.proxy = proxy;
        this.sockets = sockets;
        this.ready = ready;
        settings.classes().forEach(c -> effects.put(c.name(), c.effect()));
        settings.tenants().forEach(t -> tenants.add(t.name()));
    }

    ChannelFuture listen(Transport transport, InetSocketAddress address) {
        beatAt = clock.now();
        transport.loop().scheduleWithFixedDelay(this::beat, BEAT_US, BEAT_US, TimeUnit.MICROSECONDS);
        ChannelFuture bound = transport.server().clone()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        sockets.clientOpened(channel);
                        channel.pipeline().addLast(new Connection());
                    }
                }).bind(transport.address(address));
        listener = bound.channel();
        sockets.listener(listener);
        return bound;
    }

    private void beat() {
        heldUpFrom = arrivedAt(Long.MAX_VALUE);
        beatAt = clock.now();
    }

    /**
     * When a byte that is read now may have come. Where the loop was held up, by a pause of the process or a long batch,
     * the byte may have waited all the while, and a deadline counted from now would be too late. That shows in an
     * overdue beat; as beats and reads take turns, it holds until the beat after it.
     */
    private long arrivedAt(long otherwise) {
        return clock.now() - beatAt > 2 * BEAT_US ? beatAt + BEAT_US : otherwise;
    }

    /** From now on each answer is its connection's last, so that the clients go elsewhere. */
    void closeAfterAnswers() {
        closing = true;
    }

    /** Accepts no more, and closes the connections on which nothing is asked. */
    void stopListening() {
        closing = true;
        listener.close();
        List.copyOf(connections).forEach(Connection::closeIfIdle);
    }

    /** Returns whether any client is still connected: it waits for an answer, or the answer is still being written. */
    boolean busy() {
        return !connections.isEmpty();
    }

    /** A request that can't be passed on, and the status that says so. */
    private static final class Rejected extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        Rejected(HttpResponseStatus status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    /** One client's connection. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final Queue<Exchange> waiting = new ArrayDeque<>();
        private Channel channel;
        private Exchange exchange;
        private long firstByteAt = -1;
        private long lastReadAt;
        private FullHttpResponse parting;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            connections.add(this);
            channel.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_S, TimeUnit.SECONDS), new HttpServerCodec(),
                    new Aggregator(this), new Requests(this));
        }

        /** A client's patience began when it sent; the nearest to it that can be known is its first byte. */
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (firstByteAt < 0) {
                firstByteAt = Math.min(heldUpFrom, arrivedAt(clock.now()));
                sockets.clientIdle(channel, false);
            }
            super.channelRead(ctx, message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            connections.remove(this);
            waiting.forEach(e -> e.request.release());
            waiting.clear();
            if (exchange != null) {
                Exchange gone = exchange;
                exchange = null;
                gone.clientGone();
            }
            super.channelInactive(ctx);
        }

        void request(FullHttpRequest request) {
            if (parting != null || request.decoderResult().isFailure()) {
                request.release();
                part(plain(HttpResponseStatus.BAD_REQUEST, "not a request that can be read"));
                return;
            }
            // Where several came in one read, all of them came when that read did.
            lastReadAt = firstByteAt < 0 ? lastReadAt : firstByteAt;
            firstByteAt = -1;
            var next = new Exchange(this, request, lastReadAt);
            if (exchange == null) {
                exchange = next;
                next.begin();
            } else {
                waiting.add(next);
                channel.config().setAutoRead(waiting.size() < PIPELINED);
            }
        }

        /** The exchange is over; the next that was read ahead begins. */
        void answered(boolean keepAlive) {
            exchange = keepAlive ? waiting.poll() : null;
            if (exchange != null) {
                channel.config().setAutoRead(true);
                exchange.begin();
            } else if (parting != null) {
                hangUp();
            } else if (keepAlive && firstByteAt < 0) {
                // Not sooner: a new connection's first request may wait unread, and is taken all the same.
                sockets.clientIdle(channel, true);
            }
        }

        /** Returns whether nothing more is to be answered after the exchange that is under way. */
        boolean last() {
            return waiting.isEmpty() && parting == null;
        }

        void closeIfIdle() {
            if (exchange == null && firstByteAt < 0) {
                channel.close();
            }
        }

        /** Answers what can't be read as a request, after those that came before it; nothing is read beyond it. */
        void part(FullHttpResponse answer) {
            if (parting == null) {
                parting = answer;
                if (exchange == null) {
                    hangUp();
                }
            }
        }

        /**
         * Closing with bytes unread would reset the connection, and the client would lose the answer: so this side
         * ends its sending, and the rest is read and dropped for a while.
         */
        private void hangUp() {
            HttpUtil.setKeepAlive(parting, false);
            channel.writeAndFlush(parting).addListener(f -> {
                ((SocketChannel) channel).shutdownOutput();
                channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            });
        }
    }

    /** Puts requests together; one that is too long is answered as such, and its rest is not waited for. */
    private static final class Aggregator extends HttpObjectAggregator {
        private final Connection connection;

        Aggregator(Connection connection) {
            super(Backends.MAX_BODY);
            this.connection = connection;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            connection.part(plain(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is longer than 64 KiB"));
        }
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Connection connection;

        Requests(Connection connection) {
            this.connection = connection;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            connection.request(request.retain());
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof IdleStateEvent && connection.exchange == null) {
                ctx.close();
            }
            super.userEventTriggered(ctx, event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.failure("a client's connection failed", cause);
            }
            ctx.close();
        }
    }

    private static FullHttpResponse plain(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        var answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        HttpUtil.setContentLength(answer, body.readableBytes());
        return answer;
    }

    /** A request and its one answer. */
    private final class Exchange implements Proxy.Reply {
        private final Connection connection;
        private final FullHttpRequest request;
        private final long firstByteAt;
        private String id;

        Exchange(Connection connection, FullHttpRequest request, long firstByteAt) {
            this.connection = connection;
            this.request = request;
            this.firstByteAt = firstByteAt;
        }

        void begin() {
            Proxy.Incoming incoming;
            try {
                var uri = new QueryStringDecoder(request.uri());
                if (uri.rawPath().equals("/ready")) {
                    answer(ready.getAsBoolean() && !closing ? plain(HttpResponseStatus.OK, "ready")
                            : plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready"));
                    return;
                }
                incoming = incoming(uri);
            } catch (Rejected e) {
                answer(plain(e.status, e.getMessage()));
                return;
            } catch (IllegalArgumentException e) {
                answer(plain(HttpResponseStatus.BAD_REQUEST, "not a path that can be read"));
                return;
            }
            id = incoming.id();
            proxy.arrived(incoming, this);
        }

        private Proxy.Incoming incoming(QueryStringDecoder uri) throws Rejected {
            if (!uri.rawPath().equals("/api") && !uri.rawPath().startsWith("/api/")) {
                throw new Rejected(HttpResponseStatus.NOT_FOUND, "no such path");
            }
            HttpHeaders headers = request.headers();
            String requestClass = header(headers, Headers.REQUEST_CLASS);
            Balancer.Effect effect = effects.get(requestClass);
            if (effect == null) {
                throw new Rejected(HttpResponseStatus.BAD_REQUEST, "unknown " + Headers.REQUEST_CLASS);
            }
            HttpMethod wanted = effect == Balancer.Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
            if (!request.method().equals(wanted)) {
                throw new Rejected(HttpResponseStatus.METHOD_NOT_ALLOWED, "this class is asked for with " + wanted);
            }
            if (effect == Balancer.Effect.KEYED) {
                header(headers, Headers.IDEMPOTENCY_KEY);
            }
            String tenant = null;
            if (!tenants.isEmpty()) {
                tenant = header(headers, Headers.TENANT);
                if (!tenants.contains(tenant)) {
                    throw new Rejected(HttpResponseStatus.BAD_REQUEST, "unknown " + Headers.TENANT);
                }
            }
            String requestId = header(headers, Headers.REQUEST_ID);
            if (proxy.knows(requestId)) {
                throw new Rejected(HttpResponseStatus.CONFLICT, "a request with this id is being served");
            }
            List<String> keys = uri.parameters().get("k");
            long patienceUs = patienceUs(header(headers, Headers.TIMEOUT));
            long deadline = firstByteAt + patienceUs - Math.min(ON_ITS_WAY_US, patienceUs / 10);
            return new Proxy.Incoming(requestId, requestClass, tenant, keys == null ? null : keys.get(0),
                    "1".equals(headers.get(Headers.RETRIED)), deadline,
                    new Backends.Outgoing(request.method(), request.uri(), headers, request.content()));
        }

        private static String header(HttpHeaders headers, String name) throws Rejected {
            String value = headers.get(name);
            if (value == null || value.isEmpty()) {
                throw new Rejected(HttpResponseStatus.BAD_REQUEST, "missing " + name);
            }
            return value;
        }

        private static long patienceUs(String text) throws Rejected {
            Matcher m = TIMEOUT.matcher(text);
            if (!m.matches() || Long.parseLong(m.group(1)) == 0) {
                throw new Rejected(HttpResponseStatus.BAD_REQUEST, "bad " + Headers.TIMEOUT);
            }
            return Long.parseLong(m.group(1)) * (m.group(2).equals("m") ? 1_000 : 1);
        }

        @Override
        public void served(Backends.Answer served) {
            var answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, served.body());
            Headers.copyEndToEnd(served.headers(), answer.headers());
            HttpUtil.setContentLength(answer, served.body().readableBytes());
            answer(answer);
        }

        @Override
        public void refused(long retryAfterUs) {
            FullHttpResponse answer = plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "not now; trying again is harmless");
            if (retryAfterUs > 0) {
                answer.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6));
            }
            answer(answer);
        }

        @Override
        public void failed() {
            answer(plain(HttpResponseStatus.BAD_GATEWAY, "failed; it may have taken effect"));
        }

        private void answer(FullHttpResponse answer) {
            if (connection.exchange != this) {
                answer.release();
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(request) && !(closing && connection.last());
            HttpUtil.setKeepAlive(answer, keepAlive);
            request.release();
            ChannelFuture written = connection.channel.writeAndFlush(answer);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            connection.answered(keepAlive);
        }

        void clientGone() {
            request.release();
            if (id != null) {
                proxy.clientGone(id);
            }
        }
    }
}
