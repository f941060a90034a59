package grebehoist.benchmarks.slopes;

import grebehoist.net.Network;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Tells one list that never changes to whoever asks, as the platform's discovery does, and counts calls and bytes. Any thread may read the counts. */
final class ListService {
    private static final int MOST_REQUEST = 4_096;

    private final byte[] whole;
    private final byte[] nothing = "{\"version\":1,\"full\":false,\"servers\":[]}".getBytes(StandardCharsets.US_ASCII);
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong bytesIn = new AtomicLong();
    private final AtomicLong bytesOut = new AtomicLong();
    private final AtomicInteger waiting = new AtomicInteger();
    private final InetSocketAddress address;

    /** Listens at a port of its own on loopback. */
    ListService(Network network, byte[] list) throws InterruptedException {
        whole = list;
        address = (InetSocketAddress) network.server()
                .clone()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new Counter(),
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MOST_REQUEST),
                                        new Call());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
    }

    /** Returns a whole list in discovery's form, of backends under ids as long as the platform's; all are at one address. */
    static byte[] list(int backends, InetSocketAddress at) {
        var text = new StringBuilder("{\"version\":1,\"full\":true,\"servers\":[");
        for (int i = 0; i < backends; i++) {
            text.append(i == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{\"id\":\"s-%08x\",\"addr\":\"%s:%d\",\"zone\":\"zone-%d\",\"kind\":\"m%d\",\"cell\":%d,\"state\":\"ready\",\"weight\":1.0,"
                                    + "\"started_ms\":0}",
                            i * 0x9E3779B1,
                            at.getAddress().getHostAddress(),
                            at.getPort(),
                            i % 13,
                            i % 3,
                            i % 7));
        }
        return text.append("]}").toString().getBytes(StandardCharsets.US_ASCII);
    }

    InetSocketAddress address() {
        return address;
    }

    long calls() {
        return calls.get();
    }

    /** Returns the bytes of requests and answers, heads included, without those of TCP. */
    long bytes() {
        return bytesIn.get() + bytesOut.get();
    }

    /** Returns how many watches are waiting for news. */
    int waiting() {
        return waiting.get();
    }

    private final class Counter extends ChannelDuplexHandler {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            bytesOut.addAndGet(message instanceof ByteBuf b ? b.readableBytes() : 0);
            ctx.write(message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            bytesIn.addAndGet(message instanceof ByteBuf b ? b.readableBytes() : 0);
            ctx.fireChannelRead(message);
        }
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Future<?> answer;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            calls.incrementAndGet();
            var query = new QueryStringDecoder(request.uri()).parameters();
            boolean watch = query.containsKey("from");
            long holdMs = watch ? Long.parseLong(query.get("hold_ms").get(0)) : 0;
            if (holdMs == 0) {
                answer(ctx, watch ? nothing : whole);
                return;
            }
            waiting.incrementAndGet();
            answer = ctx.executor().schedule(() -> answer(ctx, nothing), holdMs, TimeUnit.MILLISECONDS);
            answer.addListener(f -> waiting.decrementAndGet());
        }

        private void answer(ChannelHandlerContext ctx, byte[] body) {
            var answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            HttpUtil.setContentLength(answer, body.length);
            ctx.writeAndFlush(answer);
        }

        /** Whoever asked was killed: its figures are had. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (answer != null) {
                answer.cancel(false);
            }
        }
    }
}
