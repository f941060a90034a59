package grebehoist.pool;

import beechfall.Balancer;
import beechfall.Policy;
import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.discovery.Discovery;
import grebehoist.engine.Engine;
import grebehoist.engine.Intake;
import grebehoist.engine.Log;
import grebehoist.engine.MemberSource;
import grebehoist.engine.Transport;
import grebehoist.http.HttpFront;
import grebehoist.http.HttpTransport;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import java.net.InetSocketAddress;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * One pool: backends that share a list and settings, with a decision module of its own. Used by the loop's thread alone,
 * but for the constructor.
 */
public final class Pool {
    /** What all pools of a process share. */
    public record Host(Network network, LoopTimers timers, Sockets sockets, Log log) { }

    /**
     * What a pool is told.
     *
     * @param discovery where its list of backends is asked for
     * @param connIdleUs backends close a connection that has stood idle for so long, in microseconds
     * @param connectTimeoutUs how long a connection to a backend may take, in microseconds
     */
    public record Spec(String name, Balancer.Settings settings, InetSocketAddress discovery, long connIdleUs,
            long connectTimeoutUs) { }

    /**
     * What the parts are and what stands between them: nothing in service; a test that wants to see a rule broken puts
     * something there.
     */
    public record Wiring(Function<Balancer.Settings, Balancer> module, UnaryOperator<Transport> transport,
            UnaryOperator<Intake> intake, UnaryOperator<MemberSource.Sink> sink) {
        /** As it is in service. */
        public static final Wiring IN_SERVICE =
                new Wiring(Policy::new, UnaryOperator.identity(), UnaryOperator.identity(), UnaryOperator.identity());
    }

    private final Host host;
    private final Spec spec;
    private final Transport transport;
    private final Engine engine;
    private final Intake intake;
    private final Discovery discovery;

    /** Puts a pool together with the module that is in service. */
    public Pool(Host host, Spec spec) {
        this(host, spec, Wiring.IN_SERVICE);
    }

    /** Puts a pool together. */
    public Pool(Host host, Spec spec, Wiring wiring) {
        this.host = host;
        this.spec = spec;
        Balancer.Settings settings = spec.settings();
        transport = wiring.transport().apply(new HttpTransport(host.timers(), host.network(), host.sockets(),
                spec.connIdleUs(), spec.connectTimeoutUs()));
        engine = new Engine(settings, wiring.module().apply(settings), host.timers(), transport, host.log());
        intake = wiring.intake().apply(engine);
        discovery = new Discovery(host.network(), host.log(), wiring.sink().apply(engine), spec.discovery(), settings);
        engine.source(discovery);
    }

    /** Returns its name. */
    public String name() {
        return spec.name();
    }

    /** Begins with the list that this proxy had in its last life, or null. */
    public void begin(JsonNode known) {
        discovery.known(known);
    }

    /** Returns a new listener's front, yet to listen. */
    public HttpFront front() {
        return new HttpFront(host.timers(), host.log(), intake, host.sockets(), spec.settings(), this::ready);
    }

    /** Returns whether it has heard from discovery in this life, and knows a backend that is ready. */
    public boolean ready() {
        return discovery.heard() && transport.anyReady();
    }

    /** Returns how many requests are open or have attempts out. */
    public int open() {
        return engine.open();
    }

    /** Asks discovery at another address from now on. */
    public void moveTo(InetSocketAddress discoveryAt) {
        discovery.moveTo(discoveryAt);
    }

    /** Ends the watch on discovery. */
    public void end() {
        discovery.watch(false);
    }

    /** Returns the longest that a client of any class waits, in microseconds. */
    public long longestDeadlineUs() {
        return spec.settings().classes().stream().mapToLong(Balancer.RequestClass::deadlineUs).max().orElse(0);
    }
}
