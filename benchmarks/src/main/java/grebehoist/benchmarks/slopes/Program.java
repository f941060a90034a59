package grebehoist.benchmarks.slopes;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The program in a process of its own, under the flags of {@code run} but for a larger heap, with an installation file of many pools. */
final class Program implements AutoCloseable {
    private static final List<String> FLAGS = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Dio.netty.jfr.enabled=false",
            "-Xss512k",
            "-Xms24m",
            "-XX:MaxDirectMemorySize=1g",
            "-XX:MaxMetaspaceSize=32m",
            "-XX:ReservedCodeCacheSize=16m");
    private static final int TICKS_A_SECOND = 100;
    private static final Pattern PORT = Pattern.compile("listener l0 .* is at port (\\d+)");
    private static final Pattern USED = Pattern.compile("generation.*used (\\d+)K");
    private static final int WAIT_S = 30;

    private final Process process;
    private final Path file;
    private final Consumer<String> log;
    private final CompletableFuture<InetSocketAddress> listens = new CompletableFuture<>();

    /**
     * Starts it.
     *
     * @param mostMb the largest heap
     * @param balancers how many proxies share each pool's backends, as the file says
     */
    Program(Path jar, int mostMb, int pools, InetSocketAddress discovery, int balancers) throws IOException {
        this(jar, mostMb, installation(pools, discovery, balancers), line -> {});
    }

    /**
     * Starts it with an installation file of the caller's.
     *
     * @param log hears each line that it writes, on a thread of its own
     */
    Program(Path jar, int mostMb, String installation, Consumer<String> log) throws IOException {
        file = Files.createTempFile("slope", ".toml");
        Files.writeString(file, installation);
        this.log = log;
        var command = new ArrayList<String>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        Path archive = jar.resolveSibling("grebehoist.jsa");
        if (Files.exists(archive)) {
            command.addAll(List.of("-Xshare:auto", "-XX:SharedArchiveFile=" + archive));
        }
        command.addAll(
                List.of("-Xmx" + mostMb + "m", "-jar", jar.toString(), "serve", "--installation", file.toString()));
        process = new ProcessBuilder(command)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        var reader = new Thread(this::read, "program's log");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        var last = new StringBuilder();
        try (var lines = new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                log.accept(line);
                Matcher port = PORT.matcher(line);
                if (port.find()) {
                    listens.complete(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(port.group(1))));
                }
                last.append(last.length() < 2_000 ? line + "; " : "");
            }
        } catch (IOException e) {
            last.append(e);
        }
        listens.completeExceptionally(new IOException("the program ended: " + last));
    }

    /** Returns a file of so many pools, each with a listener at any port. */
    static String installation(int pools, InetSocketAddress discovery, int balancers) {
        var toml = new StringBuilder("[process]\nname = \"slope\"\nsockets = 65536\n");
        for (int i = 0; i < pools; i++) {
            toml.append(String.format(
                    Locale.ROOT,
                    """
                    [[pool]]
                    name = "p%d"
                    protocol = "http"
                    discovery = "%s:%d"
                    zone = "zone-1"
                    balancers = %d
                    rank = 0
                    [pool.rules]
                    cold_from = 0.4
                    cold_ms = 8100
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
                    [[pool.class]]
                    name = "pay"
                    effect = "keyed"
                    scope = "zone"
                    window_ms = 1200
                    aim_ms = 400
                    deadline_ms = 2000
                    worth = 10
                    [[pool.tenant]]
                    name = "large"
                    quota_per_s = 1000000
                    [[listener]]
                    name = "l%d"
                    protocol = "http"
                    address = "127.0.0.1:0"
                    pool = "p%d"
                    """,
                    i,
                    discovery.getAddress().getHostAddress(),
                    discovery.getPort(),
                    balancers,
                    i,
                    i));
        }
        return toml.toString();
    }

    /** Returns where the first pool's clients connect, once it listens there. */
    InetSocketAddress address() throws IOException, InterruptedException, TimeoutException {
        try {
            return listens.get(WAIT_S, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        }
    }

    /** Returns the processor time that it has used, in milliseconds, in steps of ten. */
    double cpuMs() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        // The name in brackets may hold blanks.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 1_000.0 / TICKS_A_SECOND;
    }

    /** Returns the memory that it takes, in megabytes. */
    double residentMb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1e3;
            }
        }
        throw new IOException("no VmRSS");
    }

    /** Returns the heap in use after a collection, in megabytes; the collection takes some of its time. */
    double heapMb() throws IOException, InterruptedException {
        jcmd("GC.run");
        Matcher used = USED.matcher(jcmd("GC.heap_info"));
        double kb = 0;
        while (used.find()) {
            kb += Long.parseLong(used.group(1));
        }
        return kb * 1_024 / 1e6;
    }

    private String jcmd(String what) throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        Long.toString(process.pid()),
                        what)
                .redirectErrorStream(true)
                .start();
        String said = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (jcmd.waitFor() != 0) {
            throw new IOException("jcmd " + what + ": " + said);
        }
        return said;
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly().onExit().join();
        Files.delete(file);
    }
}
