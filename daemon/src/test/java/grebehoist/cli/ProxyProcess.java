package grebehoist.cli;

import beechfall.Balancer;
import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.testkit.ReservedAddress;
import grebehoist.testkit.Rig;
import java.io.IOException;
import java.net.ConnectException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** The built jar in a process of its own, started by the platform's line, with the platform's configuration. */
final class ProxyProcess implements AutoCloseable {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    private final String name;
    private final InetSocketAddress listen;
    private final Balancer.Settings settings;
    private final Path config;
    private final Path log;
    /** What all processes of one proxy share for files; null where there is no door for operators. */
    private Path files;

    private InetSocketAddress door;
    private Process process;

    ProxyProcess(String name, Balancer.Settings settings) throws IOException {
        this(name, settings, ReservedAddress.next());
    }

    private ProxyProcess(String name, Balancer.Settings settings, InetSocketAddress listen) throws IOException {
        this.name = name;
        this.settings = settings;
        this.listen = listen;
        this.config = Files.createTempFile("config", ".json");
        this.log = Files.createTempFile("proxy", ".log");
    }

    /** Gives it a door for operators. */
    ProxyProcess withDoor() throws IOException {
        door = ReservedAddress.next();
        files = Files.createTempDirectory("proxy-files");
        return this;
    }

    /** A new version of this proxy, to run beside it: all is the same but where operators call. */
    ProxyProcess newVersion() throws IOException {
        var next = new ProxyProcess(name, settings, listen);
        next.door = ReservedAddress.next();
        next.files = files;
        return next;
    }

    /** Calls at the operators' door; returns the status, or 0 where nobody answers. */
    int call(String method, String path) throws IOException {
        try (var wire = Wire.to(door)) {
            return wire.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
                    .read()
                    .status();
        } catch (ConnectException e) {
            return 0;
        }
    }

