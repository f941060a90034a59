package grebehoist.testkit;

import beechfall.Balancer;
import grebehoist.engine.Timers;
import grebehoist.net.Network;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.IntFunction;

/**
 * Clients that ask proxies, each with a deadline. They keep connections, open more when all are busy, send one request
 * at a time on each, and retry what was refused, or what is safe to repeat; some hang up, dawdle or go half-way. Used by
 * the stand-ins' one thread.
 */
public final class StandInClients {
    static final String REQUEST_ID = "x-request-id";
    static final String REQUEST_CLASS = "x-priority-class";
    static final String KEY = "idempotency-key";
    static final String WORK = "x-work-us";

    /** How a client behaves. */
    public enum Manner {
        /** Sends at once, waits until it is answered or its time is up. */
        PLAIN,
        /** Hangs up a while after it has sent. */
        HANGS_UP,
        /** Sends in pieces. */
        DAWDLES,
        /** Sends half, and closes: it has asked nothing. */
        HALF_WAY,
        /** Sends what can't be read; it is owed an error or a close. */
        RUDE
    }

    /**
     * What is to be asked.
     *
     * @param operation names what is to happen; no two orders share it
     * @param tenant or null
     * @param workUs what it costs a backend
     * @param patienceUs how long the client waits for an answer
     * @param hangUpUs when one that hangs up does so, after it has sent
     * @param retries how often it asks again at most
     */
    public record Order(String operation, Balancer.RequestClass type, String tenant, long workUs, long patienceUs,
            Manner manner, long hangUpUs, int retries) { }

    private static final long PIECE_US = 20_000;
    private static final long BACKOFF_US = 50_000;
    private static final int IDLE_MOST = 32;
    private static final long RUDE_PATIENCE_US = 6_000_000;

    private final Network network;
    private final Timers timers;
    private final Witness witness;
    private final IntFunction<InetSocketAddress> proxies;
    private final BiPredicate<Integer, Long> excused;
    private final List<Deque<Connection>> idle = new ArrayList<>();
    private int waiting;
    private long rudeUnanswered;

    /**
     * Makes clients that have asked nothing yet.
     *
     * @param proxies where each proxy listens
     * @param excused whether a proxy can't be blamed for what it did not answer by some time: it was stopped or killed
     */
    public StandInClients(Network network, Timers timers, Witness witness, IntFunction<InetSocketAddress> proxies,
            BiPredicate<Integer, Long> excused) {
        this.network = network;
        this.timers = timers;
        this.witness = witness;
        this.proxies = proxies;
        this.excused = excused;
    }

    /** Returns how many requests still wait for an answer. */
    public int waiting() {
        return waiting;
    }

    /** Returns how many rude clients had neither an error nor a close in time. */
    public long rudeUnanswered() {
        return rudeUnanswered;
    }

    /** Asks a proxy. */
    public void ask(int proxy, Order order) {
        new Try(proxy, order, 0, timers.now()).begin();
    }

    private Deque<Connection> idle(int proxy) {
        while (idle.size() <= proxy) {
            idle.add(new ArrayDeque<>());
        }
        return idle.get(proxy);
    }

    /** One request of an order. */
    private final class Try {
        private final int proxy;
        private final Order order;
        private final int number;
        private final String id;
        private final long firstUs;
        private Connection connection;
        private boolean sent;
        private boolean over;
        private long deadlineUs;

        Try(int proxy, Order order, int number, long firstUs) {
            this.firstUs = firstUs;
            this.proxy = proxy;
            this.order = order;
            this.number = number;
            this.id = order.operation() + "." + number;
        }

        void begin() {
            waiting++;
            Connection free = order.manner() == Manner.RUDE ? null : idle(proxy).pollLast();
            if (free != null) {
                free.carry(this);
            } else {
                connect();
            }
        }

