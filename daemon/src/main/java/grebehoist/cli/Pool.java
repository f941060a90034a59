package grebehoist.cli;

import beechfall.Balancer;
import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.discovery.Discovery;
import grebehoist.engine.Engine;
import grebehoist.engine.Log;
import grebehoist.engine.Timers;
import grebehoist.http.HttpFront;
import grebehoist.http.HttpTransport;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import java.net.InetSocketAddress;

/**
 * One pool: backends that share a list and settings, with a decision module of its own. Used by the loop's thread alone,
 * but for the constructor.
 */
final class Pool {
    /** What all pools of a process share. */
    record Host(Network network, Timers timers, Sockets sockets, Log log) { }

    private final Host host;
    private final Balancer.Settings settings;
    private final HttpTransport transport;
    private final Engine engine;
    private final Discovery discovery;

    Pool(Host host, Balancer.Settings settings, Balancer module, InetSocketAddress discoveryAt, long connIdleUs,
            long connectTimeoutUs) {
        this.host = host;
        this.settings = settings;
        transport = new HttpTransport(host.timers(), host.network(), host.sockets(), connIdleUs, connectTimeoutUs);
        engine = new Engine(settings, module, host.timers(), transport, host.log());
        discovery = new Discovery(host.network(), host.log(), engine, discoveryAt, settings);
        engine.source(discovery);
    }

    Balancer.Settings settings() {
        return settings;
    }

    /** Begins with the list that this proxy had in its last life, or null. */
    void begin(JsonNode known) {
        discovery.known(known);
    }

    HttpFront front() {
        return new HttpFront(host.timers(), host.log(), engine, host.sockets(), settings, this::ready);
    }

    boolean ready() {
        return discovery.heard() && transport.anyReady();
    }

    void moveTo(InetSocketAddress discoveryAt) {
        discovery.moveTo(discoveryAt);
    }

    void end() {
        discovery.watch(false);
    }

    long longestDeadlineUs() {
        return settings.classes().stream().mapToLong(Balancer.RequestClass::deadlineUs).max().orElse(0);
    }
}
