package grebehoist.testkit;

import beechfall.Balancer.State;
import grebehoist.engine.Timers;
import grebehoist.net.Network;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The service that tells the list of backends, to each proxy at an address of its own, so that the witness hears which
 * one was told what. It can be late, stale, down, silent, and contradict itself. Used by the stand-ins' one thread.
 */
public final class StandInDiscovery {
    /** What it does with a call. */
    public enum Mode {
        /** Answers. */
        UP,
        /** Ends the connection. */
        DOWN,
        /** Takes the call and says nothing. */
        SILENT,
        /** Answers 503. */
        BUSY,
        /** Answers with what is no list. */
        NOISE,
        /** Answers with the list as it was some changes ago, under the version that it had then. */
        STALE
    }

    /** A line of the list. */
    public record Entry(
            String id,
            String address,
            String zone,
            String kind,
            int cell,
            State state,
            double weight,
            long startedAtUs) {
        Entry in(State next) {
            return new Entry(id, address, zone, kind, cell, next, weight, startedAtUs);
        }
    }

    private record Change(long version, Entry entry) {}

    /** The whole list at some version. */
    private record Snapshot(long version, Map<String, Entry> entries) {}

    private static final int STALE_CHANGES = 3;
    private static final int KEPT_CHANGES = 200;

    private final Network network;
    private final Timers timers;
    private final Witness witness;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final Deque<Snapshot> past = new ArrayDeque<>();
    private final Set<Call> waiting = new LinkedHashSet<>();
    private final Set<Channel> open = new LinkedHashSet<>();
    private final List<Set<String>> known = new ArrayList<>();
    private long version = 1;
    private Mode mode = Mode.UP;
    private long calls;
    private final Map<Integer, Long> callsByProxy = new LinkedHashMap<>();

    /** Makes a service without backends. */
    public StandInDiscovery(Network network, Timers timers, Witness witness) {
        this.network = network;
        this.timers = timers;
        this.witness = witness;
    }

