package grebehoist.trial.scale;

import beechfall.Balancer;
import beechfall.Balancer.Effect;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Scope;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.testkit.HttpWire;
import grebehoist.testkit.Rig;
import grebehoist.testkit.Witness;
import grebehoist.testkit.Witness.Count;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Proxies of the program among the hollow ones, with backends and clients, under the witness of the four rules: what is distributed is not to
 * harm what they are for.
 */
final class RealProxies implements AutoCloseable {
    private static final List<String> FLAGS = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-XX:-UsePerfData",
            "-Dio.netty.jfr.enabled=false",
            "-Xss512k",
            "-Xms24m",
            "-Xmx48m",
            "-XX:MaxDirectMemorySize=40m",
            "-XX:ReservedCodeCacheSize=16m");
    private static final long MS = 1_000;
    private static final long S = 1_000_000;
    private static final int BACKENDS = 8;
    /** What clients ask for, as a part of the backends' capacity. */
    private static final double LOAD = 0.3;
    /** As in {@code run}: so many processes share the machine's cores. */
    private static final long LATE_US = 500 * MS;

    private static final double MOST_LATE = 0.005;
    private static final double MOST_REFUSED = 0.10;
    private static final long START_MS = 60_000;

    private final Plan plan;
    private final Path jar;
    private final ControlMachines machines;
    private final Path directory;
    private final Judge judge;
    private final Consumer<JsonNode> lines;
    private final Rig rig;
    private final List<Subprocess> processes = new ArrayList<>();

    RealProxies(Plan plan, Path jar, Path directory, ControlMachines machines, Judge judge, Consumer<JsonNode> lines) {
        this.plan = plan;
        this.jar = jar;
        this.directory = directory;
        this.machines = machines;
        this.judge = judge;
        this.lines = lines;
        Balancer.Settings settings = new Balancer.Settings(
                plan.real(),
                0,
                Plan.zoneName(0),
                4 * MS,
                List.of(
                        new RequestClass("read", 600 * MS, 2 * S, 1, 0, Effect.SAFE, Scope.ALL, 0),
                        new RequestClass("invoice", 600 * MS, 2_500 * MS, 2, 0, Effect.KEYED, Scope.ZONE, 12 * S),
                        new RequestClass("vote", 600 * MS, 2 * S, 3, 0, Effect.UNSAFE, Scope.ALL, 0)),
                List.of(),
                1,
                false,
                new Balancer.Limits(true, false, false, true, 4, 2 * S),
                new Balancer.Rules(0.4, 8 * S, 4, S, 10 * S, false),
                1);
        rig = new Rig(
                new HttpWire(),
                settings,
                new double[] {0.5, 0.3, 0.2},
                15 * S,
                plan.seed(),
                Witness.Terms.of(settings, Rig.SLACK_US).lateBy(LATE_US));
    }

    /** Starts all, and waits until clients may come to them. */
    void start() throws IOException, InterruptedException {
        rig.machines(BACKENDS);
        for (int i = 0; i < plan.real(); i++) {
            Path file = directory.resolve("p" + i + ".toml");
            Files.writeString(file, text(i, rig.discoveryOfNextProxy()));
            rig.proxyAt(machines.clients(i));
            processes.add(new Subprocess(
                    "p" + (plan.proxies() + i),
                    FLAGS,
                    jar,
                    List.of("serve", "--installation", file.toString()),
                    this::heard));
        }
        for (int i = 0; i < plan.real(); i++) {
            awaitReady(i);
        }
    }

    private String text(int i, InetSocketAddress discovery) throws IOException {
        int number = plan.proxies() + i;
        List<String> all = plan.scopes();
        String scopes = plan.scopesOf(number).stream()
                .map(s -> "\"" + all.get(s) + "\"")
                .collect(Collectors.joining(", "));
        return machines.proxy("p" + number, i).formatted("number = " + number + "\nscopes = [" + scopes + "]")
                + """
                [[pool]]
                name = "all"
                protocol = "http"
                discovery = "127.0.0.1:%d"
                balancers = %d
                rank = %d
                [pool.rules]
                cold_from = 0.4
                cold_ms = 8000
                fall_multiple = 4.0
                fall_ms = 1000
                [[pool.class]]
                name = "read"
                effect = "safe"
                aim_ms = 600
                deadline_ms = 2000
                [[pool.class]]
                name = "invoice"
                effect = "keyed"
                scope = "zone"
                window_ms = 12000
                aim_ms = 600
                deadline_ms = 2500
                worth = 2
                [[pool.class]]
                name = "vote"
                effect = "unsafe"
                aim_ms = 600
                deadline_ms = 2000
                worth = 3
                [[listener]]
                name = "in"
                protocol = "http"
                address = "127.0.0.1:%d"
                pool = "all"
                """.formatted(
                        discovery.getPort(), plan.real(), i, machines.clients(i).getPort());
    }

    private void heard(String line) {
        try {
            lines.accept(Wire.JSON.readTree(line));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a proxy says " + line, e);
        }
    }

    private void awaitReady(int i) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MS);
        while (!ready(i)) {
            if (System.nanoTime() - until > 0 || !processes.get(i).alive()) {
                throw new IOException(processes.get(i).name() + " does not get ready: "
                        + processes.get(i).log());
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private boolean ready(int i) {
        try {
            var connection = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + machines.clients(i).getPort() + "/ready")
                            .toURL()
                            .openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Clients come. */
    void load() {
        rig.load(LOAD * rig.on(() -> rig.fleet().capacity()), 3_600 * S);
    }

    /** Ends the load, tells the judge what must not be, and returns the witness's verdict. */
    String finish() {
        Witness witness = rig.finish();
        rig.on(witness::violations).forEach(v -> judge.found("rule: " + v));
        double asked = rig.on(() -> witness.count(Count.ASKED));
        double refused = rig.on(() -> witness.count(Count.REFUSED));
        double late = rig.on(() -> witness.count(Count.LATE));
        if (refused > MOST_REFUSED * asked) {
            judge.found(String.format(Locale.ROOT, "%.0f of %.0f requests refused", refused, asked));
        }
        if (late > MOST_LATE * asked) {
            judge.found(String.format(Locale.ROOT, "%.0f of %.0f answers came after their time", late, asked));
        }
        for (Subprocess p : processes) {
            if (!p.alive()) {
                judge.found(p.name() + " has ended by itself: " + p.log());
            }
        }
        return rig.on(witness::verdict);
    }

    @Override
    public void close() {
        processes.forEach(Subprocess::close);
        rig.close();
    }
}
