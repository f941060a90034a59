package grebehoist.benchmarks.slopes;

import grebehoist.net.Network;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What the whole program takes, in a process of its own. */
final class ProgramSlopes {
    private static final int BACKENDS_OF_A_SERVICE = 37;
    /** So many proxies share a service's backends: a watch waits for 20 s at a time, as with any number from 40 on. */
    private static final int CELL = 60;

    private static final int LARGE_HEAP_MB = 1_024;
    private static final int HEAP_OF_RUN_MB = 48;
    private static final long SETTLE_MS = 5_000;
    private static final long WINDOW_MS = 40_000;
    private static final long MOST_WAIT_MS = 60_000;
    private static final int BODY = 1_024;
    private static final int MOST_REQUEST = 64 * 1024;
    private static final int CONNECTIONS = 32;
    private static final int WARM_S = 5;
    private static final int MEASURED_S = 10;

    private final Path jar;

    /** Measures the program in this jar. */
    ProgramSlopes(Path jar) {
        this.jar = jar;
    }

    Map<String, Double> start(int pools) throws Exception {
        Network outside = Network.sockets();
        var service = new ListService(
                outside,
                ListService.list(
                        BACKENDS_OF_A_SERVICE, new InetSocketAddress(InetAddress.getLoopbackAddress(), 8_080)));
        long from = System.nanoTime();
        try (var program = new Program(jar, LARGE_HEAP_MB, pools, service.address(), CELL)) {
            program.address();
            double listensMs = (System.nanoTime() - from) / 1e6;
            awaitWatches(service, pools);
            double allMs = (System.nanoTime() - from) / 1e6;
            return DecisionSlopes.figures(
                    "first_listens_ms",
                    listensMs,
                    "all_have_lists_ms",
                    allMs,
                    "cpu_ms",
                    program.cpuMs(),
                    "discovery_bytes",
                    service.bytes());
        } finally {
            end(outside);
        }
    }

    Map<String, Double> rest(int pools) throws Exception {
        Network outside = Network.sockets();
        var service = new ListService(
                outside,
                ListService.list(
                        BACKENDS_OF_A_SERVICE, new InetSocketAddress(InetAddress.getLoopbackAddress(), 8_080)));
        try (var program = new Program(jar, LARGE_HEAP_MB, pools, service.address(), CELL)) {
            awaitWatches(service, pools);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            double cpu = program.cpuMs();
            long calls = service.calls();
            long bytes = service.bytes();
            TimeUnit.MILLISECONDS.sleep(WINDOW_MS);
            double seconds = WINDOW_MS / 1e3;
            double cpuMs = (program.cpuMs() - cpu) / seconds;
            double callsS = (service.calls() - calls) / seconds;
            double bytesS = (service.bytes() - bytes) / seconds;
            double resident = program.residentMb();
            double heap = program.heapMb();
            return DecisionSlopes.figures(
                    "cpu_ms_s",
                    cpuMs,
                    "calls_s",
                    callsS,
                    "bytes_s",
                    bytesS,
                    "heap_mb",
                    heap,
                    "heap_kb_each",
                    1e3 * heap / pools,
                    "resident_mb",
                    resident);
        } finally {
            end(outside);
        }
    }

    private static void awaitWatches(ListService service, int pools) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_WAIT_MS);
        while (service.waiting() < pools) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException(
                        "only " + service.waiting() + " of " + pools + " pools watch their lists");
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    Map<String, Double> request(int rate) throws Exception {
        Network outside = Network.sockets();
        Network behind = Network.sockets();
        InetSocketAddress backend = backend(behind);
        var service = new ListService(behind, ListService.list(BACKENDS_OF_A_SERVICE, backend));
        try (var program = new Program(jar, HEAP_OF_RUN_MB, 1, service.address(), 1)) {
            InetSocketAddress proxy = program.address();
            awaitWatches(service, 1);
            var direct = new OpenLoop(outside, backend, rate, CONNECTIONS);
            direct.run(WARM_S);
            OpenLoop.Result without = direct.run(MEASURED_S);
            direct.end();
            var through = new OpenLoop(outside, proxy, rate, CONNECTIONS);
            through.run(WARM_S);
            double cpu = program.cpuMs();
            OpenLoop.Result with = through.run(MEASURED_S);
            double cpuMs = program.cpuMs() - cpu;
            double resident = program.residentMb();
            through.end();
            return DecisionSlopes.figures(
                    "added_p50_us",
                    with.p50() - without.p50(),
                    "added_p99_us",
                    with.p99() - without.p99(),
                    "p50_us",
                    with.p50(),
                    "p99_us",
                    with.p99(),
                    "without_p50_us",
                    without.p50(),
                    "without_p99_us",
                    without.p99(),
                    "cpu_us_each",
                    1e3 * cpuMs / with.answered(),
                    "not_served",
                    with.wrong() + Math.max(0, (double) rate * MEASURED_S - with.answered()),
                    "resident_mb",
                    resident);
        } finally {
            end(outside);
            end(behind);
        }
    }

    /** Answers at once. */
    private static InetSocketAddress backend(Network network) throws InterruptedException {
        byte[] body = "x".repeat(BODY).getBytes(StandardCharsets.US_ASCII);
        return (InetSocketAddress) network.server()
                .clone()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MOST_REQUEST),
                                        new SimpleChannelInboundHandler<FullHttpRequest>() {
                                            @Override
                                            protected void channelRead0(
                                                    ChannelHandlerContext ctx, FullHttpRequest request) {
                                                var answer = new DefaultFullHttpResponse(
                                                        HttpVersion.HTTP_1_1,
                                                        HttpResponseStatus.OK,
                                                        Unpooled.wrappedBuffer(body));
                                                HttpUtil.setContentLength(answer, body.length);
                                                ctx.writeAndFlush(answer);
                                            }

                                            @Override
                                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                                ctx.close();
                                            }
                                        });
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
    }

    private static void end(Network network) throws InterruptedException {
        network.loop().parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }
}
