package grebehoist.benchmarks.slopes;

import grebehoist.net.Network;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Clients that send at a fixed rate, whether or not answers come; a latency counts from when the request was due. What finds no connection
 * free waits, and its time goes on.
 */
final class OpenLoop {
    private static final int MOST_BODY = 64 * 1024;

    private final Network network;
    private final long intervalNs;
    private final Deque<Channel> free = new ArrayDeque<>();
    private final Deque<Long> due = new ArrayDeque<>();
    private final String life = Long.toHexString(System.nanoTime());
    private Histogram latencies = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
    private long ids;
    private long wrong;
    private long nextAt;
    private long until;

    /** What came back in one run: latencies in microseconds, and how many were not served. */
    record Result(double p50, double p99, long answered, long wrong) {}

    /** Connects. */
    OpenLoop(Network network, InetSocketAddress to, int rate, int connections) throws InterruptedException {
        this.network = network;
        this.intervalNs = TimeUnit.SECONDS.toNanos(1) / rate;
        for (int i = 0; i < connections; i++) {
            Channel channel = network.client()
                    .clone()
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline()
                                    .addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_BODY), new Client());
                        }
                    })
                    .connect(to)
                    .sync()
                    .channel();
            network.loop().submit(() -> free.add(channel)).sync();
        }
    }

    /** Sends for so long, and waits for what is still out. */
    Result run(int seconds) throws Exception {
        network.loop()
                .submit(() -> {
                    latencies = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
                    wrong = 0;
                    nextAt = System.nanoTime();
                    until = nextAt + TimeUnit.SECONDS.toNanos(seconds);
                    tick();
                })
                .sync();
        TimeUnit.MILLISECONDS.sleep(seconds * 1_000L + 300);
        return network.loop()
                .submit(() -> new Result(
                        latencies.getValueAtPercentile(50),
                        latencies.getValueAtPercentile(99),
                        latencies.getTotalCount(),
                        wrong))
                .get();
    }

    /** Closes the connections. */
    void end() throws InterruptedException {
        network.loop().submit(() -> free.forEach(Channel::close)).sync();
    }

    private void tick() {
        long now = System.nanoTime();
        for (; nextAt <= now && nextAt < until; nextAt += intervalNs) {
            due.add(nextAt);
        }
        pump();
        if (nextAt < until) {
            network.loop().schedule(this::tick, Math.max(0, nextAt - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    private void pump() {
        while (!due.isEmpty() && !free.isEmpty()) {
            Channel channel = free.poll();
            if (channel.isActive()) {
                channel.pipeline().get(Client.class).send(channel, due.poll());
            }
        }
    }

    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
        private long dueAt;

        void send(Channel on, long at) {
            dueAt = at;
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api?k=u1");
            request.headers()
                    .set("host", "service")
                    .set("x-request-id", life + "-" + ++ids)
                    .set("x-priority-class", "read")
                    .set("x-tenant-id", "large")
                    .set("x-timeout", "1900m");
            on.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            latencies.recordValue((System.nanoTime() - dueAt) / 1_000);
            wrong += answer.status().equals(HttpResponseStatus.OK) ? 0 : 1;
            free.add(ctx.channel());
            pump();
        }
    }
}
