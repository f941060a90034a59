package beechfall.proxy;

import beechfall.Balancer;
import beechfall.Balancer.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.ChannelPoolHandler;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The connections to the backends, and what becomes of the attempts sent over them. A connection carries one attempt
 * at a time. Nothing is ever sent again from here: each attempt is one that the module has asked for.
 */
final class Backends {
    static final int MAX_BODY = 64 * 1024;

    /** An answer with its head, its padding and what comes ahead of it is never longer than this. */
    private static final long MOST_BYTES = 2 * MAX_BODY;
    private static final long STALL_MS = 100;
    private static final long SETTLE_US = 3_000;

    /** What goes to a backend; it is the same for each attempt, but for the time left. */
    record Outgoing(HttpMethod method, String uri, HttpHeaders headers, ByteBuf body) { }

    /** A backend's 200. The body is the receiver's to release. */
    record Answer(HttpHeaders headers, ByteBuf body) { }

    /** A line of the list, and where this proxy finds that backend. */
    record Listed(Balancer.Backend backend, InetSocketAddress address) { }

    /** Hears the one end of an attempt; {@code answer} is there for {@link Outcome#OK} alone. */
    interface End {
        void ended(Outcome outcome, long latencyUs, Answer answer);
    }

    private final Clock clock;
    private final EventLoop loop;
    private final Transport transport;
    private final Sockets sockets;
    private final Bootstrap bootstrap;
    private final long idleUs;
    private final Map<String, Target> targets = new HashMap<>();

