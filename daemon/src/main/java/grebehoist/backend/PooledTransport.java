package grebehoist.backend;

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
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The backends of one pool, and the attempts that are out to them, one on a connection. */
public abstract class PooledTransport implements Transport {
    /**
     * An idle connection is closed after this part of the time after which its backend closes it: a proxy of many that meets a
     * backend seldom would take up a place there that others are turned away for.
     */
    private static final int IDLE_PART = 6;
    /** A backend that has sent what nobody asked for may do so again for some time: its connections carry one attempt each until then. */
    private static final long SUSPICION_US = 10_000_000;

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
    protected PooledTransport(Timers timers, Network network, Sockets sockets, long connIdleUs, long connectTimeoutUs) {
        this.timers = timers;
        this.network = network;
        this.sockets = sockets;
        // Well before the backend does: a request that crosses its close ends as a reset, and may have run.
        this.idleUs = connIdleUs / IDLE_PART;
        this.bootstrap = network.client().clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                Math.max(1, connectTimeoutUs / 1_000));
    }

    /** Sets a new connection's handlers up, and returns the connection. */
    protected abstract PooledConnection connection(Channel channel, Target target);

    /** Makes an attempt. */
    protected abstract PooledAttempt attempt(Target target, Payload request, long deadlineUs, Attempt.End end);

    /** Returns the time and timers. */
    protected final Timers timers() {
        return timers;
    }

    /** Returns after how long an idle connection is closed from this side, in microseconds. */
    protected final long idleUs() {
        return idleUs;
    }

    @Override
    public final boolean anyReady() {
        return targets.values().stream().anyMatch(t -> t.ready);
    }

    @Override
    public final List<PooledAttempt> members(Balancer.ListKind kind, List<Listed> listed) {
        var unsent = new ArrayList<PooledAttempt>();
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
    public final void release(String backend) {
        Target target = targets.get(backend);
        if (target != null) {
            target.pool.closeIdle();
        }
    }

    @Override
    public final Attempt attempt(String backend, Payload request, long deadlineUs, Attempt.End end) {
        Target target = targets.get(backend);
        if (target == null || !target.ready || !target.pool.hasIdle(end.hasEffect()) && !sockets.roomForBackend()) {
            return null;
        }
        return attempt(target, request, deadlineUs, end);
    }

    /** One backend. */
    public final class Target {
        private final String address;
        private final Set<PooledAttempt> out = new LinkedHashSet<>();
        private final ConnectionPool pool;
        private boolean ready;
        private long suspectUntilUs = Long.MIN_VALUE;

        private Target(String address) {
            this.address = address;
            var remote = network.address(Addresses.parse(address));
            pool = new ConnectionPool(
                    bootstrap.clone().remoteAddress(remote),
                    new AbstractChannelPoolHandler() {
                        @Override
                        public void channelCreated(Channel channel) {
                            sockets.backendOpened(channel);
                            channel.attr(PooledConnection.KEY).set(connection(channel, Target.this));
                        }
                    },
                    timers,
                    sockets);
        }

        Timers timers() {
            return timers;
        }

        /** Returns the thread that all of it runs on. */
        EventLoop loop() {
            return network.loop();
        }

        /** Returns its connections. */
        public ConnectionPool pool() {
            return pool;
        }

        /** Returns whether it wants anything new. */
        public boolean ready() {
            return ready;
        }

        /** Returns whether a connection that has carried an attempt may carry another. */
        boolean reuses() {
            return ready && timers.now() >= suspectUntilUs;
        }

        /**
         * Something has come on an idle connection that nobody asked for. Had an attempt been out there by then it would have been taken for its
         * answer, and so may what comes next on any other.
         */
        void unasked() {
            suspectUntilUs = timers.now() + SUSPICION_US;
            pool.closeIdle();
        }

        void begun(PooledAttempt attempt) {
            out.add(attempt);
        }

        void ended(PooledAttempt attempt) {
            out.remove(attempt);
        }

        /** Closes what is idle; returns the attempts that have not been written whole and so never ran. */
        private List<PooledAttempt> stopped() {
            pool.closeIdle();
            return out.stream().filter(a -> !a.mayHaveRun()).toList();
        }
    }
}
