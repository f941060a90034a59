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
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.ReferenceCountUtil;
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
    /** How often connections are looked at that hold no request. */
    private static final long SWEEP_US = 100_000;
    /** A connection on which nothing is asked for so long is closed. */
    private static final long IDLE_US = 2_200_000;
    /** A request must have come whole by then, counted from its first byte, a connection's first from the connect. */
    private static final long WHOLE_US = 2_200_000;
    /** A client that takes nothing of its answer for so long has gone. */
    private static final long UNREAD_US = 10_000_000;
    /** After the last answer what else the client sends is dropped, so much and for so long: see {@code hangUp}. */
    private static final long DROPPED = 256 * 1024;
    private static final long LINGER_US = 1_000_000;
    /** Requests read ahead on one connection; clients send one at a time, so more is not worth memory. */
    private static final int PIPELINED = 2;

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
        transport.loop().scheduleWithFixedDelay(this::sweep, SWEEP_US, SWEEP_US, TimeUnit.MICROSECONDS);
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

    /** One timer for all: one for each connection would have to be set anew with each request. */
    private void sweep() {
        long now = clock.now();
        List.copyOf(connections).forEach(c -> c.expire(now));
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
        private final Framing.Requests decoder = new Framing.Requests();
        private Channel channel;
        private Exchange exchange;
        private long firstByteAt = -1;
        private long lastReadAt;
        /** Since when nothing is open here: the connect, or the last answer. */
        private long idleSince;
        private boolean used;
        private FullHttpResponse parting;
        private long partedAt = -1;
        private long dropped;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            idleSince = clock.now();
            connections.add(this);
            channel.pipeline().addLast(decoder, new HttpResponseEncoder(), new Aggregator(this), new Requests(this));
        }

        /** A client's patience began when it sent; the nearest to it that can be known is its first byte. */
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (parting != null) {
                drop((ByteBuf) message);
                return;
            }
            if (firstByteAt < 0) {
                firstByteAt = Math.min(heldUpFrom, arrivedAt(clock.now()));
            }
            super.channelRead(ctx, message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            connections.remove(this);
            waiting.forEach(e -> e.request.release());
            waiting.clear();
            if (parting != null && partedAt < 0) {
                parting.release();
            }
            if (exchange != null) {
                Exchange gone = exchange;
                exchange = null;
                gone.clientGone();
            }
            super.channelInactive(ctx);
        }

        void request(FullHttpRequest request) {
            if (parting != null || !channel.isActive()) {
                request.release();
                return;
            }
            if (request.decoderResult().isFailure()) {
                request.release();
                part(plain(HttpResponseStatus.BAD_REQUEST, "not a request that can be read"));
                return;
            }
            // Where several came in one read, all of them came when that read did.
            lastReadAt = firstByteAt < 0 ? lastReadAt : firstByteAt;
            firstByteAt = -1;
            var next = new Exchange(this, request, lastReadAt);
            if (exchange == null) {
                sockets.clientBusy(channel);
                exchange = next;
                next.begin();
            } else if (waiting.size() < PIPELINED) {
                waiting.add(next);
            } else {
                request.release();
                part(plain(HttpResponseStatus.TOO_MANY_REQUESTS, "too many requests at once; these have not been begun"));
            }
        }

        /** The exchange is over; the next that was read ahead begins. */
        void answered(boolean keepAlive) {
            used = true;
            idleSince = clock.now();
            exchange = keepAlive ? waiting.poll() : null;
            if (exchange != null) {
                exchange.begin();
            } else if (keepAlive && parting != null) {
                hangUp();
            } else if (keepAlive) {
                sockets.clientIdle(channel);
            }
        }

        /** The exchange is no request that can be passed on: the answer says so, and is the last. */
        void rejected(FullHttpResponse answer) {
            exchange = null;
            waiting.forEach(e -> e.request.release());
            waiting.clear();
            if (parting != null) {
                parting.release();
                parting = answer;
                hangUp();
            } else {
                part(answer);
            }
        }

        /** Returns whether nothing more is to be answered after the exchange that is under way. */
        boolean last() {
            return waiting.isEmpty() && parting == null;
        }

        void closeIfIdle() {
            if (exchange == null && firstByteAt < 0 && parting == null) {
                channel.close();
            }
        }

        /** Whatever a client does or leaves undone, its connection is not kept for longer than it is of use. */
        void expire(long now) {
            if (exchange != null) {
                return;
            }
            if (partedAt >= 0) {
                if (now - partedAt > LINGER_US) {
                    channel.close();
                }
            } else if (firstByteAt >= 0) {
                // A byte now and then renews nothing: the time is for the whole request.
                if (now - (used ? firstByteAt : idleSince) > WHOLE_US) {
                    part(plain(HttpResponseStatus.REQUEST_TIMEOUT, "the request has not come in time"));
                }
            } else if (now - idleSince > (unsent() ? UNREAD_US : IDLE_US)) {
                channel.close();
            }
        }

        private boolean unsent() {
            ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
            return out != null && !out.isEmpty();
        }

        /** Answers what can't be read as a request, after those that came before it; nothing is read beyond it. */
        void part(FullHttpResponse answer) {
            if (parting != null) {
                answer.release();
                return;
            }
            parting = answer;
            // What it holds, and what comes, is not decoded any more.
            channel.pipeline().remove(decoder);
            if (exchange == null) {
                hangUp();
            }
        }

        /**
         * Closing with bytes unread would reset the connection, and the client would lose the answer: so this side
         * ends its sending, and some of the rest is read and dropped for a while.
         */
        private void hangUp() {
            partedAt = clock.now();
            sockets.clientIdle(channel);
            HttpUtil.setKeepAlive(parting, false);
            channel.writeAndFlush(parting).addListener(f -> {
                if (f.isSuccess() && dropped < DROPPED && channel instanceof SocketChannel socket) {
                    socket.shutdownOutput();
                } else {
                    channel.close();
                }
            });
        }

        private void drop(ByteBuf rest) {
            dropped += rest.readableBytes();
            rest.release();
            if (dropped >= DROPPED) {
                if (partedAt >= 0) {
                    channel.close();
                } else {
                    channel.config().setAutoRead(false);
                }
            }
        }
    }

    /**
     * Puts requests together. A head that can't be believed is turned away before its body is waited for, and so is a
     * body that is too long.
     */
    private static final class Aggregator extends HttpObjectAggregator {
        private final Connection connection;

        Aggregator(Connection connection) {
            super(Backends.MAX_BODY);
            this.connection = connection;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) throws Exception {
            FullHttpResponse bad = part instanceof HttpRequest head ? judged(head) : null;
            if (bad != null) {
                ReferenceCountUtil.release(part);
                connection.part(bad);
            } else {
                super.decode(ctx, part, out);
            }
        }

        private static FullHttpResponse judged(HttpRequest head) {
            if (head.decoderResult().isFailure()) {
                return plain(HttpResponseStatus.BAD_REQUEST, "not a request that can be read");
            }
            List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
            boolean plainChunks = codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase("chunked")
                    && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
            if (!codings.isEmpty() && !plainChunks) {
                return plain(HttpResponseStatus.BAD_REQUEST, "a body that is not sent in plain chunks");
            }
            return null;
        }

        @Override
        protected Object newContinueResponse(HttpMessage head, int most, ChannelPipeline pipeline) {
            // Where the body is too long, that is told in its turn.
            return isContentLengthInvalid(head, most) ? null : super.newContinueResponse(head, most, pipeline);
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
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A client that goes away, or stops half-way, is nothing to tell the operators.
            if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
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
                reject(plain(e.status, e.getMessage()));
                return;
            } catch (IllegalArgumentException e) {
                reject(plain(HttpResponseStatus.BAD_REQUEST, "not a path that can be read"));
                return;
            }
            id = incoming.id();
            proxy.arrived(incoming, this);
        }

        /** The connection ends with this: on one that is kept, rubbish would come again at the speed of its answers. */
        private void reject(FullHttpResponse answer) {
            request.release();
            connection.rejected(answer);
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
            boolean keepAlive = HttpUtil.isKeepAlive(request)
                    && !((closing || sockets.crowded()) && connection.last());
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