    /** Returns the figures. */
    JsonNode figures() throws IOException {
        try (var wire = Wire.to(door)) {
            return Fixture.json(wire.send("GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                    .read()
                    .body());
        }
    }

    /** Returns what it holds of the other proxies. */
    JsonNode members() throws IOException {
        try (var wire = Wire.to(door)) {
            return Fixture.json(wire.send("GET /v1/members HTTP/1.1\r\nHost: x\r\n\r\n")
                    .read()
                    .body());
        }
    }

    /** Returns what it has of what is distributed. */
    JsonNode distribution() throws IOException {
        try (var wire = Wire.to(door)) {
            return Fixture.json(wire.send("GET /v1/distribution HTTP/1.1\r\nHost: x\r\n\r\n")
                    .read()
                    .body());
        }
    }

    InetSocketAddress address() {
        return listen;
    }

    /** Writes the configuration; {@code known} is a list or null. */
    ProxyProcess configure(InetSocketAddress discovery, String known) throws IOException {
        Files.writeString(config, json(discovery, known));
        return this;
    }

    /** The line {@code run} of the deploy file, or what a caller wants to compare it with. */
    static String runLine() throws IOException {
        String other = System.getProperty("grebehoist.run");
        if (other != null) {
            return other;
        }
        return Files.readAllLines(ROOT.resolve("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
    }

    ProxyProcess start(String... more) throws IOException {
        var command =
                new ProcessBuilder("/bin/sh", "-c", runLine() + (more.length == 0 ? "" : " " + String.join(" ", more)));
        command.directory(ROOT.toFile());
        command.environment().put("PROXY_CONFIG", config.toString());
        if (files != null) {
            command.environment().put("TMPDIR", files.toString());
        }
        process = command.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        return this;
    }

    /** Waits until it says that it can serve. */
    ProxyProcess awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (System.nanoTime() - until < 0) {
            if (!process.isAlive()) {
                throw new IllegalStateException(name + " has ended: " + Files.readString(log));
            }
            if (ready(listen)) {
                return this;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new IllegalStateException(name + " is not ready: " + Files.readString(log));
    }

    /** Waits until it says at its door that it can serve: another process may listen at the same address. */
    ProxyProcess awaitReadyAtDoor() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() - until < 0) {
            if (call("GET", "/v1/readyz") == 200) {
                return this;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new IllegalStateException(name + " is not ready: " + Files.readString(log));
    }

    static boolean ready(InetSocketAddress address) {
        try {
            var connection = (HttpURLConnection) URI.create("http://127.0.0.1:" + address.getPort() + "/ready")
                    .toURL()
                    .openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Stops it, and waits until all of its threads have been. */
    void stop() throws IOException, InterruptedException {
        signal("STOP");
        while (!isStopped()) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private boolean isStopped() throws IOException {
        try (var tasks = Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path task : tasks) {
                String stat = Files.readString(task.resolve("stat"));
                // proc(5): the state is the first field behind the name, which may hold anything.
                if (stat.charAt(stat.lastIndexOf(')') + 2) != 'T') {
                    return false;
                }
            }
        }
        return true;
    }

    int awaitEnd() throws InterruptedException, IOException {
        if (!process.waitFor(30, TimeUnit.SECONDS)) {
            throw new IllegalStateException(name + " does not end: " + Files.readString(log));
        }
        return process.exitValue();
    }

    Path configFile() {
        return config;
    }

    /** Returns the most memory that it has had, in kB (proc(5), VmHWM). */
    long peakKb() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(l -> l.startsWith("VmHWM:"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    boolean alive() {
        return process.isAlive();
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        Files.deleteIfExists(config);
        Files.deleteIfExists(log);
    }

    private String json(InetSocketAddress discovery, String known) {
        List<String> profiles = new ArrayList<>();
        for (Balancer.RequestClass c : settings.classes()) {
            profiles.add(String.format(
                    Locale.ROOT,
                    "{\"name\":\"%s\",\"aim_us\":%d,\"deadline_us\":%d,\"effect\":\"%s\",\"value\":%f,"
                            + "\"late_worth\":%f,\"key_scope\":\"%s\",\"window_us\":%d}",
                    c.name(),
                    c.aimUs(),
                    c.deadlineUs(),
                    switch (c.effect()) {
                        case SAFE -> "idempotent";
                        case KEYED -> "deduplicated";
                        case UNSAFE -> "at_most_once";
                    },
                    c.worth(),
                    c.lateWorth(),
                    c.scope().name().toLowerCase(Locale.ROOT),
                    c.windowUs()));
        }
        List<String> tenants = settings.tenants().stream()
                .map(t ->
                        String.format(Locale.ROOT, "{\"name\":\"%s\",\"allowance_per_s\":%f}", t.name(), t.quotaPerS()))
                .toList();
        Balancer.Limits limits = settings.limits();
        Balancer.Rules rules = settings.rules();
        return String.format(
                Locale.ROOT,
                """
                {"name":"%s","listen":"127.0.0.1:%d",%s"discovery":"127.0.0.1:%d","seed":"5f","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 %s"settings":{"balancers":%d,"rank":%d,"locality":"%s","quantum_us":%d,"registry_mode":"%s","over_share_worth":%f,
                 "bounds":{"cancel":%b,"may_duplicate":false,"probes":false,"most_tries":%d,"max_retry_after_us":%d,"conn_idle_us":15000000,
                  "connect_timeout_us":200000},
                 "invariants":{"cold_from":%f,"cold_us":%d,"fall_multiple":%f,"fall_us":%d,"must_ask_in_us":%d},
                 "profiles":[%s],"projects":[%s]}}
                """,
                name,
                listen.getPort(),
                door == null ? "" : "\"operator\":\"127.0.0.1:" + door.getPort() + "\",",
                discovery.getPort(),
                known == null ? "" : "\"known\":" + known + ",",
                settings.balancers(),
                settings.rank(),
                settings.zone(),
                settings.tickUs(),
                limits.listMustBeAsked() ? "on_request" : "pushed",
                settings.overShareWorth(),
                limits.cancel(),
                limits.maxAttempts(),
                limits.maxRetryAfterUs(),
                rules.coldFrom(),
                rules.coldUs(),
                rules.fallMultiple(),
                rules.fallUs(),
                rules.askWithinUs(),
                String.join(",", profiles),
                String.join(",", tenants));
    }

    /** Begins a proxy on a rig: with a list that it had before, so that it does not warm up for seconds. */
    static ProxyProcess on(Rig rig, String name, Balancer.Settings settings) throws IOException, InterruptedException {
        return on(rig, new ProxyProcess(name, settings));
    }

    /** Begins a proxy on a rig. */
    static ProxyProcess on(Rig rig, ProxyProcess proxy) throws IOException, InterruptedException {
        proxy.configure(rig.discoveryOfNextProxy(), rig.on(rig.discovery()::known))
                .start()
                .awaitReady();
        rig.proxyAt(proxy.address());
        return proxy;
    }
}
