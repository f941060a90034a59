package grebehoist.testkit;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * HTTP/1.1 as the platform's clients and backends speak it: one request at a time on a connection. On days of long messages some bodies
 * and answers have a {@link Shape}, and each byte of them is checked by whoever reads it.
 */
public final class HttpWire implements StandInWire {
    private static final String REQUEST_ID = "x-request-id";
    private static final String REQUEST_CLASS = "x-priority-class";
    private static final String TENANT = "x-tenant-id";
    private static final String KEY = "idempotency-key";
    private static final String WORK = "x-work-us";
    private static final String TIMEOUT = "x-timeout";

    private final boolean shaped;

    /** Makes the wire of days with short messages alone. */
    public HttpWire() {
        this(false);
    }

    /**
     * Makes a wire.
     *
     * @param shaped whether there are long and slow messages among the others
     */
    public HttpWire(boolean shaped) {
        this.shaped = shaped;
    }

    @Override
    public int maxOpen() {
        return 1;
    }

    @Override
    public int taken() {
        return 1;
    }

    @Override
    public boolean inOrder() {
        return true;
    }

    @Override
    public BackendEnd backend(Channel channel, BackendSide side) {
        channel.pipeline().addLast(new HttpRequestDecoder(), new ChannelInboundHandlerAdapter() {
            private final ByteArrayOutputStream body = new ByteArrayOutputStream();
            private String id;
            private boolean begun;

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) throws IOException {
                try {
                    if (message instanceof HttpRequest request) {
                        begun = begin(ctx, request);
                    }
                    if (shaped && begun && message instanceof HttpContent part) {
                        part.content().readBytes(body, part.content().readableBytes());
                    }
                    if (message instanceof LastHttpContent && begun) {
                        begun = false;
                        if (shaped && body.size() > 0 && !Arrays.equals(body.toByteArray(), asked(id))) {
                            side.garbled();
                        }
                        side.whole();
                    }
                } finally {
                    ReferenceCountUtil.release(message);
                }
            }

            private boolean begin(ChannelHandlerContext ctx, HttpRequest request) {
                HttpHeaders head = request.headers();
                id = head.get(REQUEST_ID);
                body.reset();
                if (request.decoderResult().isFailure()) {
                    ctx.close();
                    return false;
                }
                if (id == null) {
                    ctx.writeAndFlush(Unpooled.wrappedBuffer(message("404 Not Found", "")));
                    return false;
                }
                side.began(new Call(
                        id,
                        "",
                        head.get(REQUEST_CLASS, ""),
                        false,
                        head.get(TENANT),
                        head.get(KEY),
                        Long.parseLong(head.get(WORK, "1000")),
                        toldUs(head.get(TIMEOUT)),
                        head.contains("x-retried"),
                        false));
                return true;
            }
        });
        return new BackendEnd() {
            @Override
            public byte[] reply(Reply reply, String body) {
                return switch (reply) {
                    case OK -> shaped ? shapedAnswer(body) : message("200 OK", body);
                    case NEVER_RAN -> message("503 Service Unavailable", "", "X-Not-Processed: 1");
                    case UNAVAILABLE -> message("503 Service Unavailable", "busy");
                    case ERROR -> message("500 Internal Server Error", "went wrong");
                    case NOISE -> NOISE.getBytes(StandardCharsets.US_ASCII);
                };
            }

            @Override
            public Pace pace(String body) {
                return shaped ? Shape.of(body).pace() : Pace.AT_ONCE;
            }
        };
    }

    /** Returns the time that a request says is left, in microseconds. */
    private static long toldUs(String timeout) {
        if (timeout == null) {
            return Call.NOT_TOLD;
        }
        long number = Long.parseLong(timeout.substring(0, timeout.length() - 1));
        return timeout.endsWith("m") ? 1_000 * number : number;
    }

    private static byte[] shapedAnswer(String body) {
        Shape shape = Shape.of(body);
        return framed("HTTP/1.1 200 OK\r\n", shape, shape.message(body));
    }

    /** What a client asks with, where its message has a shape. */
    private static byte[] asked(String id) {
        return Shape.ofRequest(id).message("do " + id);
    }

    private static byte[] framed(String head, Shape shape, byte[] body) {
        var all = new ByteArrayOutputStream(head.length() + body.length + 100);
        all.writeBytes(ascii(head));
        if (!shape.chunks()) {
            all.writeBytes(ascii("Content-Length: " + body.length + "\r\n\r\n"));
            all.writeBytes(body);
            return all.toByteArray();
        }
        all.writeBytes(ascii("Transfer-Encoding: chunked\r\n\r\n"));
        int half = body.length / 2;
        if (half > 0) {
            all.writeBytes(ascii(Integer.toHexString(half) + ";half=1\r\n"));
            all.write(body, 0, half);
            all.writeBytes(ascii("\r\n"));
        }
        all.writeBytes(ascii(Integer.toHexString(body.length - half) + "\r\n"));
        all.write(body, half, body.length - half);
        all.writeBytes(ascii("\r\n0\r\nX-Trailer: 1\r\n\r\n"));
        return all.toByteArray();
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] message(String status, String body, String... headers) {
        var text = new StringBuilder("HTTP/1.1 ").append(status).append("\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text.append("Content-Length: ")
                .append(body.length())
                .append("\r\n\r\n")
                .append(body)
                .toString()
                .getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public ClientEnd client(Channel channel, ClientSide side) {
        channel.pipeline()
                .addLast(
                        new HttpResponseDecoder(),
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object message) {
                                if (shaped
                                        && message instanceof HttpResponse head
                                        && head.status().code() == 200) {
                                    side.begun();
                                }
                                ctx.fireChannelRead(message);
                            }
                        },
                        new HttpObjectAggregator(1 << 20),
                        new SimpleChannelInboundHandler<FullHttpResponse>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
                                if (answer.decoderResult().isFailure()) {
                                    ctx.close();
                                    return;
                                }
                                int status = answer.status().code();
                                Heard heard = status == 200
                                        ? Heard.SERVED
                                        : status == 429 || status == 503 ? Heard.REFUSED : Heard.FAILED;
                                String after = answer.headers().get("retry-after");
                                side.answered(new Answer(
                                        -1,
                                        heard,
                                        heard == Heard.SERVED ? body(answer) : "",
                                        after == null ? -1 : (long) (1e6 * Double.parseDouble(after)),
                                        HttpUtil.isKeepAlive(answer)));
                            }
                        });
        return new ClientEnd() {
            @Override
            public byte[] request(Call call, int tag) {
                return HttpWire.this.request(call);
            }

            @Override
            public Pace pace(Call call) {
                return shaped && !call.safe() ? Shape.ofRequest(call.id()).pace() : Pace.AT_ONCE;
            }
        };
    }

    /** What was served; where a byte of it is wrong, what nobody made. */
    private String body(FullHttpResponse answer) {
        byte[] all = ByteBufUtil.getBytes(answer.content());
        if (!shaped) {
            return new String(all, StandardCharsets.US_ASCII);
        }
        String text = Shape.text(all);
        int wrong = Arrays.mismatch(all, Shape.of(text).message(text));
        return wrong < 0 ? text : text + ", wrong from byte " + wrong + " of " + all.length;
    }

    private byte[] request(Call call) {
        String body = call.safe() ? "" : "do " + call.operation() + " once, please";
        String head = (call.safe() ? "GET" : "POST") + " /api?k=" + call.operation() + " HTTP/1.1\r\nHost: service\r\n"
                + REQUEST_ID + ": " + call.id() + "\r\n" + REQUEST_CLASS + ": " + call.requestClass() + "\r\n"
                + (call.tenant() == null ? "" : TENANT + ": " + call.tenant() + "\r\n")
                + TIMEOUT + ": " + call.patienceUs() + "u\r\n" + WORK + ": " + call.workUs() + "\r\n"
                + (call.retried() ? "x-retried: 1\r\n" : "")
                + (call.key() == null ? "" : KEY + ": " + call.key() + "\r\n");
        if (shaped && !call.safe()) {
            return framed(head, Shape.ofRequest(call.id()), asked(call.id()));
        }
        return ascii(head + (call.safe() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body);
    }

    @Override
    public byte[] rubbish() {
        return "GET /api HTTP/1.1\r\nthis is no header\r\nContent-Length: -4\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII);
    }
}
