import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** What the cases share: the record, processes of the program by the deploy file's command, and small HTTP pieces. */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** The case could not run: nothing is said about the rule. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    /** What a case does; returns whether the rule was broken. */
    interface Case {
        boolean run(Rig rig) throws Exception;
    }

    final Path root;
    final Path temporary;
    final boolean trouble;
    private final BufferedWriter record;
    private final long startedNs = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    private Rig(Path folder) throws IOException {
        root = Path.of("").toAbsolutePath();
        temporary = Files.createTempDirectory("review");
        trouble = !"0".equals(System.getenv("TROUBLE"));
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Runs a case and ends this process with the exit code that the operators' letter asks for. */
    static void main(String[] args, Case play) throws IOException {
        var rig = new Rig(Path.of(args[0]));
        int code;
        try {
            rig.note("case " + args[0] + ", " + (rig.trouble ? "with" : "without") + " the disruption");
            code = play.run(rig) ? BROKEN : HELD;
        } catch (CannotRun e) {
            rig.note("could not run: " + e.getMessage());
            code = COULD_NOT_RUN;
        } catch (Throwable e) {
            rig.note("could not run: " + e);
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        String verdict = "verdict: " + (code == HELD ? "the rule held" : code == BROKEN ? "THE RULE WAS BROKEN" : "the case could not run");
        rig.note(verdict);
        System.out.println(verdict);
        rig.close();
        Runtime.getRuntime().halt(code);
    }

    long sinceStartMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
    }

    /** Writes a line into record.txt. */
    synchronized void note(String line) {
        try {
            record.write(String.format(Locale.ROOT, "%9.3f %s%n", sinceStartMs() / 1000.0, line));
            record.flush();
        } catch (IOException e) {
            // The record is closed at the end, while stand-ins may still speak.
        }
    }

    /** Starts the program by `run` of the deploy file. */
    Process start(String name, String config, String installation) throws IOException, CannotRun {
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        if (run == null || !Files.exists(root.resolve("daemon/target/grebehoist.jar"))) {
            throw new CannotRun("deploy/balancer.toml has no run, or its build has not been run");
        }
        String command = run;
        if (installation != null) {
            Path file = Files.writeString(temporary.resolve(name + ".toml"), installation);
            command += " --installation " + file;
        }
        var builder = new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile());
        if (config != null) {
            builder.environment().put("PROXY_CONFIG", Files.writeString(temporary.resolve(name + ".json"), config).toString());
        }
        Path own = temporary.resolve("tmp-" + name);
        if (!Files.exists(own)) {
            Files.createDirectory(own);
        }
        builder.environment().put("TMPDIR", own.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(temporary.toFile(), name + ".log")));
        Process started = builder.start();
        synchronized (processes) {
            processes.add(started);
        }
        note("started " + name);
        return started;
    }

    /** Sends a signal to a process that this case has started. */
    void signal(Process process, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    String log(String name) throws IOException {
        Path file = temporary.resolve(name + ".log");
        return Files.exists(file) ? Files.readString(file) : "";
    }

    /** Returns so many ports that are free now. */
    static int[] freePorts(int number) throws IOException {
        var held = new ArrayList<ServerSocket>();
        var ports = new int[number];
        for (int i = 0; i < number; i++) {
            var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            held.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return ports;
    }

    /** Waits until a proxy answers GET /ready with 200, as the platform does. */
    void awaitReady(int port, Process process) throws CannotRun, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() - until < 0) {
            if (!process.isAlive()) {
                throw new CannotRun("a proxy ended before it was ready");
            }
            try (var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET /ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.ISO_8859_1));
                Message answer = Message.read(socket.getInputStream());
                if (answer != null && answer.first.contains(" 200 ")) {
                    return;
                }
            } catch (IOException e) {
                // Not there yet.
            }
            Thread.sleep(50);
        }
        throw new CannotRun("a proxy was not ready within 30 s");
    }

    private void end() {
        synchronized (processes) {
            for (Process p : processes) {
                p.destroyForcibly();
            }
            for (Process p : processes) {
                try {
                    p.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
        if (System.getenv("KEEP") != null) {
            return;
        }
        try (var files = Files.walk(temporary)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // What is left is temporary.
        }
    }

    @Override
    public void close() throws IOException {
        end();
        synchronized (this) {
            record.close();
        }
    }

    /** An HTTP message with a length, or none. */
    static final class Message {
        final String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        private Message(String first) {
            this.first = first;
        }

        /** Reads one; returns null at the end of the stream. */
        static Message read(InputStream in) throws IOException {
            String line = line(in);
            if (line == null) {
                return null;
            }
            var message = new Message(line);
            for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            }
            if (line == null) {
                throw new IOException("a head that ends too soon");
            }
            String length = message.headers.get("Content-Length");
            if (length != null) {
                message.body = in.readNBytes(Integer.parseInt(length));
                if (message.body.length < Integer.parseInt(length)) {
                    throw new IOException("a body that ends too soon");
                }
            } else if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
                message.body = chunks(in);
            }
            return message;
        }

        private static byte[] chunks(InputStream in) throws IOException {
            var all = new java.io.ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new IOException("chunks that end too soon");
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (length == 0) {
                    for (String trailer = line(in); trailer != null && !trailer.isEmpty(); ) {
                        trailer = line(in);
                    }
                    return all.toByteArray();
                }
                all.write(in.readNBytes(length));
                line(in);
            }
        }

        private static String line(InputStream in) throws IOException {
            var text = new StringBuilder();
            for (int c = in.read(); c >= 0; c = in.read()) {
                if (c == '\n') {
                    int end = text.length();
                    return end > 0 && text.charAt(end - 1) == '\r' ? text.substring(0, end - 1) : text.toString();
                }
                text.append((char) c);
            }
            return null;
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Answers with a length. */
    static void answer(OutputStream out, String status, String headers, String body) throws IOException {
        out.write(answerBytes(status, headers, body));
        out.flush();
    }

    static byte[] answerBytes(String status, String headers, String body) {
        return ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Discovery that tells one list that does not change, and lets watches wait for as long as they say. */
    int discovery(String servers) throws IOException {
        var socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        daemon(() -> {
            while (true) {
                Socket caller = socket.accept();
                daemon(() -> {
                    try (caller) {
                        Message call = Message.read(caller.getInputStream());
                        String body = "{\"version\":7,\"full\":true,\"servers\":[" + servers + "]}";
                        if (call != null && call.first.contains("from=7")) {
                            int at = call.first.indexOf("hold_ms=");
                            String hold = at < 0 ? "0" : call.first.substring(at + 8).split("[ &]")[0];
                            Thread.sleep(Math.min(60_000, Long.parseLong(hold)));
                            body = "{\"version\":7,\"full\":false,\"servers\":[]}";
                        }
                        answer(caller.getOutputStream(), "200 OK", "Connection: close\r\nContent-Type: application/json\r\n", body);
                    }
                });
            }
        });
        return socket.getLocalPort();
    }

    static String server(String id, int port, String zone) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"kind\":\"std-1\",\"cell\":1,\"state\":\"ready\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** The platform's configuration of one proxy, as in deploy/example.json. */
    static String config(String name, int listen, int discovery, int balancers, int rank) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"settings\":{\"balancers\":" + balancers + ",\"rank\":" + rank + ",\"locality\":\"ulven\",\"quantum_us\":4000,"
                + "\"registry_mode\":\"on_request\",\"bounds\":{\"cancel\":true,\"may_duplicate\":false,\"probes\":false,"
                + "\"most_tries\":4,\"max_retry_after_us\":2000000,\"conn_idle_us\":15000000,\"connect_timeout_us\":200000},"
                + "\"invariants\":{\"cold_from\":0.4,\"cold_us\":8100000,\"fall_multiple\":4.0,\"fall_us\":1000000,"
                + "\"must_ask_in_us\":10000000},\"over_share_worth\":0.05,\"profiles\":["
                + "{\"name\":\"read-balance\",\"aim_us\":600000,\"deadline_us\":2000000,\"effect\":\"idempotent\",\"value\":1,\"late_worth\":0},"
                + "{\"name\":\"post-payment\",\"aim_us\":400000,\"deadline_us\":2000000,\"effect\":\"deduplicated\",\"key_scope\":\"zone\","
                + "\"window_us\":1200000,\"value\":10,\"late_worth\":0}],"
                + "\"projects\":[{\"name\":\"vestkraft\",\"allowance_per_s\":231}]}}";
    }

    /** Something that goes on beside the case. */
    interface Work {
        void run() throws Exception;
    }

    static Thread daemon(Work work) {
        var thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // Connections end, and so does the case.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
