package grebehoist.pool;

import beechfall.Balancer;
import beechfall.Policy;
import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.discovery.Discovery;
import grebehoist.engine.Engine;
import grebehoist.engine.Intake;
import grebehoist.engine.Log;
import grebehoist.engine.MemberSource;
import grebehoist.engine.RequestClaims;
import grebehoist.engine.Tally;
import grebehoist.engine.Transport;
import grebehoist.http.HttpFront;
import grebehoist.http.HttpTransport;
import grebehoist.net.AnswerMemory;
import grebehoist.net.Front;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import grebehoist.thrift.ThriftFront;
import grebehoist.thrift.ThriftOptions;
import grebehoist.thrift.ThriftTransport;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * One pool: backends that share a list and settings, with a decision module of its own. Used by the loop's thread alone,
 * but for the constructor.
 */
public final class Pool {
    /** What all pools of a process share. */
    public record Host(Network network, LoopTimers timers, Sockets sockets, AnswerMemory answers, Log log) {
        /** Those of a process with an account of its own of what waits for clients. */
        public Host(Network network, LoopTimers timers, Sockets sockets, Log log) {
            this(network, timers, sockets, AnswerMemory.ofProcess(), log);
        }
    }

    /**
     * What a pool is told.
     *
     * @param discovery where its list of backends is asked for
     * @param connIdleUs backends close a connection that has stood idle for so long, in microseconds
     * @param connectTimeoutUs how long a connection to a backend may take, in microseconds
     * @param maxFrame the longest Thrift message, in bytes
     */
    public record Spec(
            String name,
            Protocol protocol,
            Balancer.Settings settings,
            InetSocketAddress discovery,
            long connIdleUs,
            long connectTimeoutUs,
            int maxFrame) {
        /** A pool of HTTP backends. */
        public static Spec http(
                String name,
                Balancer.Settings settings,
                InetSocketAddress discovery,
                long connIdleUs,
                long connectTimeoutUs) {
            return new Spec(
                    name, Protocol.HTTP, settings, discovery, connIdleUs, connectTimeoutUs, HttpTransport.MAX_BODY);
        }
    }

    /** What its backends speak. */
    public enum Protocol {
        HTTP,
        THRIFT
    }

    /**
     * What the parts are and what stands between them: nothing in service; a test that wants to see a rule broken puts
     * something there.
     */
    public record Wiring(
            Function<Balancer.Settings, Balancer> module,
            UnaryOperator<Transport> transport,
            UnaryOperator<Intake> intake,
            UnaryOperator<MemberSource.Sink> sink) {
        /** As it is in service. */
        public static final Wiring IN_SERVICE =
                new Wiring(Policy::new, UnaryOperator.identity(), UnaryOperator.identity(), UnaryOperator.identity());
    }

    private final Host host;
    private final Spec spec;
    private final Transport transport;
    private final Balancer module;
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
        transport = wiring.transport().apply(spec.protocol() == Protocol.HTTP ? http(host, spec) : thrift(host, spec));
        module = wiring.module().apply(settings);
        engine = new Engine(settings, module, host.timers(), transport, host.log());
        intake = wiring.intake().apply(engine);
        discovery = new Discovery(
                host.network(), host.timers(), host.log(), wiring.sink().apply(engine), spec.discovery(), settings);
        engine.source(discovery);
    }

    private static Transport http(Host host, Spec spec) {
        return new HttpTransport(
                host.timers(), host.network(), host.sockets(), spec.connIdleUs(), spec.connectTimeoutUs());
    }

    /** In a method of its own: the class is loaded only where it is called. */
    private static Transport thrift(Host host, Spec spec) {
        return new ThriftTransport(
                host.timers(),
                host.network(),
                host.sockets(),
                spec.connIdleUs(),
                spec.connectTimeoutUs(),
                spec.maxFrame());
    }

    /** Names where it is seen what other processes of this proxy have sent on, before the first request. */
    public void claims(RequestClaims shared) {
        engine.claims(shared);
    }

    /** Returns its name. */
    public String name() {
        return spec.name();
    }

    /** Begins with the list that this proxy had in its last life, or null. */
    public void begin(JsonNode known) {
        discovery.known(known);
    }

    /** Returns a new listener's front for Thrift clients, yet to listen. */
    public Front thriftFront(ThriftOptions options, String idPrefix) {
        return new ThriftFront(
                host.timers(), host.log(), intake, host.sockets(), host.answers(), spec.settings(), options, idPrefix);
    }

    /** Returns a new listener's front for HTTP clients, yet to listen. */
    public Front httpFront() {
        return httpFront(this::ready);
    }

    /** Returns a new listener's front for HTTP clients, yet to listen, with an answer of its own for whoever asks if it is ready. */
    public Front httpFront(BooleanSupplier ready) {
        return new HttpFront(host.timers(), host.log(), intake, host.sockets(), host.answers(), spec.settings(), ready);
    }

    /** Returns whether it has heard from discovery in this life, and knows a backend that is ready. */
    public boolean ready() {
        return discovery.heard() && transport.anyReady();
    }

    /** Returns whether any request has ever come. */
    public boolean asked() {
        return engine.open() > 0
                || tally().rows().values().stream().anyMatch(r -> r.served() + r.refused() + r.failed() > 0);
    }

    /** Returns how many requests are open or have attempts out. */
    public int open() {
        return engine.open();
    }

    /** Returns how many requests want an answer. */
    public int unanswered() {
        return engine.unanswered();
    }

    /** Returns what has become of requests so far. */
    public Tally tally() {
        return engine.tally();
    }

    /** Returns how many backends that are ready the module now avoids, as far as it tells. */
    public int avoided() {
        return module instanceof Policy policy
                ? (int) policy.view().stream().filter(Policy.View::avoided).count()
                : 0;
    }

    /** This process acts for a part of one proxy from now on, and another one for the rest. */
    public void act(double part) {
        engine.act(part);
    }

    /** So many processes share the backends from now on, and this is the one of that number, from 0. */
    public void share(int balancers, int rank) {
        engine.share(balancers, rank);
    }

    /** Asks discovery at another address from now on. */
    public void moveTo(InetSocketAddress discoveryAt) {
        discovery.moveTo(discoveryAt);
    }

    /** The process ends soon: every request has its answer by a time, one that comes later at once. */
    public void answerAllBy(long atUs) {
        engine.answerAllBy(atUs);
    }

    /** Ends the watch on discovery. */
    public void end() {
        discovery.end();
    }

    /** Returns the longest that a client of any class waits, in microseconds. */
    public long longestDeadlineUs() {
        return spec.settings().classes().stream()
                .mapToLong(Balancer.RequestClass::deadlineUs)
                .max()
                .orElse(0);
    }
}
