package grebehoist.http;

import beechfall.Balancer;
import grebehoist.engine.Attempt;
import grebehoist.engine.Listed;
import grebehoist.engine.Payload;
import grebehoist.engine.Timers;
import grebehoist.engine.Transport;
import grebehoist.net.Addresses;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The backends of one pool over HTTP/1.1, and the attempts that are out to them. A connection carries one attempt at a
 * time.
 */
public final class HttpTransport implements Transport {
    /** The longest body of a request or an answer, in bytes. */
    public static final int MAX_BODY = 64 * 1024;

    private final Timers timers;
    private final Network network;
    private final Sockets sockets;
    private final Bootstrap bootstrap;
    private final long idleUs;
    private final Map<String, Target> targets = new LinkedHashMap<>();

    /**
     * Makes a transport without backends.
     *
     * @param connIdleUs backends close a connection that has stood idle for so long, in microseconds
     * @param connectTimeoutUs how long a connection may take to come up, in microseconds
     */
    public HttpTransport(Timers timers, Network network, Sockets sockets, long connIdleUs, long connectTimeoutUs) {
        this.timers = timers;
        this.network = network;
        this.sockets = sockets;
        // Well before the backend does: a request that crosses its close ends as a reset, and may have run.
        this.idleUs = connIdleUs * 3 / 5;
        this.bootstrap = network.client().clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1_000));
    }

    Timers timers() {
        return timers;
    }

    EventLoop loop() {
        return network.loop();
    }

    @Override
    public boolean anyReady() {
        return targets.values().stream().anyMatch(t -> t.ready);
    }

    @Override
    public List<HttpAttempt> members(Balancer.ListKind kind, List<Listed> listed) {
        var unsent = new ArrayList<HttpAttempt>();
        var named = new HashSet<String>();
        for (Listed l : listed) {
            named.add(l.backend().id());
            Target target = targets.get(l.backend().id());
            if (target == null || !target.address.equals(l.address())) {
                if (target != null) {
                    // The same backend in another place: the old one gets nothing new.
                    target.ready = false;
                    unsent.addAll(target.stopped());
                }
                target = new Target(l.address());
                targets.put(l.backend().id(), target);
            }
            target.ready = l.backend().state() == Balancer.State.READY;
        }
        if (kind != Balancer.ListKind.DELTA) {
            targets.forEach((id, t) -> t.ready &= named.contains(id));
        }
        targets.values().removeIf(t -> {
            if (!t.ready) {
                unsent.addAll(t.stopped());
            }
            return !t.ready && t.out.isEmpty();
        });
        return unsent;
    }

    @Override
    public void release(String backend) {
        Target target = targets.get(backend);
        if (target != null) {
            target.pool.closeIdle();
        }
    }

    @Override
    public Attempt attempt(String backend, Payload request, long deadlineUs, Attempt.End end) {
        Target target = targets.get(backend);
        if (target == null || !target.ready || !target.pool.hasIdle() && !sockets.roomForBackend()) {
            return null;
        }
        return new HttpAttempt(this, target, (HttpCall) request, deadlineUs, end);
    }

    /** One backend. */
    final class Target {
        private final String address;
        private final Set<HttpAttempt> out = new LinkedHashSet<>();
        private boolean ready;
        final ConnectionPool pool;

        Target(String address) {
            this.address = address;
            var remote = network.address(Addresses.parse(address));
            pool = new ConnectionPool(bootstrap.clone().remoteAddress(remote), new AbstractChannelPoolHandler() {
                @Override
                public void channelCreated(Channel channel) {
                    sockets.backendOpened(channel);
                    var decoder = new Framing.Responses();
                    channel.pipeline().addLast(new HttpRequestEncoder(), decoder, new HttpObjectAggregator(MAX_BODY),
                            new IdleStateHandler(0, 0, idleUs, TimeUnit.MICROSECONDS),
                            new BackendConnection(HttpTransport.this, Target.this, channel, decoder));
                }
            }, timers, sockets);
        }

        boolean ready() {
            return ready;
        }

        void begun(HttpAttempt attempt) {
            out.add(attempt);
        }

        void ended(HttpAttempt attempt) {
            out.remove(attempt);
        }

        /** Closes what is idle; returns the attempts that have not been written whole and so never ran. */
        private List<HttpAttempt> stopped() {
            pool.closeIdle();
            return out.stream().filter(a -> !a.mayHaveRun()).toList();
        }
    }
}
