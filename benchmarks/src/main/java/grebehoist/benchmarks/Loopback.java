package grebehoist.benchmarks;

import beechfall.Balancer;
import grebehoist.engine.Log;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import grebehoist.net.StderrLog;
import grebehoist.pool.Pool;
import grebehoist.testkit.StandInWire;
import grebehoist.testkit.ThriftWire;
import grebehoist.thrift.ThriftMethod;
import grebehoist.thrift.ThriftOptions;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
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
import io.netty.util.AttributeKey;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * One hop on loopback, five ways in one run: the daemon's parts over HTTP and over Thrift, bare relays of the same codecs
 * and of the same frames without any decision, and a relay of bytes. Each has an event loop thread of its own, and that thread's CPU time is what it costs. Clients
 * send at a fixed rate, whether or not answers come; a latency counts from when the request was due (Tene, "How not to
 * measure latency"). The backend answers at once, so all of the latency is the way.
 */
final class Loopback {
    private static final int CLIENTS = 16;
    private static final int[] BODIES = {1024, 32 * 1024};
    private static final int[] RATES = {500, 2_000};
    private static final int MAX = 64 * 1024;

    /** A way from clients to the backend. */
    private enum Way {
        DAEMON(false),
        CODECS(false),
        BYTES(false),
        /** The daemon's parts for Thrift. */
        THRIFT(true),
        /** A relay that cuts frames and passes them on, without a look at what is in them. */
        FRAMES(true);

        private final boolean framed;

        Way(boolean framed) {
            this.framed = framed;
        }
    }

    /** A client on a connection. */
    private interface Sender {
        void send(Channel on, long at);
    }

    private static final AttributeKey<Sender> CLIENT = AttributeKey.valueOf(Loopback.class, "client");

    private record Result(double cpuUs, long p50, long p99, long p999, long answered, long wrong) {}

    private static final StandInWire WIRE = new ThriftWire(ThriftWire.Kind.BINARY, 1, 64, true);
    private static final ThriftOptions OPTIONS = new ThriftOptions(
            List.of(new ThriftMethod(
                    "read",
                    "read",
                    new ThriftMethod.At("2.1"),
                    null,
                    new ThriftMethod.At("2.2"),
                    new ThriftMethod.At("4"),
                    new ThriftMethod.At("1"),
                    new ThriftMethod.At("5"),
                    null)),
            false,
            MAX,
            false,
            64,
            1 << 20,
            16 << 20,
            16 << 20,
            60_000_000);

    private final Network outside = Network.sockets();
    /** What discovery says. */
    private volatile InetSocketAddress listed;

    private Loopback() {}

    static void main(String[] args) throws Exception {
        int seconds = 4;
        int runs = 3;
        for (int i = 0; i + 1 < args.length; i += 2) {
            seconds = args[i].equals("--seconds") ? Integer.parseInt(args[i + 1]) : seconds;
            runs = args[i].equals("--runs") ? Integer.parseInt(args[i + 1]) : runs;
        }
        System.out.printf(
                "medians of %d runs of %d s, after as long a warm-up; latencies in microseconds%n", runs, seconds);
        System.out.println(
                "way     body  rate  CPU us/request  to bytes  to codecs  to frames    p50    p99  p99.9  answered  wrong");
        for (int body : BODIES) {
            for (int rate : RATES) {
                var all = new ArrayList<List<Result>>();
                for (Way way : Way.values()) {
                    all.add(new ArrayList<>());
                }
                for (int run = 0; run < runs; run++) {
                    for (Way way : Way.values()) {
                        all.get(way.ordinal()).add(new Loopback().measure(way, body, rate, seconds));
                    }
                }
                double bytes = median(all.get(Way.BYTES.ordinal())).cpuUs();
                double codecs = median(all.get(Way.CODECS.ordinal())).cpuUs();
                double frames = median(all.get(Way.FRAMES.ordinal())).cpuUs();
                for (Way way : Way.values()) {
                    Result r = median(all.get(way.ordinal()));
                    System.out.printf(
                            Locale.ROOT,
                            "%-6s %5d %5d %15.1f %9.2f %10.2f %10.2f %6d %6d %6d %9d %6d%n",
                            way.name().toLowerCase(Locale.ROOT),
                            body,
                            rate,
                            r.cpuUs(),
                            r.cpuUs() / bytes,
                            r.cpuUs() / codecs,
                            r.cpuUs() / frames,
                            r.p50(),
                            r.p99(),
                            r.p999(),
                            r.answered(),
                            r.wrong());
                }
            }
        }
        System.exit(0);
    }

    private static Result median(List<Result> results) {
        return results.stream()
                .sorted((a, b) -> Double.compare(a.cpuUs(), b.cpuUs()))
                .toList()
                .get(results.size() / 2);
    }

    private Result measure(Way way, int body, int rate, int seconds) throws Exception {
        InetSocketAddress backend = backend(body);
        InetSocketAddress framed = framedBackend(body);
        Network network = Network.sockets();
        long thread =
                network.loop().submit(() -> Thread.currentThread().getId()).get();
        InetSocketAddress hop = switch (way) {
            case DAEMON -> daemon(network, backend, backend, false);
            case THRIFT -> daemon(network, backend, framed, true);
            case CODECS ->
                listen(network, () -> new ChannelHandler[] {
                    new HttpServerCodec(),
                    new HttpObjectAggregator(MAX),
                    new Relay(network, backend, () ->
                            new ChannelHandler[] {new HttpClientCodec(), new HttpObjectAggregator(MAX)})
                });
            case BYTES ->
                listen(network, () -> new ChannelHandler[] {new Relay(network, backend, () -> new ChannelHandler[0])});
            case FRAMES ->
                listen(network, () -> new ChannelHandler[] {
                    frames(),
                    new LengthFieldPrepender(4),
                    new Relay(network, framed, () -> new ChannelHandler[] {frames(), new LengthFieldPrepender(4)})
                });
        };
        var clients = new Clients(hop, rate, way.framed);
        clients.run(seconds);
        var threads = ManagementFactory.getThreadMXBean();
        clients.fresh();
        long before = threads.getThreadCpuTime(thread);
        clients.run(seconds);
        long cpu = threads.getThreadCpuTime(thread) - before;
        Histogram h = clients.latencies;
        var result = new Result(
                cpu / 1e3 / Math.max(1, h.getTotalCount()),
                h.getValueAtPercentile(50),
                h.getValueAtPercentile(99),
                h.getValueAtPercentile(99.9),
                h.getTotalCount(),
                clients.wrong);
        network.loop().parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        outside.loop().parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        return result;
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private interface Handlers {
        ChannelHandler[] make();
    }

    private static InetSocketAddress listen(Network network, Handlers handlers) throws InterruptedException {
        return (InetSocketAddress) network.server()
                .clone()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(handlers.make());
                    }
                })
                .bind(anyPort())
                .sync()
                .channel()
                .localAddress();
    }

    private static LengthFieldBasedFrameDecoder frames() {
        return new LengthFieldBasedFrameDecoder(MAX, 0, 4, 0, 4);
    }

    /** Answers each call at once, in the compact protocol or in the binary one, as it was asked. */
    private InetSocketAddress framedBackend(int body) throws InterruptedException {
        byte[] bytes = "x".repeat(body).getBytes(StandardCharsets.US_ASCII);
        return listen(outside, () -> {
            var side = new CallSide();
            return new ChannelHandler[] {
                new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        side.channel = channel;
                        side.text = new String(bytes, StandardCharsets.US_ASCII);
                        side.end = WIRE.backend(channel, side);
                    }
                }
            };
        });
    }

    private static final class CallSide implements StandInWire.BackendSide {
        private Channel channel;
        private StandInWire.BackendEnd end;
        private String text;

        @Override
        public void began(StandInWire.Call call) {}

        @Override
        public void whole() {
            channel.writeAndFlush(Unpooled.wrappedBuffer(end.reply(StandInWire.Reply.OK, text)));
        }
    }

    /** Answers at once: the list to whoever asks for it, a body to all others. */
    private InetSocketAddress backend(int body) throws InterruptedException {
        byte[] bytes = "x".repeat(body).getBytes(StandardCharsets.US_ASCII);
        var self = new InetSocketAddress[1];
        self[0] = listen(outside, () -> new ChannelHandler[] {
            new HttpServerCodec(),
            new HttpObjectAggregator(MAX),
            new SimpleChannelInboundHandler<FullHttpRequest>() {
                @Override
                protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                    if (request.uri().contains("hold_ms") && !request.uri().contains("hold_ms=0")) {
                        return;
                    }
                    ByteBuf content = request.uri().startsWith("/v1/")
                            ? Unpooled.copiedBuffer(
                                    "{\"version\":1,\"full\":true,"
                                            + "\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:" + listed.getPort()
                                            + "\",\"state\":\"ready\","
                                            + "\"zone\":\"a\",\"kind\":\"k\"}]}",
                                    StandardCharsets.US_ASCII)
                            : Unpooled.wrappedBuffer(bytes);
                    var answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, content);
                    HttpUtil.setContentLength(answer, content.readableBytes());
                    ctx.writeAndFlush(answer);
                }
            }
        });
        return self[0];
    }

    private InetSocketAddress daemon(
            Network network, InetSocketAddress discovery, InetSocketAddress backend, boolean framed) throws Exception {
        listed = backend;
        Balancer.Settings settings = Workload.settings(1);
        var host = new Pool.Host(
                network,
                new LoopTimers(network.loop()),
                new Sockets(network.loop(), new StderrLog(), 1_024),
                new Log() {
                    @Override
                    public void line(String text) {}

                    @Override
                    public void failure(String what, Throwable cause) {
                        throw new IllegalStateException(what, cause);
                    }
                });
        var pool = new Pool(
                host,
                new Pool.Spec(
                        "bench",
                        framed ? Pool.Protocol.THRIFT : Pool.Protocol.HTTP,
                        settings,
                        discovery,
                        15_000_000,
                        200_000,
                        MAX));
        network.loop().submit(() -> pool.begin(null)).sync();
        var address = (InetSocketAddress) network.loop()
                .submit(() -> (framed ? pool.thriftFront(OPTIONS, "t") : pool.httpFront()).listen(network, anyPort()))
                .sync()
                .getNow()
                .sync()
                .channel()
                .localAddress();
        while (!network.loop().submit(pool::ready).sync().getNow()) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return address;
    }

    /** Passes all that its codecs make of the bytes on, by one connection to the backend for each client's, and back. */
    private static final class Relay extends ChannelInboundHandlerAdapter {
        private final Network network;
        private final InetSocketAddress backend;
        private final Handlers codecs;
        private Channel to;

        /**
         * Makes a relay.
         *
         * @param codecs what stands on the backend's side; the caller puts its counterpart before this on the client's
         */
        Relay(Network network, InetSocketAddress backend, Handlers codecs) {
            this.network = network;
            this.backend = backend;
            this.codecs = codecs;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (to != null) {
                to.writeAndFlush(message);
                return;
            }
            network.client()
                    .clone()
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(codecs.make()).addLast(new ChannelInboundHandlerAdapter() {
                                @Override
                                public void channelRead(ChannelHandlerContext back, Object answer) {
                                    ctx.writeAndFlush(answer);
                                }
                            });
                        }
                    })
                    .connect(backend)
                    .addListener((io.netty.channel.ChannelFuture f) -> {
                        to = f.channel();
                        to.writeAndFlush(message);
                    });
        }
    }

    /** Sends at a fixed rate over a number of connections; what finds none free waits, and its time goes on. */
    private final class Clients {
        private final InetSocketAddress hop;
        private final long intervalNs;
        private final Deque<Channel> free = new ArrayDeque<>();
        private final Deque<Long> due = new ArrayDeque<>();
        private final AtomicLong ids = new AtomicLong();
        private Histogram latencies = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
        private long wrong;
        private long nextAt;
        private long until;

        private final boolean framed;

        Clients(InetSocketAddress hop, int rate, boolean framed) throws InterruptedException {
            this.hop = hop;
            this.framed = framed;
            this.intervalNs = 1_000_000_000L / rate;
            for (int i = 0; i < CLIENTS; i++) {
                connect();
            }
        }

        private void connect() throws InterruptedException {
            Channel channel = outside.client()
                    .clone()
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            if (framed) {
                                var client = new FramedClient(ch);
                                client.end = WIRE.client(ch, client);
                                ch.attr(CLIENT).set(client);
                            } else {
                                var client = new Client();
                                ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX), client);
                                ch.attr(CLIENT).set(client);
                            }
                        }
                    })
                    .connect(hop)
                    .sync()
                    .channel();
            outside.loop().submit(() -> free.add(channel)).sync();
        }

        private final class FramedClient implements StandInWire.ClientSide, Sender {
            private final Channel channel;
            private StandInWire.ClientEnd end;
            private long dueAt;

            FramedClient(Channel channel) {
                this.channel = channel;
            }

            @Override
            public void answered(StandInWire.Answer answer) {
                latencies.recordValue((System.nanoTime() - dueAt) / 1_000);
                wrong += answer.heard() == StandInWire.Heard.SERVED ? 0 : 1;
                free.add(channel);
                pump();
            }

            @Override
            public void send(Channel on, long at) {
                dueAt = at;
                String id = Long.toHexString(ids.incrementAndGet());
                on.writeAndFlush(Unpooled.wrappedBuffer(end.request(
                        new StandInWire.Call(id, "u1", "read", true, "large", null, 0, 1_900_000, false, false), 1)));
            }
        }

        private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> implements Sender {
            private long dueAt;

            @Override
            protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
                latencies.recordValue((System.nanoTime() - dueAt) / 1_000);
                wrong += answer.status().equals(HttpResponseStatus.OK) ? 0 : 1;
                free.add(ctx.channel());
                pump();
            }

            @Override
            public void send(Channel on, long at) {
                dueAt = at;
                var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api?k=u1");
                request.headers()
                        .set("host", "service")
                        .set("x-request-id", Long.toHexString(ids.incrementAndGet()))
                        .set("x-priority-class", "read")
                        .set("x-tenant-id", "large")
                        .set("x-timeout", "1900m");
                on.writeAndFlush(request);
            }
        }

        void fresh() throws InterruptedException {
            outside.loop()
                    .submit(() -> {
                        latencies = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
                        wrong = 0;
                    })
                    .sync();
        }

        void run(int seconds) throws InterruptedException {
            outside.loop()
                    .submit(() -> {
                        nextAt = System.nanoTime();
                        until = nextAt + TimeUnit.SECONDS.toNanos(seconds);
                        tick();
                    })
                    .sync();
            TimeUnit.MILLISECONDS.sleep(seconds * 1_000L + 300);
        }

        private void tick() {
            long now = System.nanoTime();
            for (; nextAt <= now && nextAt < until; nextAt += intervalNs) {
                due.add(nextAt);
            }
            pump();
            if (nextAt < until) {
                outside.loop().schedule(this::tick, Math.max(0, nextAt - System.nanoTime()), TimeUnit.NANOSECONDS);
            }
        }

        private void pump() {
            while (!due.isEmpty() && !free.isEmpty()) {
                Channel channel = free.poll();
                channel.attr(CLIENT).get().send(channel, due.poll());
            }
        }
    }
}