        private void connect() {
            var fresh = new Connection(proxy);
            network.client().clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpResponseDecoder(), new HttpObjectAggregator(1 << 20), fresh);
                }
            }).connect(network.address(proxies.apply(proxy))).addListener(f -> {
                if (f.isSuccess()) {
                    fresh.carry(this);
                } else {
                    // Nobody has taken it.
                    end();
                }
            });
        }

        void send(Connection on) {
            connection = on;
            switch (order.manner()) {
                case PLAIN, HANGS_UP -> {
                    on.write(head() + body());
                    whole();
                }
                case DAWDLES -> {
                    String all = head() + body();
                    int third = all.length() / 3;
                    on.write(all.substring(0, third));
                    timers.at(timers.now() + PIECE_US, () -> on.write(all.substring(third, 2 * third)));
                    timers.at(timers.now() + 2 * PIECE_US, () -> {
                        if (on.write(all.substring(2 * third))) {
                            whole();
                        }
                    });
                }
                case HALF_WAY -> {
                    String all = head() + body();
                    on.write(all.substring(0, all.length() - 5));
                    timers.at(timers.now() + PIECE_US, () -> {
                        end();
                        on.channel.close();
                    });
                }
                case RUDE -> {
                    on.write("GET /api HTTP/1.1\r\nthis is no header\r\nContent-Length: -4\r\n\r\n");
                    timers.at(timers.now() + RUDE_PATIENCE_US, () -> {
                        if (!over && !excused.test(proxy, timers.now())) {
                            rudeUnanswered++;
                        }
                        end();
                        on.channel.close();
                    });
                }
                default -> throw new IllegalStateException("no such manner");
            }
        }

        /** The last byte is written: from now on the proxy owes an answer. */
        private void whole() {
            sent = true;
            long now = timers.now();
            deadlineUs = now + order.patienceUs();
            witness.asked(new Witness.Ask(id, order.operation(), order.type(), proxy, now, deadlineUs));
            timers.at(deadlineUs, this::timeUp);
            if (order.manner() == Manner.HANGS_UP) {
                timers.at(now + order.hangUpUs(), this::hangUp);
            }
        }

        private void timeUp() {
            // Sent once more on another connection, it has its time from then on.
            if (!over && timers.now() >= deadlineUs) {
                if (excused.test(proxy, timers.now())) {
                    witness.excused(id);
                } else {
                    witness.unanswered(id, timers.now());
                }
                end();
                connection.channel.close();
            }
        }

        private void hangUp() {
            if (!over) {
                witness.left(id, timers.now(), !excused.test(proxy, timers.now()));
                end();
                connection.channel.close();
            }
        }

        private void end() {
            if (!over) {
                over = true;
                waiting--;
            }
        }

        private String head() {
            boolean get = order.type().effect() == Balancer.Effect.SAFE;
            return (get ? "GET" : "POST") + " /api?k=" + order.operation() + " HTTP/1.1\r\nHost: service\r\n"
                    + REQUEST_ID + ": " + id + "\r\n" + REQUEST_CLASS + ": " + order.type().name() + "\r\n"
                    + (order.tenant() == null ? "" : "x-tenant-id: " + order.tenant() + "\r\n")
                    + "x-timeout: " + order.patienceUs() + "u\r\n" + WORK + ": " + order.workUs() + "\r\n"
                    + (number > 0 ? "x-retried: 1\r\n" : "")
                    + (order.type().effect() == Balancer.Effect.KEYED ? KEY + ": key-" + order.operation() + "\r\n" : "")
                    + (get ? "" : "Content-Length: " + body().length() + "\r\n") + "\r\n";
        }

        private String body() {
            return order.type().effect() == Balancer.Effect.SAFE ? "" : "do " + order.operation() + " once, please";
        }

        void answered(FullHttpResponse answer) {
            long now = timers.now();
            int status = answer.status().code();
            end();
            if (!sent) {
                // An error before it was whole, or to what could not be read.
                return;
            }
            boolean refused = status == 429 || status == 503;
            if (status == 200) {
                witness.served(id, answer.content().toString(StandardCharsets.US_ASCII), now);
            } else if (refused) {
                witness.refused(id, now);
            } else {
                witness.failed(id, now);
            }
            Balancer.Effect effect = order.type().effect();
            if (number < order.retries() && (refused || status != 200 && effect == Balancer.Effect.SAFE)) {
                String after = answer.headers().get("retry-after");
                long waitUs = after == null ? BACKOFF_US : (long) (1e6 * Double.parseDouble(after));
                if (effect == Balancer.Effect.KEYED && order.type().scope() == Balancer.Scope.ALL
                        && now + waitUs + order.patienceUs() > firstUs + order.type().windowUs()) {
                    // It may have run though it was refused: harmless only as long as all of them remember it.
                    return;
                }
                timers.at(now + waitUs, () -> new Try(proxy, order, number + 1, firstUs).begin());
            }
        }

        /** The connection has ended under it. */
        void cutOff(boolean reused) {
            if (over) {
                return;
            }
            long now = timers.now();
            if (!sent) {
                end();
            } else if (excused.test(proxy, now)) {
                witness.excused(id);
                end();
            } else if (witness.cutOff(id, reused, now)) {
                connect();
            } else {
                end();
            }
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int proxy;
        private Channel channel;
        private Try current;
        private String last = "nobody";
        private int carried;

        Connection(int proxy) {
            this.proxy = proxy;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        void carry(Try next) {
            current = next;
            last = next.id;
            carried++;
            next.send(this);
        }

        boolean write(String text) {
            if (channel.isActive()) {
                channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
                return true;
            }
            return false;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (answer.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            Try done = current;
            if (done == null) {
                witness.unasked(last, timers.now());
                return;
            }
            current = null;
            done.answered(answer);
            if (HttpUtil.isKeepAlive(answer) && done.sent && idle(proxy).size() < IDLE_MOST) {
                idle(proxy).addLast(this);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            idle(proxy).remove(this);
            if (current != null) {
                Try cut = current;
                current = null;
                cut.cutOff(carried > 1);
            }
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
