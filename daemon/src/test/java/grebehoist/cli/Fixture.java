package grebehoist.cli;

import beechfall.Balancer;
import beechfall.Balancer.Action;
import beechfall.Balancer.Event;
import beechfall.Policy;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Config;
import grebehoist.config.Json;
import grebehoist.net.Network;
import io.netty.channel.EventLoop;
import java.io.ByteArrayInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.Function;

/** A proxy on loopback, with a module that does as the test says and keeps what it was told. */
public final class Fixture implements Closeable {
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"92094eb940cf389a",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
             "known":{"version":41,"full":true,"servers":[%s]},
             "settings":{"balancers":2,"rank":0,"locality":"a","quantum_us":4000,"registry_mode":"on_request",
              "bounds":{"cancel":true,"may_duplicate":false,"probes":false,"most_tries":4,"max_retry_after_us":2000000,
               "conn_idle_us":%d,"connect_timeout_us":200000},
              "invariants":{"cold_from":0.4,"cold_us":8100000,"fall_multiple":4.0,"fall_us":1000000,
               "must_ask_in_us":10000000},
              "over_share_worth":0.05,
              "profiles":[
               {"name":"read","aim_us":600000,"deadline_us":2000000,"effect":"idempotent","value":1,"late_worth":0},
               {"name":"pay","aim_us":400000,"deadline_us":2000000,"effect":"deduplicated","key_scope":"zone",
                "window_us":1200000,"value":10,"late_worth":0},
               {"name":"vote","aim_us":400000,"deadline_us":2000000,"effect":"at_most_once","value":10,"late_worth":0}],
              "projects":[{"name":"acme","allowance_per_s":100}]}}
            """;

    public final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    public final Peer discovery = new Peer();
    private final Serve serve;
    private final EventLoop loop;
    public final InetSocketAddress address;

    /** Does as the module would: gets the events, and says what is to be done. */
    public interface Module {
        void handle(Event event, Consumer<Action> actions);
    }

    public Fixture(Module module, Peer... backends) throws Exception {
        this(module, 1_024, 15_000_000, backends);
    }

    public Fixture(Module module, int sockets, long idleUs, Peer... backends) throws Exception {
        this(settings -> (now, event, actions) -> module.handle(event, actions), sockets, idleUs, backends);
    }

    /** A proxy with the module that it has in service. */
    public static Fixture inService(Peer... backends) throws Exception {
        return new Fixture(Policy::new, 1_024, 15_000_000, backends);
    }

    /** A proxy whose sockets are made by the test's network. */
    public Fixture(Module module, Network network, Peer... backends) throws Exception {
        this(settings -> (now, event, actions) -> module.handle(event, actions), network, 1_024, 15_000_000, backends);
    }

    private Fixture(Function<Balancer.Settings, Balancer> factory, int sockets, long idleUs, Peer... backends)
            throws Exception {
        this(factory, Network.sockets(), sockets, idleUs, backends);
    }

    private Fixture(
            Function<Balancer.Settings, Balancer> factory, Network network, int sockets, long idleUs, Peer... backends)
            throws Exception {
        var servers = new StringBuilder();
        for (int i = 0; i < backends.length; i++) {
            servers.append(i == 0 ? "" : ",").append(entry("s" + i, backends[i].address(), "ready"));
        }
        Config config = Config.parse(json(CONFIG.formatted(discovery.address(), sockets, servers, idleUs)));
        loop = network.loop();
        Balancer module = factory.apply(config.settings());
        serve = new Serve(
                config,
                (now, event, actions) -> {
                    events.add(event);
                    module.handle(now, event, actions);
                },
                network,
                null);
        address = serve.start();
    }

    public static JsonNode json(String text) throws IOException {
        return Json.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
    }

    public static ObjectNode config() throws IOException {
        return (ObjectNode) json(config("127.0.0.1:1"));
    }

    public static String config(String discovery) {
        return CONFIG.formatted(discovery, 1_024, "", 15_000_000);
    }

    /** What the operators' drain does to the listener. */
    public void sendAway() {
        loop.submit(() -> serve.front().sendAway(true)).syncUninterruptibly();
    }

    /** What SIGHUP does, for a file that may not be there yet. */
    public void reload(Path file) {
        serve.reloading(file).run();
    }

    /** What SIGHUP does. */
    public void reload(String json) throws IOException {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, json);
            serve.reloading(file).run();
        } finally {
            Files.delete(file);
        }
    }

    public static String entry(String id, String address, String state) {
        return "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":1,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":7}"
                .formatted(id, address, state);
    }

    public static String list(long version, boolean full, String... entries) {
        return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}".formatted(version, full, String.join(",", entries));
    }

    /** A module that sends every request to a backend, and fails it when that goes wrong. */
    public static Module sendTo(String backend) {
        return sendTo(backend, 0);
    }

    public static Module sendTo(String backend, long timeoutUs) {
        return (event, actions) -> {
            if (event instanceof Balancer.Arrival a) {
                actions.accept(new Balancer.Send(a.id(), backend, timeoutUs));
            } else if (event instanceof Balancer.AttemptEnded e && !e.last()) {
                actions.accept(new Balancer.Fail(e.id()));
            }
        };
    }

    /** A client's request, as the protocol has it. */
    public static String get(String id) {
        return "GET /api?k=u1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout: 1900m\r\n\r\n";
    }

    public static String post(String id, String body) {
        return "POST /api?k=u%201&x HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: pay\r\nX-Tenant-Id: acme\r\nX-Timeout: 1900m\r\nIdempotency-Key: 5c0f"
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    public Wire client() throws IOException {
        return Wire.to(address);
    }

    /** Waits for the next event of a type. */
    public <T extends Event> T next(Class<T> type) throws InterruptedException {
        while (true) {
            Event event = Peer.next(events);
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    public void drain() {
        serve.drain();
    }

    @Override
    public void close() throws IOException {
        serve.stop();
        discovery.close();
    }
}
