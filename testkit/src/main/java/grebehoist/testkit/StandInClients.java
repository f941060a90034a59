package grebehoist.testkit;

import beechfall.Balancer;
import grebehoist.engine.Timers;
import grebehoist.net.Network;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;

/**
 * Clients that ask proxies, each with a deadline. They keep connections, open more when all are busy, send on each as many
 * requests at a time as the protocol allows, and retry what was refused, or what is safe to repeat; some hang up, dawdle or go half-way. Used by
 * the stand-ins' one thread.
 */
public final class StandInClients {
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
     * @param oneway whether it wants no answer
     */
    public record Order(
            String operation,
            Balancer.RequestClass type,
            String tenant,
            long workUs,
            long patienceUs,
            Manner manner,
            long hangUpUs,
            int retries,
            boolean oneway) {}

    private static final StandInWire.Pace DAWDLE = new StandInWire.Pace(3, 20_000);
    private static final long PIECE_US = 20_000;
    private static final long BACKOFF_US = 50_000;
    private static final int IDLE_MOST = 32;
    private static final long RUDE_PATIENCE_US = 6_000_000;

    /** So few numbers for the calls that are open on a connection that some are in use twice. */
    private static final int TAGS = 7;

    private final StandInWire wire;
    private final Network network;
    private final Timers timers;
    private final Witness witness;
    private final IntFunction<InetSocketAddress> proxies;
    private final BiPredicate<Integer, Long> excused;
    private final List<Deque<Connection>> roomy = new ArrayList<>();
    /** The ports of connections whose process on the other side has been killed. */
    private final Set<Integer> killed = new HashSet<>();

    private IntPredicate dealtOut = proxy -> true;
    private int waiting;
    private long rudeUnanswered;

    /**
     * Makes clients that have asked nothing yet.
     *
     * @param wire what they speak
     * @param proxies where each proxy listens
     * @param excused whether a proxy can't be blamed for what it did not answer by some time: it was stopped or killed
     */
    public StandInClients(
            StandInWire wire,
            Network network,
            Timers timers,
            Witness witness,
            IntFunction<InetSocketAddress> proxies,
            BiPredicate<Integer, Long> excused) {
        this.wire = wire;
        this.network = network;
        this.timers = timers;
        this.witness = witness;
        this.proxies = proxies;
        this.excused = excused;
    }

    /**
     * Tells which proxies new connections are dealt out to from now on, as the front knows it. One that is told to end gets none some 0.3 s
     * later; connections that are there are used on.
     */
    public void dealtOut(IntPredicate to) {
        dealtOut = to;
    }

