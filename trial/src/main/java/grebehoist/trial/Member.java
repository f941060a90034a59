package grebehoist.trial;

import beechfall.Balancer;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One proxy: its platform's configuration, and a process that is started, stopped, killed and started again. Used by one thread. */
final class Member implements AutoCloseable {
    private static final int KEPT_LINES = 200;
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
            "-XX:MaxMetaspaceSize=32m",
            "-XX:ReservedCodeCacheSize=16m");

    private final String name;
    private final Path jar;
    private final Path config;
    /** Null where the platform's configuration is all that it is told. */
    private final Path installation;

    private final InetSocketAddress listen;
    private final Consumer<String> lines;
    private final Deque<String> log = new ArrayDeque<>();
    private final Map<String, String> environment = new HashMap<>();
    /** Null where the jar is the whole program. */
    private Path overrides;

    private Process process;
    private Thread reader;

    /**
     * Makes one that is yet to be started.
     *
     * @param installed its installation file's text, or null
     * @param lines hears each line of JSON that the process writes, on a thread of its own
     */
    Member(
            String name,
            Path jar,
            Path directory,
            InetSocketAddress listen,
            ObjectNode json,
            String installed,
            Consumer<String> lines)
            throws IOException {
        this.name = name;
        this.jar = jar;
        this.listen = listen;
        this.lines = lines;
        this.config = directory.resolve(name + ".json");
        Files.writeString(config, json.toString());
        this.installation = installed == null ? null : Files.writeString(directory.resolve(name + ".toml"), installed);
    }

    /** Returns the platform's configuration of a proxy that may speak to others. */
    static ObjectNode config(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            Balancer.Settings settings,
            String known,
            InetSocketAddress peerListen,
            List<InetSocketAddress> peers)
            throws IOException {
        ObjectNode json = History.JSON
                .createObjectNode()
                .put("name", name)
                .put("listen", text(listen))
                .put("discovery", text(discovery))
                .put("seed", "5f")
                .put("peer_listen", text(peerListen));
        json.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1_024);
        peers.forEach(p -> json.withArray("peers").add(text(p)));
        json.set("known", History.JSON.readTree(known));
        ObjectNode s = json.putObject("settings")
                .put("balancers", settings.balancers())
                .put("rank", settings.rank())
                .put("locality", settings.zone())
                .put("quantum_us", settings.tickUs())
                .put("registry_mode", "on_request")
                .put("over_share_worth", settings.overShareWorth());
        s.putObject("bounds")
                .put("cancel", settings.limits().cancel())
                .put("may_duplicate", false)
                .put("probes", false)
                .put("most_tries", settings.limits().maxAttempts())
                .put("max_retry_after_us", settings.limits().maxRetryAfterUs())
                .put("conn_idle_us", 15_000_000)
                .put("connect_timeout_us", 200_000)
                .put("peer_messages", true);
        Balancer.Rules rules = settings.rules();
        s.putObject("invariants")
                .put("cold_from", rules.coldFrom())
                .put("cold_us", rules.coldUs())
                .put("fall_multiple", rules.fallMultiple())
                .put("fall_us", rules.fallUs())
                .put("must_ask_in_us", rules.askWithinUs());
        ArrayNode profiles = s.putArray("profiles");
        for (Balancer.RequestClass c : settings.classes()) {
            profiles.addObject()
                    .put("name", c.name())
                    .put("aim_us", c.aimUs())
                    .put("deadline_us", c.deadlineUs())
                    .put(
                            "effect",
                            switch (c.effect()) {
                                case SAFE -> "idempotent";
                                case KEYED -> "deduplicated";
                                case UNSAFE -> "at_most_once";
                            })
                    .put("value", c.worth())
                    .put("late_worth", c.lateWorth())
                    .put("key_scope", c.scope().name().toLowerCase(Locale.ROOT))
                    .put("window_us", c.windowUs());
        }
        s.putArray("projects");
        return json;
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    InetSocketAddress address() {
        return listen;
    }

    /** Has its next processes take classes from a directory before those of the jar: a program with a defect. */
    void override(Path classes) {
        overrides = classes;
    }

    /** Sets a variable of the environment for its next start. */
    void environment(String variable, String value) {
        environment.put(variable, value);
    }

    /** Returns the id of its process. */
    long pid() {
        return process.pid();
    }

    /** Writes another configuration, for its next start or for SIGHUP. */
    void configure(String json) throws IOException {
        Files.writeString(config, json);
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    void start() throws IOException {
        var command = new ArrayList<String>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        Path archive = jar.resolveSibling(jar.getFileName().toString().replace(".jar", ".jsa"));
        if (Files.exists(archive) && overrides == null) {
            command.add("-XX:SharedArchiveFile=" + archive);
        }
        if (overrides == null) {
            command.addAll(List.of("-jar", jar.toString(), "serve"));
        } else {
            command.addAll(List.of("-cp", overrides + File.pathSeparator + jar, "grebehoist.cli.Main", "serve"));
        }
        if (installation != null) {
            command.addAll(List.of("--installation", installation.toString()));
        }
        var builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().putAll(environment);
        process = builder.start();
        Process started = process;
        reader = new Thread(() -> read(started), "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Process of) {
        try (BufferedReader from = of.inputReader(StandardCharsets.UTF_8)) {
            for (String line = from.readLine(); line != null; line = from.readLine()) {
                if (line.startsWith("{\"t_us\"")) {
                    lines.accept(line);
                } else {
                    keep(line);
                }
            }
        } catch (IOException e) {
            keep("its log breaks off: " + e.getMessage());
        }
    }

    private synchronized void keep(String line) {
        log.addLast(line);
        if (log.size() > KEPT_LINES) {
            log.removeFirst();
        }
    }

    /** Returns the last lines of its log that are no history. */
    synchronized List<String> log() {
        return List.copyOf(log);
    }

    /** Returns the exit code of a process that has ended. */
    int exitCode() {
        return process.exitValue();
    }

    /** Waits until clients may come; false where it ends before, or takes longer than so long. */
    boolean awaitReady(long mostMs) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        while (System.nanoTime() - until < 0 && alive()) {
            if (ready()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    boolean ready() {
        try {
            var connection = (HttpURLConnection) URI.create("http://127.0.0.1:" + listen.getPort() + "/ready")
                    .toURL()
                    .openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal, by the process's id. */
    void signal(String signal) throws IOException, InterruptedException {
        if (alive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Hears of the connections that clients have to a process, right before it is killed. */
    interface KillListener {
        /**
         * The process is about to be killed.
         *
         * @param clientPorts the clients' ends of its connections
         */
        void killing(Set<Integer> clientPorts);
    }

    /** Waits for its end and for the last line that it wrote; kills it after so long. */
    void awaitEnd(long mostMs) throws InterruptedException, IOException {
        awaitEnd(mostMs, clientPorts -> {});
    }

    /** As {@link #awaitEnd(long)}, and tells what a kill breaks. */
    void awaitEnd(long mostMs, KillListener listener) throws InterruptedException, IOException {
        if (process != null) {
            if (!process.waitFor(mostMs, TimeUnit.MILLISECONDS)) {
                listener.killing(ProcessSockets.clientPorts(process.pid(), listen.getPort()));
                process.destroyForcibly().waitFor();
            }
            reader.join(1_000);
        }
    }

    /** Ends its process at once. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        kill();
        Files.deleteIfExists(config);
        if (installation != null) {
            Files.deleteIfExists(installation);
        }
    }
}
