package grebehoist.cli;

import beechfall.Balancer;
import beechfall.Policy;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Config;
import grebehoist.config.Json;
import grebehoist.http.HttpTransport;
import grebehoist.net.LoopChannels;
import grebehoist.net.Network;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Runs the program's own code before it has anything to serve. Cold code is loaded and interpreted at many times its
 * later cost; on part of a core the first seconds of service would answer most requests too late. All of it stays
 * inside the process: a second set of the proxy's parts, and a client, a backend and a discovery made of channels that
 * are no sockets, on a thread of their own beside the one that serves.
 */
final class Warmup {
    /** From some 2,000 on no request costs less than the one before: 1.5 s of CPU. */
    private static final int REQUESTS = 3_000;
    /** So often, and for so long, the thread that does it all waits: else it might keep the one that serves from running. */
    private static final int BREATHE_EVERY = 4;

    private static final long BREATHE_NS = 100_000;
    private static final int CLIENTS = 8;
    private static final int BACKENDS = 10;
    private static final long LOOK_MS = 20;
    private static final byte[] BODY = "x".repeat(1_000).getBytes(StandardCharsets.US_ASCII);

    private final Config config;
    private final Network network = Network.inProcess();
    private final String list;
    private final CountDownLatch done = new CountDownLatch(CLIENTS);
    private int sent;
    private int served;

    private Warmup(Config like) {
        ObjectNode known = Json.object().put("version", 1).put("full", true);
        ArrayNode servers = known.putArray("servers");
        for (int i = 0; i < BACKENDS; i++) {
            servers.addObject()
                    .put("id", "warm-" + i)
                    .put("addr", "127.0.0.1:" + (i + 1))
                    .put("zone", "a")
                    .put("kind", "k")
                    .put("cell", 0)
                    .put("state", "ready")
                    .put("weight", 1.0)
                    .put("started_ms", 0);
        }
        list = known.toString();
        config = new Config(
                "warm-up",
                address(0),
                address(BACKENDS + 1),
                null,
                like.sockets(),
                known,
                like.settings(),
                null,
                like.connIdleUs(),
                like.connectTimeoutUs());
    }

    /** How a warm-up ended: how many made-up requests were served, and whether it broke off as the real ones came. */
    record Result(int served, boolean wanted) {}

    /** Serves made-up requests until the code is warm, the time is up or the process is wanted for real ones. */
    static Result run(Config config, long mostMs, BooleanSupplier wanted) {
        return new Warmup(config).run(mostMs, wanted);
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    private Result run(long mostMs, BooleanSupplier wanted) {
        boolean broken = false;
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        var serve = new Serve(config, new Policy(config.settings()), network, null);
        try {
            for (int i = 1; i <= BACKENDS + 1; i++) {
                LoopChannels.bind(
                                network.server().clone().childHandler(pipeline(new Peer())),
                                network.address(address(i)))
                        .syncUninterruptibly();
            }
            serve.begin();
            serve.listen().syncUninterruptibly();
            for (int i = 0; i < CLIENTS; i++) {
                connect();
            }
            while (!broken && System.nanoTime() - until < 0 && !done.await(LOOK_MS, TimeUnit.MILLISECONDS)) {
                broken = wanted.getAsBoolean();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            serve.stop();
        }
        return new Result(served, broken);
    }

    private void connect() {
        LoopChannels.connect(network.client().clone().handler(pipeline(new Client())), network.address(address(0)));
    }

    private static ChannelInitializer<Channel> pipeline(ChannelHandler end) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                end instanceof Client ? new HttpClientCodec() : new HttpServerCodec(),
                                new HttpObjectAggregator(HttpTransport.MAX_BODY),
                                end);
            }
        };
    }

    /**
     * Writes as a task of its own, as nothing comes back from a socket before the write has ended either. These
     * channels would hand it over at once, and with it all that follows, one inside the other.
     * A loop that is to end runs whatever tasks there are: it gets no more.
     */
    private static void later(ChannelHandlerContext ctx, Object message) {
        if (!ctx.executor().isShuttingDown()) {
            ctx.executor().execute(() -> ctx.writeAndFlush(message));
        }
    }

    /** A backend, or discovery. */
    @ChannelHandler.Sharable
    private final class Peer extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean asksForList = request.uri().startsWith("/v1/");
            if (asksForList
                    && request.uri().contains("hold_ms")
                    && !request.uri().contains("hold_ms=0")) {
                return;
            }
            byte[] body = asksForList ? list.getBytes(StandardCharsets.US_ASCII) : BODY;
            var answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            HttpUtil.setContentLength(answer, body.length);
            later(ctx, answer);
        }
    }

    /** A client that asks again whenever it is answered. */
    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (answer.status().equals(HttpResponseStatus.OK)) {
                served++;
            }
            ask(ctx);
        }

        /** Where the machine is slow the proxy finds its client idle for too long, and ends the connection. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (sent <= REQUESTS && !network.loop().isShuttingDown()) {
                connect();
            }
        }

        private void ask(ChannelHandlerContext ctx) {
            if (++sent > REQUESTS) {
                done.countDown();
                return;
            }
            if (sent % BREATHE_EVERY == 0) {
                LockSupport.parkNanos(BREATHE_NS);
            }
            List<Balancer.RequestClass> classes = config.settings().classes();
            List<Balancer.Tenant> tenants = config.settings().tenants();
            Balancer.RequestClass type = classes.get(sent % classes.size());
            boolean safe = type.effect() == Balancer.Effect.SAFE;
            var request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api?k=" + sent,
                    safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY));
            request.headers()
                    .set("host", "warm-up")
                    .set("x-request-id", Integer.toHexString(sent))
                    .set("x-priority-class", type.name())
                    .set("x-timeout", type.deadlineUs() / 1_000 + "m");
            if (!tenants.isEmpty()) {
                request.headers()
                        .set("x-tenant-id", tenants.get(sent % tenants.size()).name());
            }
            if (!safe) {
                HttpUtil.setContentLength(request, BODY.length);
                if (type.effect() == Balancer.Effect.KEYED) {
                    request.headers().set("idempotency-key", Integer.toHexString(sent));
                }
            }
            later(ctx, request);
        }
    }
}