    /** Listens for one proxy; the number of the proxy is that of the call, from 0. */
    public ChannelFuture listen(InetSocketAddress address) {
        int proxy = known.size();
        known.add(new LinkedHashSet<>());
        return network.server()
                .clone()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        open.add(channel);
                        channel.closeFuture().addListener(f -> open.remove(channel));
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1_024), new Call(proxy));
                    }
                })
                .bind(network.address(address));
    }

    /** Changes what it does with calls from now on; whoever waits when it goes down is cut off. */
    public void mode(Mode next) {
        mode = next;
        if (next != Mode.UP && next != Mode.SILENT) {
            waiting.clear();
            List.copyOf(open).forEach(Channel::close);
        } else if (next == Mode.UP) {
            List.copyOf(waiting).stream().filter(c -> c.from != version).forEach(Call::answer);
        }
    }

    /** Returns how many calls have come. */
    public long calls() {
        return calls;
    }

    /** Returns how many calls have come at the address of one proxy. */
    public long callsAt(int proxy) {
        return callsByProxy.getOrDefault(proxy, 0L);
    }

    /** A backend is new, or has changed: from now on it is told so. */
    public void put(Entry entry) {
        past.add(new Snapshot(version, Map.copyOf(entries)));
        if (past.size() > STALE_CHANGES) {
            past.remove();
        }
        version++;
        if (entry.state() == State.GONE) {
            entries.remove(entry.id());
        } else {
            entries.put(entry.id(), entry);
        }
        changes.add(new Change(version, entry));
        if (changes.size() > KEPT_CHANGES) {
            changes.remove();
        }
        if (mode == Mode.UP) {
            List.copyOf(waiting).forEach(Call::answer);
        }
    }

    /** Changes the state of a backend that is listed. */
    public void state(String id, State state) {
        Entry entry = entries.get(id);
        if (entry != null) {
            put(entry.in(state));
        }
    }

    /** Returns the backends that are listed. */
    public List<Entry> listed() {
        return List.copyOf(entries.values());
    }

    /** Returns the list as JSON, as the platform's configuration holds it. */
    public String known() {
        return json(version, true, entries.values());
    }

    private static String json(long version, boolean full, Iterable<Entry> entries) {
        var text = new StringBuilder("{\"version\":")
                .append(version)
                .append(",\"full\":")
                .append(full)
                .append(",\"servers\":[");
        String comma = "";
        for (Entry e : entries) {
            text.append(comma)
                    .append("{\"id\":\"")
                    .append(e.id())
                    .append("\",\"addr\":\"")
                    .append(e.address())
                    .append("\",\"zone\":\"")
                    .append(e.zone())
                    .append("\",\"kind\":\"")
                    .append(e.kind())
                    .append("\",\"cell\":")
                    .append(e.cell())
                    .append(",\"state\":\"")
                    .append(e.state().name().toLowerCase(Locale.ROOT))
                    .append("\",\"weight\":")
                    .append(e.weight())
                    .append(",\"started_ms\":")
                    .append(e.startedAtUs() / 1_000)
                    .append('}');
            comma = ",";
        }
        return text.append("]}").toString();
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int proxy;
        private ChannelHandlerContext ctx;
        private long from = -1;

        Call(int proxy) {
            this.proxy = proxy;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            ctx = context;
            calls++;
            callsByProxy.merge(proxy, 1L, Long::sum);
            var uri = new QueryStringDecoder(request.uri());
            from = Long.parseLong(
                    uri.parameters().getOrDefault("from", List.of("-1")).get(0));
            long holdUs = 1_000
                    * Long.parseLong(uri.parameters()
                            .getOrDefault("hold_ms", List.of("0"))
                            .get(0));
            switch (mode) {
                case UP, STALE -> {
                    if (from >= 0 && from == shown().version() && holdUs > 0) {
                        waiting.add(this);
                        timers.at(timers.now() + holdUs, () -> {
                            if (waiting.contains(this)) {
                                answer();
                            }
                        });
                    } else {
                        answer();
                    }
                }
                case DOWN -> ctx.close();
                case BUSY -> send(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
                case NOISE -> send(HttpResponseStatus.OK, "{\"servers\":\"none\"");
                default -> {}
            }
        }

        private Snapshot shown() {
            return mode == Mode.STALE && !past.isEmpty() ? past.getFirst() : new Snapshot(version, entries);
        }

        void answer() {
            waiting.remove(this);
            Snapshot shown = shown();
            boolean delta = from >= 0
                    && shown.version() == version
                    && (from == version
                            || !changes.isEmpty() && from >= changes.getFirst().version() - 1)
                    && from <= version;
            var told = new ArrayList<Entry>();
            if (delta) {
                changes.stream().filter(c -> c.version() > from).forEach(c -> told.add(c.entry()));
            } else {
                told.addAll(shown.entries().values());
            }
            // An older list in answer to a newer version is no news of what is ready: see the page on testing.
            boolean regress = from > shown.version();
            tell(delta, told, regress);
            send(HttpResponseStatus.OK, json(shown.version(), !delta, told));
        }

        private void tell(boolean delta, List<Entry> told, boolean regress) {
            Set<String> names = known.get(proxy);
            long now = timers.now();
            for (Entry e : told) {
                names.add(e.id());
                if (e.state() != State.READY || !regress) {
                    witness.told(proxy, e.id(), e.state() == State.READY, now);
                }
            }
            if (!delta && !regress) {
                for (String id : List.copyOf(names)) {
                    if (told.stream().noneMatch(e -> e.id().equals(id))) {
                        names.remove(id);
                        witness.told(proxy, id, false, now);
                    }
                }
            }
        }

        private void send(HttpResponseStatus status, String body) {
            var answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            HttpUtil.setContentLength(answer, body.length());
            ctx.writeAndFlush(answer);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) throws Exception {
            waiting.remove(this);
            super.channelInactive(context);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
