package grebehoist.discovery;

import beechfall.Balancer;
import beechfall.Balancer.ListKind;
import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.config.Json;
import grebehoist.engine.Listed;
import grebehoist.engine.Log;
import grebehoist.engine.MemberSource;
import grebehoist.net.Addresses;
import grebehoist.net.Network;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Asks discovery for the list of backends. A watch is a row of calls, each sent as soon as the last is answered; when
 * one fails the watch is over, the module is told, and it is the module that asks again, later each time. A call whose answer is
 * overdue may have lost its other end, or wait for a discovery that is slow: one more is made beside it, and the first of the two that
 * is answered is the watch from then on.
 */
public final class Discovery implements MemberSource {
    private static final String PATH = "/v1/endpoints";
    private static final int MAX_ANSWER = 8 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /**
     * An answer that is later than this, beyond the time it may wait, is not coming: the other end is silent. A change counts as told 6 s
     * after discovery had it and could be reached: of these, the pause that the module makes takes 1.2 s and a call's own way the rest.
     */
    private static final long SILENCE_MS = 3_200;
    /**
     * So long after the end of its wait an answer is overdue. What a silent watch has missed counts as told 2 s after that end: this
     * leaves a second call 1.5 s, and a discovery that is merely late is not asked twice for it.
     */
    private static final long OVERDUE_MS = 500;
    private static final long MOST_HOLD_MS = 60_000;
    private static final long LEAST_HOLD_MS = 1_500;
    /** Each empty answer is work for a service that all proxies share: so long for each of them. */
    private static final long HOLD_FOR_EACH_MS = 500;
    private static final long NO_NEWS_MS = 50;
    /**
     * An agent on the same machine answers at once, and at no cost: one that has not in this time is silent, and is asked again. What it
     * gets at discovery's return counts as told at once, and nothing new may go to a drained backend 250 ms later.
     */
    private static final long AGENT_RETRY_MS = 100;
    private static final Map<String, Balancer.State> STATES = Map.of(
            "ready", Balancer.State.READY,
            "draining", Balancer.State.DRAINING,
            "gone", Balancer.State.GONE);

    private final EventLoop loop;
    private final Network network;
    private final Log log;
    private final Sink sink;
    private InetSocketAddress address;
    private final boolean pushed;
    private final long holdMs;
    private final SplittableRandom random;
    /** The call that the watch rests on, or null. */
    private Call watch;
    /** What is asked beside it, as its answer is overdue, or null; never without a watch. */
    private Call beside;
    private boolean wanted;
    private long version = -1;
    private boolean heard;

    /**
     * Makes a source that is yet to be begun with {@link #known}.
     *
     * @param address where discovery is
     */
    public Discovery(Network network, Log log, Sink sink, InetSocketAddress address, Balancer.Settings settings) {
        this.loop = network.loop();
        this.network = network;
        this.log = log;
        this.sink = sink;
        this.address = address;
        this.random = new SplittableRandom(settings.seed());
        this.pushed = !settings.limits().listMustBeAsked();
        // A call whose other end has vanished looks like one that waits: until its answer is overdue no news comes.
        // Never more than twice the time within which a proxy has to ask.
        long share = pushed ? LEAST_HOLD_MS : Math.max(LEAST_HOLD_MS, HOLD_FOR_EACH_MS * settings.balancers());
        this.holdMs = Math.min(Math.min(MOST_HOLD_MS, share), 2 * settings.rules().askWithinUs() / 1_000);
    }

    /** Returns whether a first call has ended: until then the list is as old as the last life of this proxy. */
    public boolean heard() {
        return heard;
    }

    /** Takes in the list that this proxy had in its last life, if any; the module begins with this. */
    public void known(JsonNode list) {
        if (list != null) {
            version = list.path("version").asLong(-1);
        }
        take(ListKind.CACHED, list == null ? Json.object() : list);
        if (pushed) {
            watch(true);
        }
    }

    @Override
    public void watch(boolean on) {
        wanted = on;
        if (!on) {
            endWatch();
        } else if (watch == null) {
            // The first call does not wait: what was missed comes at once, or the news that there is none.
            watch = new Call(true, 0, false);
        }
    }

    private void endWatch() {
        if (watch != null) {
            watch.end();
            watch = null;
        }
        endBeside();
    }

    private void endBeside() {
        if (beside != null) {
            beside.end();
            beside = null;
        }
    }

    /** The watch's answer is overdue, or the call beside it has failed. */
    private void askBeside() {
        if (watch != null && watch.overdue && beside == null) {
            beside = new Call(true, 0, true);
        }
    }