    Backends(Clock clock, Transport transport, Sockets sockets, long connIdleUs, long connectTimeoutUs) {
        this.clock = clock;
        this.loop = transport.loop();
        this.transport = transport;
        this.sockets = sockets;
        // Well before the backend does: a request that crosses its close ends as a reset, and may have run.
        this.idleUs = connIdleUs * 3 / 5;
        this.bootstrap = transport.client().clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1_000));
    }

    /** Returns whether there is a backend to send to. */
    boolean anyReady() {
        return targets.values().stream().anyMatch(t -> t.ready);
    }

    /**
     * Takes over what discovery tells.
     *
     * @return the attempts that are to be stopped, as no byte of theirs has gone to a backend that wants nothing new
     */
    List<Attempt> update(Balancer.ListKind kind, List<Listed> listed) {
        var unsent = new ArrayList<Attempt>();
        var named = new HashSet<String>();
        for (Listed l : listed) {
            named.add(l.backend().id());
            Target target = targets.get(l.backend().id());
            if (target == null || !target.address.equals(l.address())) {
                if (target != null) {
                    // The same backend in another place: the old one gets nothing new.
                    target.ready = false;
                    unsent.addAll(target.stopped());
                }
                target = new Target(l.address());
                targets.put(l.backend().id(), target);
            }
            target.ready = l.backend().state() == Balancer.State.READY;
        }
        if (kind != Balancer.ListKind.DELTA) {
            targets.forEach((id, t) -> t.ready &= named.contains(id));
        }
        targets.values().removeIf(t -> {
            if (!t.ready) {
                unsent.addAll(t.stopped());
            }
            return !t.ready && t.out.isEmpty();
        });
        return unsent;
    }

    /** Closes the idle connections to a backend. */
    void release(String id) {
        Target target = targets.get(id);
        if (target != null) {
            target.pool.closeIdle();
        }
    }

    /** Returns an attempt that is yet to be started, or null where there is no such backend or no socket left. */
    Attempt attempt(String id, Outgoing outgoing, long timeoutUs, End end) {
        Target target = targets.get(id);
        if (target == null || !target.ready || !target.pool.hasIdle() && !sockets.roomForBackend()) {
            return null;
        }
        return new Attempt(target, outgoing, timeoutUs, end);
    }

    /** One backend. */
    private final class Target {
        private final InetSocketAddress address;
        private final Pool pool;
        private final Set<Attempt> out = new LinkedHashSet<>();
        private boolean ready;

        Target(InetSocketAddress address) {
            this.address = address;
            this.pool = new Pool(bootstrap.clone().remoteAddress(transport.address(address)), new AbstractChannelPoolHandler() {
                @Override
                public void channelCreated(Channel channel) {
                    sockets.backendOpened(channel);
                    var decoder = new Framing.Responses();
                    channel.pipeline().addLast(new HttpRequestEncoder(), decoder, new HttpObjectAggregator(MAX_BODY),
                            new IdleStateHandler(0, 0, idleUs, TimeUnit.MICROSECONDS),
                            new Connection(Target.this, channel, decoder));
                }
            });
        }

        /** Closes what is idle; returns the attempts that have not been written whole and so never ran. */
        List<Attempt> stopped() {
            pool.closeIdle();
            return out.stream().filter(a -> !a.written).toList();
        }
    }

    /**
     * Netty's pool, which leaves the choice of the idle connection to its subclass: of those that have settled the one
     * used last, so that the others grow old and are closed, and never one that was closed meanwhile.
     */
    private final class Pool extends SimpleChannelPool {
        private final Deque<Connection> idle = new ArrayDeque<>();
        private ChannelFuture connecting;

        Pool(Bootstrap bootstrap, ChannelPoolHandler handler) {
            super(bootstrap, handler);
        }

        boolean hasIdle() {
            long now = clock.now();
            // The first has been idle for longest.
            return !idle.isEmpty() && idle.getFirst().settled(now);
        }

        @Override
        protected ChannelFuture connectChannel(Bootstrap to) {
            connecting = super.connectChannel(to);
            return connecting;
        }

        /** Takes a connection; returns the one that is being opened for it, or null. */
        ChannelFuture acquireOrConnect(Promise<Channel> promise) {
            connecting = null;
            acquire(promise);
            return connecting;
        }

        @Override
        protected Channel pollChannel() {
            long now = clock.now();
            for (Iterator<Connection> i = idle.descendingIterator(); i.hasNext();) {
                Connection connection = i.next();
                if (connection.settled(now)) {
                    i.remove();
                    sockets.backendIdle(connection.channel, false);
                    return connection.channel;
                }
            }
            return null;
        }

        @Override
        protected boolean offerChannel(Channel channel) {
            Connection connection = channel.pipeline().get(Connection.class);
            connection.idleSince = clock.now();
            idle.addLast(connection);
            sockets.backendIdle(channel, true);
            return true;
        }

        void closed(Connection connection) {
            idle.remove(connection);
        }

        void closeIdle() {
            for (Connection connection = idle.pollLast(); connection != null; connection = idle.pollLast()) {
                connection.channel.close();
            }
        }
    }

    /** One attempt, from the wish for a connection to its end. */
    final class Attempt {
        private final Target target;
        private final Outgoing outgoing;
        private final long timeoutUs;
        private final End end;
        private long startedAt;
        private Future<?> timer;
        private ChannelFuture connecting;
        private Channel channel;
        private boolean written;
        private boolean ended;

        private Attempt(Target target, Outgoing outgoing, long timeoutUs, End end) {
            this.target = target;
            this.outgoing = outgoing;
            this.timeoutUs = timeoutUs;
            this.end = end;
        }

        void start() {
            startedAt = clock.now();
            target.out.add(this);
            // Before its last byte is written it has not run for certain; after that it may, even if nothing comes.
            timer = loop.schedule(() -> abort(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED), timeoutUs,
                    TimeUnit.MICROSECONDS);
            Promise<Channel> promise = loop.newPromise();
            connecting = target.pool.acquireOrConnect(promise);
            promise.addListener((Future<Channel> f) -> connected(f));
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
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, outgoing.method(), outgoing.uri(),
                    outgoing.body().retainedDuplicate());
            Headers.copyEndToEnd(outgoing.headers(), request.headers());
            request.headers().set(Headers.TIMEOUT, Math.max(1, startedAt + timeoutUs - clock.now()) + "u");
            if (!outgoing.method().equals(HttpMethod.GET) || request.content().isReadable()) {
                HttpUtil.setContentLength(request, request.content().readableBytes());
            }
            channel.pipeline().get(Connection.class).begin(this);
            channel.writeAndFlush(request).addListener(f -> {
                written = f.isSuccess();
                if (!written) {
                    abort(Outcome.CONNECT_FAILED);
                }
            });
        }

        /** Ends the attempt from this side. Its connection is closed first: no other attempt goes out beside it. */
        void abort(Outcome outcome) {
            if (ended) {
                return;
            }
            ended = true;
            if (channel != null) {
                channel.close();
            } else if (connecting != null) {
                connecting.channel().close();
            }
            report(outcome, null);
        }

        private void end(Outcome outcome, Answer answer) {
            if (!ended) {
                ended = true;
                report(outcome, answer);
            }
        }

        private void report(Outcome outcome, Answer answer) {
            timer.cancel(false);
            target.out.remove(this);
            end.ended(outcome, clock.now() - startedAt, answer);
        }
    }

    /**
     * The reading side of a connection to a backend. An answer is judged once all that has come is read: it is the
     * attempt's if it can be read whole, and its connection is used again only if it brought nothing else.
     */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Target target;
        private final Channel channel;
        private final Framing.Responses decoder;
        private Attempt attempt;
        private FullHttpResponse answer;
        private boolean unasked;
        private long idleSince;
        private Future<?> stall;

        Connection(Target target, Channel channel, Framing.Responses decoder) {
            this.target = target;
            this.channel = channel;
            this.decoder = decoder;
        }

        void begin(Attempt next) {
            attempt = next;
            decoder.countAfresh();
        }

        /** Whatever came right behind the last answer, and a little later, has shown by then. */
        boolean settled(long now) {
            return now - idleSince >= SETTLE_US;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (attempt == null || answer != null) {
                unasked = true;
            } else if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL
                    || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                answer = response.retain();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
            if (answer != null) {
                answered();
            } else if (attempt == null) {
                if (decoder.bytes() > 0) {
                    // Nobody has asked: what comes next on this connection can't be trusted.
                    ctx.close();
                }
            } else if (decoder.bytes() > MOST_BYTES) {
                spoilt();
            } else if (decoder.bytes() > 0 && stall == null) {
                awaitMore(decoder.bytes());
            }
            super.channelReadComplete(ctx);
        }

        private void answered() {
            FullHttpResponse response = answer;
            Attempt a = attempt;
            answer = null;
            attempt = null;
            stopAwaiting();
            // One that began before the request was written whole can't be its answer.
            boolean sound = response.decoderResult().isSuccess() && a.written;
            boolean clean = sound && !unasked && !decoder.holdsMore();
            decoder.countAfresh();
            // Back into the pool before the module hears: what it sends next may find no room for another.
            if (clean && HttpUtil.isKeepAlive(response) && target.ready) {
                target.pool.release(channel);
            } else {
                channel.close();
            }
            Outcome outcome = outcome(response, sound);
            a.end(outcome, outcome == Outcome.OK ? new Answer(response.headers(), response.content()) : null);
            if (outcome != Outcome.OK) {
                response.release();
            }
        }

        /** Backends send their answers in one go: one that stops on its way has a length that is wrong, or no end. */
        private void awaitMore(long seen) {
            stall = loop.schedule(() -> {
                stall = null;
                if (attempt == null) {
                    return;
                }
                if (decoder.bytes() == seen) {
                    spoilt();
                } else {
                    awaitMore(decoder.bytes());
                }
            }, STALL_MS, TimeUnit.MILLISECONDS);
        }

        private void stopAwaiting() {
            if (stall != null) {
                stall.cancel(false);
                stall = null;
            }
        }

        /** Something has come back, so that the attempt may have run; but it is no answer, and none will follow. */
        private void spoilt() {
            Attempt a = attempt;
            attempt = null;
            channel.close();
            if (a != null) {
                a.end(Outcome.ERROR, null);
            }
        }

        private Outcome outcome(FullHttpResponse response, boolean sound) {
            int status = response.status().code();
            if (sound && status == 200) {
                return Outcome.OK;
            }
            boolean turnedAway = (status == 503 || status == 504)
                    && "1".equals(response.headers().get(Headers.NOT_PROCESSED));
            return sound && turnedAway ? Outcome.FULL : Outcome.ERROR;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            target.pool.closed(this);
            stopAwaiting();
            if (answer != null) {
                answer.release();
                answer = null;
            }
            if (attempt != null) {
                Attempt a = attempt;
                attempt = null;
                a.end(a.written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
            }
            super.channelInactive(ctx);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof IdleStateEvent && attempt == null) {
                ctx.close();
            }
            super.userEventTriggered(ctx, event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof TooLongHttpContentException) {
                spoilt();
            } else {
                ctx.close();
            }
        }
    }
}
