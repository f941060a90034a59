package grebehoist.http;

import beechfall.Balancer;
import grebehoist.engine.Intake;
import grebehoist.engine.Log;
import grebehoist.net.ClientFront;
import grebehoist.net.LoopTimers;
import grebehoist.net.Sockets;
import java.util.function.BooleanSupplier;

/** One listener for HTTP clients: takes requests in, turns bad ones away, and gives each good one exactly one answer. */
public final class HttpFront extends ClientFront<ClientConnection> {
    private final BooleanSupplier ready;
    private final RequestReader reader;

    /**
     * Makes a front that is yet to listen.
     *
     * @param settings the pool's classes and tenants
     * @param ready whether the pool can serve, for whoever asks {@code GET /ready}
     */
    public HttpFront(LoopTimers timers, Log log, Intake intake, Sockets sockets, Balancer.Settings settings,
            BooleanSupplier ready) {
        super(timers, log, intake, sockets);
        this.ready = ready;
        this.reader = new RequestReader(settings);
    }

    @Override
    protected ClientConnection connection(long cameAt) {
        return new ClientConnection(this, sockets(), cameAt);
    }

    RequestReader reader() {
        return reader;
    }

    boolean ready() {
        return ready.getAsBoolean() && !turnsAway();
    }
}
