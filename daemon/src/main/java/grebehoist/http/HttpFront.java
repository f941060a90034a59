package grebehoist.http;

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
import java.util.function.BooleanSupplier;

/** One listener for HTTP clients: takes requests in, turns bad ones away, and gives each good one exactly one answer. */
public final class HttpFront implements Front {
    /** How often connections are looked at that hold no request. */
    private static final long SWEEP_US = 100_000;

    private final LoopTimers timers;
    private final Log log;
    private final Intake intake;
    private final Sockets sockets;
    private final BooleanSupplier ready;
    private final RequestReader reader;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean closing;
    private Future<?> sweep;

    /**
     * Makes a front that is yet to listen.
     *
     * @param settings the pool's classes and tenants
     * @param ready whether the pool can serve, for whoever asks {@code GET /ready}
     */
    public HttpFront(LoopTimers timers, Log log, Intake intake, Sockets sockets, Balancer.Settings settings,
            BooleanSupplier ready) {
        this.timers = timers;
        this.log = log;
        this.intake = intake;
        this.sockets = sockets;
        this.ready = ready;
        this.reader = new RequestReader(settings);
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
                        channel.pipeline().addLast(new ClientConnection(HttpFront.this, sockets, backlog.accepted()));
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

    /** One timer for all: one for each connection would have to be set anew with each request. */
    private void sweep() {
        long now = timers.now();
        List.copyOf(connections).forEach(c -> c.expire(now));
    }

    /** When a byte that is read now may have come. */
    long arrivedAt() {
        return timers.arrivedAt();
    }

    /** Returns whether the end of a connection may wait behind a request that has just been read on it. */
    boolean catchingUp() {
        return timers.catchingUp();
    }

    @Override
    public void closeAfterAnswers() {
        closing = true;
    }

    @Override
    public void stopListening() {
        closing = true;
        listener.close();
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
    }

    @Override
    public boolean busy() {
        return !connections.isEmpty();
    }

    long now() {
        return timers.now();
    }

    Log log() {
        return log;
    }

    Intake intake() {
        return intake;
    }

    RequestReader reader() {
        return reader;
    }

    boolean ready() {
        return ready.getAsBoolean() && !closing;
    }

    /** Returns whether a connection on which nothing more is asked is to end with its answer. */
    boolean partsSoon() {
        return closing || sockets.crowded();
    }

    void opened(ClientConnection connection) {
        connections.add(connection);
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
    }
}
