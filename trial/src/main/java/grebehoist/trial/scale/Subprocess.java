package grebehoist.trial.scale;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** One process that is told lines and tells lines. {@link #close} ends it whatever it does. Its output is read on a thread of its own. */
final class Subprocess implements AutoCloseable {
    private static final int KEPT_LINES = 60;
    /** Those that have not been closed: they end with this process, also where it is ended from outside. */
    private static final Set<Process> OPEN = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> OPEN.forEach(Process::destroyForcibly), "ends processes"));
    }

    private final String name;
    private final Process process;
    private final PrintWriter to;
    private final Deque<String> log = new ArrayDeque<>();
    /** Processor time in clock ticks when it was looked at last; of an ended process there is no other. */
    private volatile long ticks;

    /**
     * Starts one.
     *
     * @param json hears each line that begins with a brace
     */
    Subprocess(String name, List<String> flags, Path jar, List<String> arguments, Consumer<String> json)
            throws IOException {
        this.name = name;
        var command = new ArrayList<String>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(flags);
        command.add("-jar");
        command.add(jar.toString());
        command.addAll(arguments);
        process = new ProcessBuilder(command).redirectErrorStream(true).start();
        OPEN.add(process);
        to = new PrintWriter(
                new BufferedWriter(new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8)));
        var reader = new Thread(() -> read(json), "lines of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Consumer<String> json) {
        try (BufferedReader from = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = from.readLine(); line != null; line = from.readLine()) {
                if (line.startsWith("{")) {
                    json.accept(line);
                } else {
                    keep(line);
                }
            }
        } catch (IOException e) {
            keep("its output breaks off: " + e.getMessage());
        }
    }

    private synchronized void keep(String line) {
        log.addLast(line);
        if (log.size() > KEPT_LINES) {
            log.removeFirst();
        }
    }

    /** Returns the last lines that were no JSON. */
    synchronized List<String> log() {
        return List.copyOf(log);
    }

    String name() {
        return name;
    }

    boolean alive() {
        return process.isAlive();
    }

    void tell(Object line) {
        to.println(line);
        to.flush();
    }

    /** Sends a signal, by the process's id. */
    void signal(String signal) throws IOException, InterruptedException {
        if (alive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Returns the processor time that it has used, in milliseconds; after its end what it was when it was last asked for. */
    long cpuMs() {
        try {
            String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
            // The name stands in brackets and may hold anything; after it come the state and so on: fields 14 and 15
            // are user and system.
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
            return 10 * ticks;
        } catch (IOException e) {
            // It has ended.
            return 10 * ticks;
        }
    }

    /** Returns the greatest memory that it had (VmHWM), in KiB, or 0 where it has ended. */
    long peakKib() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(l -> l.startsWith("VmHWM:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Ends it at once. */
    void kill() throws InterruptedException {
        cpuMs();
        process.destroyForcibly().waitFor();
        OPEN.remove(process);
    }

    @Override
    public void close() {
        process.destroyForcibly();
        OPEN.remove(process);
    }
}