    /**
     * Asks at another address from now on. The backends that are known stay until it has told its own list: the whole
     * of it, as its versions need not count what those of the old address did.
     */
    public void moveTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        version = -1;
        endWatch();
        if (wanted) {
            watch(true);
        }
    }

    @Override
    public void fetch() {
        new Call(false, 0, false);
    }

    private void answered(Call call, JsonNode list) {
        if (!call.address.equals(address)) {
            // A list from where this proxy asked before would undo what the new address has told meanwhile.
            fetch();
            return;
        }
        heard = true;
        if (list == null) {
            failed(call);
            return;
        }
        if (call == beside) {
            watch.end();
            watch = beside;
            beside = null;
        } else if (call == watch) {
            endBeside();
        }
        if (list.path("version").asLong() < call.from) {
            regressed(call, list);
            return;
        }
        if (call == watch) {
            version = list.path("version").asLong();
            if (call.waitMs == 0 || !list.path("servers").isEmpty()) {
                // Before the news is taken in: a watch is over 200 ms after its last answer.
                goOn(call);
            } else {
                // One that answers at once without any news would be asked as fast as the CPU allows.
                loop.schedule(() -> goOn(call), NO_NEWS_MS, TimeUnit.MILLISECONDS);
            }
        }
        take(list.path("full").asBoolean() ? ListKind.FULL : ListKind.DELTA, list);
    }

    /**
     * A list older than the one that this proxy has: from a stale copy of the service, or from one that counts anew.
     * What it says is ready may have been told to drain since, so only its bad news is believed; and the whole list is
     * asked for, which is taken under whatever version it comes.
     */
    private void regressed(Call call, JsonNode list) {
        log.line("discovery: version " + list.path("version").asLong() + " after " + call.from + ", asking for the whole list");
        version = -1;
        // Not at once: two copies that take turns would be asked as fast as the CPU allows.
        loop.schedule(() -> {
            if (watch == call) {
                watch = new Call(true, 0, false);
            }
        }, NO_NEWS_MS, TimeUnit.MILLISECONDS);
        List<Listed> bad = lines(list);
        bad.removeIf(l -> l.backend().state() == Balancer.State.READY);
        if (!bad.isEmpty()) {
            sink.members(ListKind.DELTA, bad);
        }
    }

    private void goOn(Call answered) {
        if (watch == answered) {
            // Not in step with the other proxies, which all start together.
            watch = new Call(true, holdMs - random.nextLong(holdMs / 4 + 1), false);
        }
    }

    /** Of two calls the other may still be answered. */
    private void failed(Call call) {
        if (call == beside) {
            beside = null;
            if (pushed) {
                loop.schedule(this::askBeside, AGENT_RETRY_MS, TimeUnit.MILLISECONDS);
            }
        } else if (call == watch && beside != null) {
            watch = beside;
            beside = null;
        } else {
            watch = call == watch ? null : watch;
            failed();
        }
    }

    /** Where the module has to ask, it decides when to ask again; an agent on the same machine is simply kept up. */
    private void failed() {
        if (pushed) {
            loop.schedule(() -> watch(true), AGENT_RETRY_MS, TimeUnit.MILLISECONDS);
        } else {
            sink.members(ListKind.FAILED, List.of());
        }
    }

    private void take(ListKind kind, JsonNode list) {
        sink.members(kind, lines(list));
    }

    private List<Listed> lines(JsonNode list) {
        var listed = new ArrayList<Listed>();
        for (JsonNode entry : list.path("servers")) {
            Listed line = line(entry);
            if (line == null) {
                log.line("discovery: a malformed entry is left out: " + entry);
            } else {
                listed.add(line);
            }
        }
        return listed;
    }

    private static Listed line(JsonNode entry) {
        Balancer.State state = STATES.get(entry.path("state").asText());
        String address = entry.path("addr").asText();
        String id = entry.path("id").asText();
        double weight = entry.path("weight").asDouble(1);
        if (state == null || Addresses.parse(address) == null || id.isEmpty() || !(weight > 0) || Double.isInfinite(weight)) {
            return null;
        }
        return new Listed(new Balancer.Backend(id, state, entry.path("kind").asText(null),
                entry.path("zone").asText(null), entry.path("cell").asInt(), entry.path("started_ms").asLong() * 1_000,
                weight), address);
    }

    /** One call, on a connection of its own: a few in a minute are not worth keeping any. */
    private final class Call extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress address = Discovery.this.address;
        private final String uri;
        private final long waitMs;
        /** The version that it asks for news from, or -1 where it asks for the whole list. */
        private final long from;
        private final Future<?> timer;
        private final Future<?> overdueTimer;
        private final Channel channel;
        private boolean overdue;
        private boolean ended;

        Call(boolean watching, long waitMs, boolean second) {
            this.waitMs = waitMs;
            from = watching ? version : -1;
            uri = from >= 0 ? PATH + "?from=" + from + "&hold_ms=" + waitMs : PATH;
            // Guards against a discovery that is cut off and says nothing: TCP alone would never tell.
            timer = loop.schedule(() -> finish(null, "no answer in time"),
                    waitMs + (pushed && second ? AGENT_RETRY_MS : SILENCE_MS), TimeUnit.MILLISECONDS);
            // A call that does not wait may be one of many that discovery works through in turn: asked twice, it takes twice as long.
            overdueTimer = !watching || second || waitMs == 0 && !pushed ? null
                    : loop.schedule(this::overdue, waitMs + (pushed ? AGENT_RETRY_MS : OVERDUE_MS), TimeUnit.MILLISECONDS);
            ChannelFuture connect = network.client().clone()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER),
                                    Call.this);
                        }
                    }).connect(network.address(address));
            channel = connect.channel();
            connect.addListener(f -> {
                if (!f.isSuccess()) {
                    finish(null, "no connection");
                }
            });
        }

        private void overdue() {
            if (this == watch) {
                overdue = true;
                askBeside();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            HttpUtil.setKeepAlive(request, false);
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (!response.status().equals(HttpResponseStatus.OK) || response.decoderResult().isFailure()) {
                finish(null, "answer " + response.status());
                return;
            }
            try (InputStream body = new ByteBufInputStream(response.content())) {
                JsonNode list = Json.read(body);
                boolean sound = list.path("version").canConvertToLong() && list.path("full").isBoolean()
                        && list.path("servers").isArray();
                finish(sound ? list : null, "the answer is no list");
            } catch (IOException e) {
                finish(null, "the answer is not JSON");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            finish(null, "the connection broke");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            finish(null, cause.toString());
        }

        private void finish(JsonNode list, String trouble) {
            if (!ended) {
                end();
                if (list == null) {
                    log.line("discovery: " + trouble);
                }
                answered(this, list);
            }
        }

        void end() {
            ended = true;
            timer.cancel(false);
            if (overdueTimer != null) {
                overdueTimer.cancel(false);
            }
            channel.close();
        }
    }
}
