import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One proxy: a process of its own, started by the command 'run' of deploy/balancer.toml. */
final class Proxy implements AutoCloseable {
    /** The classes of innkreving-oslo-later. */
    static final String CLASSES = "{\"name\":\"read-balance\",\"aim_us\":600000,\"deadline_us\":2000000,"
            + "\"effect\":\"idempotent\",\"value\":1,\"late_worth\":0},"
            + "{\"name\":\"issue-invoice\",\"aim_us\":600000,\"deadline_us\":2500000,\"effect\":\"deduplicated\","
            + "\"key_scope\":\"zone\",\"window_us\":12000000,\"value\":2,\"late_worth\":0},"
            + "{\"name\":\"post-payment\",\"aim_us\":400000,\"deadline_us\":2000000,\"effect\":\"deduplicated\","
            + "\"key_scope\":\"zone\",\"window_us\":1200000,\"value\":10,\"late_worth\":0}";

    /** The same with payments that are unsafe to repeat: STANDING, a day's settings may give a class another effect. */
    static final String PAYMENTS_UNSAFE = CLASSES.replace(
            "\"deduplicated\",\"key_scope\":\"zone\",\"window_us\":1200000,", "\"at_most_once\",");

    private final String name;
    private final int sockets;
    private final String discovery;
    private final String classes;
    private final Path folder;
    private final int port;
    /** Where operators call, or null where there is no such door. */
    private final String operator;

    private final Process process;
    /** Whether the folder is this one's, and not that of the process which it follows. */
    private final boolean first;

    /**
     * Starts one.
     *
     * @param sockets its limit of descriptors
     * @param discovery where its list comes from
     * @param classes of its settings
     */
    Proxy(int sockets, String discovery, String classes) throws IOException {
        this("n0", sockets, discovery, classes, null, false);
    }

    /**
     * Starts one.
     *
     * @param installation what its installation file holds, or null for none
     * @param operators whether it has a door for operators
     */
    Proxy(String name, int sockets, String discovery, String classes, String installation, boolean operators)
            throws IOException {
        this.name = name;
        this.sockets = sockets;
        this.discovery = discovery;
        this.classes = classes;
        folder = Files.createTempDirectory("review");
        port = freePort();
        operator = operators ? "127.0.0.1:" + freePort() : null;
        process = start(installation);
        first = true;
    }

    private Proxy(Proxy old) throws IOException {
        name = old.name;
        sockets = old.sockets;
        discovery = old.discovery;
        classes = old.classes;
        folder = old.folder;
        port = old.port;
        operator = "127.0.0.1:" + freePort();
        process = start(null);
        first = false;
    }

    /** Starts a second process of the same proxy, as DAYS has it: with another second address and everything else unchanged. */
    Proxy upgrade() throws IOException {
        return new Proxy(this);
    }

    /** Returns a port that is free, below those that the system gives to connections that are opened meanwhile. */
    private static int freePort() throws IOException {
        while (true) {
            int candidate = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (var free = new ServerSocket(candidate, 1, InetAddress.getByName("127.0.0.1"))) {
                return free.getLocalPort();
            } catch (BindException e) {
                // Another one.
            }
        }
    }

    private Process start(String installation) throws IOException {
        Path config = Files.createTempFile(folder, "config", ".json");
        Files.writeString(config, config());
        var builder = new ProcessBuilder("/bin/sh", "-c", command() + installed(installation));
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_NAME", name);
        builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("PROXY_DISCOVERY", discovery);
        if (operator != null) {
            builder.environment().put("PROXY_OPERATOR", operator);
        }
        builder.environment().put("TMPDIR", folder.toString());
        File log = folder.resolve("log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process started = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        return started;
    }

    private static String command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no 'run' in deploy/balancer.toml");
        }
        return run.group(1);
    }

    /** README: 'serve --installation FILE'. */
    private String installed(String installation) throws IOException {
        if (installation == null) {
            return "";
        }
        Path file = folder.resolve("installation.toml");
        Files.writeString(file, installation);
        return " --installation " + file;
    }

    private String config() {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                + (operator == null ? "" : "\",\"operator\":\"" + operator)
                + "\",\"seed\":\"92094eb940cf389a\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                + "},\"settings\":{\"balancers\":1,\"rank\":0,\"locality\":\"ulven\",\"quantum_us\":4000,"
                + "\"registry_mode\":\"on_request\",\"bounds\":{\"cancel\":true,\"may_duplicate\":false,"
                + "\"probes\":false,\"most_tries\":4,\"max_retry_after_us\":2000000,\"conn_idle_us\":15000000,"
                + "\"connect_timeout_us\":200000},\"invariants\":{\"cold_from\":0.4,\"cold_us\":8100000,"
                + "\"fall_multiple\":4.0,\"fall_us\":1000000,\"must_ask_in_us\":10000000,"
                + "\"drain_grace_us\":250000},\"over_share_worth\":0.05,\"profiles\":[" + classes
                + "],\"projects\":[{\"name\":\"vestkraft\",\"allowance_per_s\":10000}]}}";
    }

    int port() {
        return port;
    }

    boolean alive() {
        return process.isAlive();
    }

    Process process() {
        return process;
    }

    /** Connects as a client does. */
    Socket connect() throws IOException {
        var client = new Socket(InetAddress.getByName("127.0.0.1"), port);
        client.setTcpNoDelay(true);
        return client;
    }

    /** Waits until it says to clients that it can serve. */
    void awaitReady() throws Exception {
        await(port, "/ready");
    }

    /** Waits until it says to operators that it can serve. */
    void awaitYes() throws Exception {
        await(Integer.parseInt(operator.split(":")[1]), "/v1/readyz");
    }

    private void await(int at, String path) throws Exception {
        boolean ready = Threads.await(30_000, () -> {
            try (var asks = new Socket(InetAddress.getByName("127.0.0.1"), at)) {
                asks.setSoTimeout(2_000);
                asks.getOutputStream()
                        .write(("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                return Http.read(new BufferedInputStream(asks.getInputStream())).status() == 200;
            } catch (IOException e) {
                return false;
            }
        });
        if (!ready) {
            throw new IllegalStateException("the proxy is not ready within 30 s:\n" + log());
        }
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!first) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** Returns the head of a request, with its body's length; the deadline is the class's. */
    static String head(String id, String type, int timeoutMs, String key, int length) {
        boolean get = type.equals("read-balance");
        return (get ? "GET" : "POST") + " /api?k=" + id + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + type + "\r\nX-Tenant-Id: vestkraft\r\nX-Timeout: " + timeoutMs + "m\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (get ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
    }
}
