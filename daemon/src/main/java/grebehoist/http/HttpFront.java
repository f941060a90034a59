package grebehoist.http;

import beechfall.Balancer;
import grebehoist.engine.Intake;
import grebehoist.engine.Log;
import grebehoist.net.AnswerMemory;
import grebehoist.net.ClientFront;
import grebehoist.net.LoopTimers;
import grebehoist.net.Sockets;
import java.util.function.BooleanSupplier;

/** One listener for HTTP clients: takes requests in, turns bad ones away, and gives each good one exactly one answer. */
public final class HttpFront extends ClientFront<ClientConnection> {
    /** What bodies that are held may take together, in bytes: half of what the platform leaves for buffers. */
    private static final long HELD_BODIES = 12L * 1024 * 1024;

    /** How often its connections are looked at. */
    static final long LOOK_US = SWEEP_US;

    private final BooleanSupplier ready;
    private final RequestReader reader;
    private final HeldBodies heldBodies = new HeldBodies(HELD_BODIES);
    private final CutOffs cutOffs;

    /**
     * Makes a front that is yet to listen.
     *
     * @param settings the pool's classes and tenants
     * @param ready whether the pool can serve, for whoever asks {@code GET /ready}
     */
    public HttpFront(
            LoopTimers timers,
            Log log,
            Intake intake,
            Sockets sockets,
            AnswerMemory answers,
            Balancer.Settings settings,
            BooleanSupplier ready) {
        super(timers, log, intake, sockets, answers);
        this.ready = ready;
        this.reader = new RequestReader(settings);
        this.cutOffs = new CutOffs(log);
    }

    @Override
    protected ClientConnection connection() {
        return new ClientConnection(this, sockets());
    }

    RequestReader reader() {
        return reader;
    }

    HeldBodies heldBodies() {
        return heldBodies;
    }

    CutOffs cutOffs() {
        return cutOffs;
    }

    boolean ready() {
        return ready.getAsBoolean() && !turnsAway();
    }
}