    /**
     * A process that was told to end, and has not ended in its time, is about to be killed. An answer that has begun on one of its connections
     * can't be finished, through no fault of the proxy (PROTOCOL); what has no answer by then is lost as ever.
     *
     * @param clientPorts the ends on this side of its connections
     */
    public void killing(Set<Integer> clientPorts) {
        killed.addAll(clientPorts);
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

    /** Connections to a proxy on which one more may be asked, the one used last at the end. */
    private Deque<Connection> roomy(int proxy) {
        while (roomy.size() <= proxy) {
            roomy.add(new ArrayDeque<>());
        }
        return roomy.get(proxy);
    }

    /** Takes one out; a request that is sent in pieces, or is to be cut off, shares it with no other. */
    private Connection takeRoomy(int proxy, boolean alone) {
        for (Iterator<Connection> i = roomy(proxy).descendingIterator(); i.hasNext(); ) {
            Connection connection = i.next();
            if (!alone || connection.open.isEmpty()) {
                i.remove();
                return connection;
            }
        }
        return null;
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
        /** When its answer began to come, where that may be what counts. */
        private long begunUs = Long.MAX_VALUE;

        Try(int proxy, Order order, int number, long firstUs) {
            this.firstUs = firstUs;
            this.proxy = proxy;
            this.order = order;
            this.number = number;
            this.id = order.operation() + "." + number;
        }

        void begin() {
            waiting++;
            Connection free = order.manner() == Manner.RUDE ? null : takeRoomy(proxy, order.manner() != Manner.PLAIN);
            if (free != null) {
                free.carry(this);
            } else if (dealtOut.test(proxy)) {
                connect();
            } else {
                // Its client finds nobody.
                end();
            }
        }

        private void connect() {
            var fresh = new Connection(proxy);
            network.client()
                    .clone()
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            fresh.end = wire.client(channel, fresh);
                            channel.pipeline().addLast(fresh);
                        }
                    })
                    .connect(network.address(proxies.apply(proxy)))
                    .addListener(f -> {
                        if (f.isSuccess()) {
                            fresh.carry(this);
                        } else {
                            // Nobody has taken it.
                            end();
                        }
                    });
        }

        void send(Connection on, int tag) {
            connection = on;
            switch (order.manner()) {
                case PLAIN, HANGS_UP -> pieces(on.end.request(call(), tag), 0, on.end.pace(call()));
                case DAWDLES -> pieces(on.end.request(call(), tag), 0, DAWDLE);
                case HALF_WAY -> {
                    byte[] all = on.end.request(call(), tag);
                    witness.asking(ask(Long.MAX_VALUE / 2));
                    on.write(Arrays.copyOfRange(all, 0, all.length - 5));
                    timers.at(timers.now() + PIECE_US, () -> {
                        end();
                        on.channel.close();
                    });
                }
                case RUDE -> {
                    on.write(wire.rubbish());
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

        private Witness.Ask ask(long untilUs) {
            return new Witness.Ask(id, order.operation(), order.type(), proxy, timers.now(), untilUs, order.oneway());
        }

        private StandInWire.Call call() {
            Balancer.Effect effect = order.type().effect();
            return new StandInWire.Call(
                    id,
                    order.operation(),
                    order.type().name(),
                    effect == Balancer.Effect.SAFE,
                    order.tenant(),
                    effect == Balancer.Effect.KEYED ? "key-" + order.operation() : null,
                    order.workUs(),
                    order.patienceUs(),
                    number > 0,
                    order.oneway());
        }

        private void pieces(byte[] all, int from, StandInWire.Pace pace) {
            int to = pace.end(from, all.length);
            if (from == 0 && to < all.length) {
                witness.asking(ask(Long.MAX_VALUE / 2));
            }
            // It may have been answered, or cut off, before its end.
            boolean written = !over && connection.write(Arrays.copyOfRange(all, from, to));
            if (written && to < all.length) {
                timers.at(timers.now() + pace.pauseUs(), () -> pieces(all, to, pace));
            } else if (written || pace.pieces() == 1) {
                whole();
            }
        }

        /** The last byte is written: from now on the proxy owes an answer. */
        private void whole() {
            sent = true;
            long now = timers.now();
            deadlineUs = now + order.patienceUs();
            deadlineUs = Math.max(deadlineUs, connection.latestAhead(this));
            witness.asked(ask(deadlineUs));
            if (order.oneway()) {
                end();
                return;
            }
            timers.at(deadlineUs + witness.lateUs(), this::timeUp);
            if (order.manner() == Manner.HANGS_UP) {
                timers.at(now + order.hangUpUs(), this::hangUp);
            }
        }

        private void timeUp() {
            // Sent once more on another connection, it has its time from then on.
            if (!over && timers.now() >= deadlineUs && !begunInTime()) {
                if (excused.test(proxy, timers.now())) {
                    witness.excused(id);
                } else {
                    witness.unanswered(id, timers.now());
                }
                end();
                connection.leave();
            }
        }

        private boolean begunInTime() {
            return begunUs <= deadlineUs;
        }

        private void hangUp() {
            if (!over) {
                dropped();
                connection.leave();
            }
        }

        /** Its client wants no answer any more. */
        private void dropped() {
            if (!over) {
                witness.left(id, timers.now(), !excused.test(proxy, timers.now()));
                end();
            }
        }

        private void end() {
            if (!over) {
                over = true;
                waiting--;
                if (!sent) {
                    witness.neverAsked(id, timers.now());
                }
            }
        }

        void answered(StandInWire.Answer answer) {
            long now = timers.now();
            end();
            if (!sent) {
                // An error before it was whole, or to what could not be read.
                return;
            }
            if (now > deadlineUs + witness.slackUs() && excused.test(proxy, now)) {
                witness.excused(id);
            }
            switch (answer.heard()) {
                case SERVED -> witness.served(id, answer.body(), begunInTime() ? begunUs : now, now);
                case REFUSED -> witness.refused(id, now);
                default -> witness.failed(id, now);
            }
            Balancer.Effect effect = order.type().effect();
            if (number < order.retries()
                    && (answer.heard() == StandInWire.Heard.REFUSED
                            || answer.heard() == StandInWire.Heard.FAILED && effect == Balancer.Effect.SAFE)) {
                long waitUs = answer.retryAfterUs() < 0 ? BACKOFF_US : answer.retryAfterUs();
                if (effect == Balancer.Effect.KEYED
                        && order.type().scope() == Balancer.Scope.ALL
                        && now + waitUs + order.patienceUs()
                                > firstUs + order.type().windowUs()) {
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
            } else if (begunUs != Long.MAX_VALUE) {
                if (killed.contains(connection.port)) {
                    witness.excused(id);
                } else {
                    witness.cutShort(id, begunUs, now);
                }
                end();
            } else if (witness.cutOff(id, reused, now)) {
                connect();
            } else {
                end();
            }
        }
    }

    private final class Connection extends ChannelInboundHandlerAdapter implements StandInWire.ClientSide {
        private final int proxy;
        private final List<Try> open = new ArrayList<>(1);
        private final List<Integer> tags = new ArrayList<>(1);
        private StandInWire.ClientEnd end;
        private Channel channel;
        /** On this side; 0 as long as it is not connected, or where the network has no ports. */
        private int port;

        private String last = "nobody";
        private int carried;

        Connection(int proxy) {
            this.proxy = proxy;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) throws Exception {
            if (channel.localAddress() instanceof InetSocketAddress address) {
                port = address.getPort();
                killed.remove(port);
            }
            super.channelActive(ctx);
        }

        void carry(Try next) {
            int tag = carried++ % TAGS;
            last = next.id;
            if (!next.order.oneway()) {
                open.add(next);
                tags.add(tag);
            }
            next.send(this, tag);
            if (open.size() < wire.maxOpen() && next.order.manner() == Manner.PLAIN) {
                keep();
            }
        }

        /** An answer can't come before those to the calls ahead of it, or to those of the same number. */
        long latestAhead(Try of) {
            long latest = 0;
            int at = open.indexOf(of);
            for (int i = 0; i < at; i++) {
                if (wire.inOrder() || tags.get(i).equals(tags.get(at))) {
                    latest = Math.max(latest, open.get(i).deadlineUs);
                }
            }
            // Past what the proxy reads, it is taken when those ahead have gone.
            for (int i = 0; at >= wire.taken() && i < at; i++) {
                latest = Math.max(latest, open.get(i).deadlineUs + of.order.patienceUs());
            }
            return latest;
        }

        private void keep() {
            if (channel.isActive() && !roomy(proxy).contains(this)) {
                if (roomy(proxy).size() < IDLE_MOST) {
                    roomy(proxy).addLast(this);
                } else if (open.isEmpty()) {
                    channel.close();
                }
            }
        }

        /** A client hangs up: all that it had open here is wanted no more. */
        void leave() {
            open.forEach(Try::dropped);
            open.clear();
            tags.clear();
            channel.close();
        }

        boolean write(byte[] bytes) {
            if (channel.isActive()) {
                channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
                return true;
            }
            return false;
        }

        @Override
        public void begun() {
            if (!open.isEmpty()) {
                open.get(0).begunUs = Math.min(open.get(0).begunUs, timers.now());
            }
        }

        @Override
        public void answered(StandInWire.Answer answer) {
            int which = answer.tag() < 0 ? open.size() - 1 : tags.indexOf(answer.tag());
            if (which < 0 || wire.inOrder() && which > 0) {
                witness.unasked(last, timers.now());
                return;
            }
            tags.remove(which);
            Try done = open.remove(which);
            done.answered(answer);
            if (answer.reusable() && done.sent) {
                keep();
            } else {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            roomy(proxy).remove(this);
            List<Try> cut = List.copyOf(open);
            open.clear();
            tags.clear();
            cut.forEach(t -> t.cutOff(carried > 1));
            killed.remove(port);
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
