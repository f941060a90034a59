package grebehoist.thrift;

import beechfall.Balancer;
import grebehoist.engine.Intake;
import grebehoist.engine.Log;
import grebehoist.net.AcceptBacklog;
import grebehoist.net.Front;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One listener for Thrift clients: takes calls in, turns bad ones away, and gives each good one exactly one reply. */
public final class ThriftFront implements Front {
    private static final long SWEEP_US = 100_000;

    private final LoopTimers timers;
    private final Log log;
    private final Intake intake;
    private final Sockets sockets;
    private final ThriftOptions options;
    private final CallReader reader;
    private final Set<ThriftClientConnection> connections = new LinkedHashSet<>();
    private Future<?> sweep;
    private Channel listener;
    private boolean closing;
    private long bytesOpen;
    private boolean full;

    /**
     * Makes a front that is yet to listen.
     *
     * @param settings the pool's classes and tenants
     * @param idPrefix ahead of the ids of requests that bring none; no two listeners of a pool may have the same
     */
    public ThriftFront(LoopTimers timers, Log log, Intake intake, Sockets sockets, Balancer.Settings settings, ThriftOptions options,
            String idPrefix) {
        this.timers = timers;
        this.log = log;
        this.intake = intake;
        this.sockets = sockets;
        this.options = options;
        this.reader = new CallReader(settings, options, idPrefix);
    }

    @Override
    public ChannelFuture listen(Network network, InetSocketAddress address) {
        var backlog = new AcceptBacklog(timers, network.loop());
        sweep = network.loop().scheduleWithFixedDelay(this::sweep, SWEEP_US, SWEEP_US, TimeUnit.MICROSECONDS);
        ChannelFuture bound = network.server().clone()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        sockets.clientOpened(channel);
                        channel.pipeline().addLast(new ThriftClientConnection(ThriftFront.this, sockets, backlog.accepted()));
                    }
                }).bind(network.address(address));
        listener = bound.channel();
        bound.addListener(f -> {
            if (f.isSuccess()) {
                sockets.listener(listener);
            } else {
                sweep.cancel(false);
            }
        });
        return bound;
    }

    private void sweep() {
        long now = timers.now();
        List.copyOf(connections).forEach(c -> c.expire(now));
    }

    @Override
    public void closeAfterAnswers() {
        closing = true;
    }

    @Override
    public void stopListening() {
        closing = true;
        listener.close();
        List.copyOf(connections).forEach(ThriftClientConnection::closeIfIdle);
    }

    @Override
    public boolean busy() {
        return !connections.isEmpty();
    }

    /** Counts the bytes of open calls; when they fall below the bound, whoever had to wait goes on. */
    void bytesOpen(long more) {
        bytesOpen += more;
        if (bytesOpen >= options.maxOpenBytesInAll()) {
            full = true;
        } else if (full && bytesOpen < options.maxOpenBytesInAll() / 2) {
            full = false;
            connections.forEach(ThriftClientConnection::pace);
        }
    }

    /** Returns whether the calls that are open take all the memory that they may. */
    boolean full() {
        return full;
    }

    long now() {
        return timers.now();
    }

    long arrivedAt() {
        return timers.arrivedAt();
    }

    boolean catchingUp() {
        return timers.catchingUp();
    }

    Log log() {
        return log;
    }

    Intake intake() {
        return intake;
    }

    CallReader reader() {
        return reader;
    }

    ThriftOptions options() {
        return options;
    }

    /** Returns whether a connection on which nothing more is open is to end. */
    boolean partsSoon() {
        return closing || sockets.crowded();
    }

    void opened(ThriftClientConnection connection) {
        connections.add(connection);
    }

    void closed(ThriftClientConnection connection) {
        connections.remove(connection);
    }
}
