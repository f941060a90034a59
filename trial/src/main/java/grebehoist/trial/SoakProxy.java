package grebehoist.trial;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.trial.FaultLibrary.Injection;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One proxy of a soak: a process, and for the time of an upgrade a second one beside it, with the same address for clients and the same
 * directory for files. Life-cycle steps hold its lock; calls at its door do not.
 */
final class SoakProxy implements AutoCloseable {
    /** SIGKILL comes so long after SIGTERM: the longest deadline of the soak's classes, 2.5 s, and 0.7 s. */
    static final long KILL_MS = 3_200;

    static final int NO_ANSWER = 0;
    private static final int CALL_TIMEOUT_MS = 3_000;

    private final int number;
    private final SoakProgram program;
    private final Path directory;
    private final InetSocketAddress listen;
    private final List<InetSocketAddress> doors;
    private final ObjectNode config;
    private final FaultLibrary library;
    private final String systemCalls;
    private final long seed;
    private int lives;
    private volatile Member current;
    /** The one that was started last. */
    private volatile Member started;

    private volatile InetSocketAddress door;
    /** The door of the process that was started last. */
    private InetSocketAddress starting;

    private volatile Injection injection;
    /** Whether it is being restarted, upgraded, stopped or reloaded. */
    private boolean busy;

    /**
     * Makes one that is yet to be started.
     *
     * @param config its configuration without the operators' address
     * @param doors two addresses for operators: processes take them in turns
     */
    SoakProxy(
            int number,
            SoakProgram program,
            Path directory,
            InetSocketAddress listen,
            List<InetSocketAddress> doors,
            ObjectNode config,
            FaultLibrary library,
            String systemCalls,
            long seed)
            throws IOException {
        this.number = number;
        this.program = program;
        this.directory = Files.createDirectory(directory.resolve("n" + number));
        this.listen = listen;
        this.doors = doors;
        this.config = config;
        this.library = library;
        this.systemCalls = systemCalls;
        this.seed = seed;
    }

    int number() {
        return number;
    }

    /** Returns whether nobody else changes it, and takes it if so. */
    synchronized boolean take() {
        boolean free = !busy;
        busy = true;
        return free;
    }

    synchronized void giveBack() {
        busy = false;
    }

    Member current() {
        return current;
    }

    Injection injection() {
        return injection;
    }

    /** Starts a process; it is not the current one before {@link #follow}. */
    Member start(String known) throws IOException {
        int life = lives++;
        // Not the door of the process that runs: a successor that was not ready may have had the other one.
        starting = doors.get(0).equals(door) ? doors.get(1) : doors.get(0);
        InetSocketAddress own = starting;
        ObjectNode json = config.deepCopy().put("operator", "127.0.0.1:" + own.getPort());
        json.set("known", History.JSON.readTree(known));
        var member =
                new Member("n" + number + "-" + life % 2, program.jar(), directory, listen, json, null, line -> {});
        member.override(program.overrides());
        member.environment("TMPDIR", directory.toString());
        if (!systemCalls.isEmpty()) {
            injection = library.inject(member, systemCalls, seed * 1_000 + number, directory.resolve("counts"));
        }
        started = member;
        member.start();
        return member;
    }

    /** From now on a process that was started is the one that is called. */
    void follow(Member next) {
        door = starting;
        current = next;
    }

    /** Writes the configuration as it is, or half of it, where its process reads it. */
    void writeConfiguration(boolean whole) throws IOException {
        String text = config.deepCopy()
                .put("operator", "127.0.0.1:" + door.getPort())
                .put("note", System.nanoTime())
                .toString();
        current.configure(whole ? text : text.substring(0, text.length() / 2));
    }

    /** Calls at its door; returns the status, or {@link #NO_ANSWER}. */
    int call(String method, String path) {
        try {
            return open(method, path).getResponseCode();
        } catch (IOException e) {
            return NO_ANSWER;
        }
    }

    /** Returns its figures, or null where it does not answer. */
    JsonNode figures() {
        try {
            HttpURLConnection connection = open("GET", "/v1/metrics");
            return connection.getResponseCode() == 200 ? History.JSON.readTree(connection.getInputStream()) : null;
        } catch (IOException e) {
            return null;
        }
    }

    private HttpURLConnection open(String method, String path) throws IOException {
        var connection = (HttpURLConnection)
                URI.create("http://127.0.0.1:" + door.getPort() + path).toURL().openConnection();
        connection.setRequestMethod(method);
        connection.setConnectTimeout(CALL_TIMEOUT_MS);
        connection.setReadTimeout(CALL_TIMEOUT_MS);
        return connection;
    }

    /** Returns whether its second door says that it can serve, as the platform asks before it ends the first process. */
    boolean successorReady(long mostMs) throws InterruptedException {
        InetSocketAddress first = door;
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        try {
            door = starting;
            while (System.nanoTime() - until < 0) {
                if (call("GET", "/v1/readyz") == 200) {
                    return true;
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
            return false;
        } finally {
            door = first;
        }
    }

    /** Returns the most memory that its process has had, in kB (proc(5), VmHWM), or 0. */
    long peakKb() {
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(current.pid()), "status"))) {
            return lines.filter(l -> l.startsWith("VmHWM:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns how many descriptors its process holds, or 0. */
    long descriptors() {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(current.pid()), "fd"))) {
            return open.count();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Ends its processes at once. */
    void kill() {
        for (Member member : new Member[] {current, started}) {
            if (member != null) {
                member.kill();
            }
        }
    }

    @Override
    public void close() throws IOException {
        kill();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
