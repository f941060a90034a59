package grebehoist.trial.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The processes of hollow proxies: each has a part of them, and all are told the same. */
final class Hollows implements AutoCloseable {
    private static final List<String> FLAGS =
            List.of("-Djava.net.preferIPv4Stack=true", "-XX:+UseSerialGC", "-XX:-UsePerfData", "-Xss512k");

    private final int each;
    private final List<Subprocess> processes = new ArrayList<>();
    private final CountDownLatch ends;

    /**
     * Starts the processes; no proxy runs yet.
     *
     * @param jar the trial's
     * @param each so many proxies a process
     * @param lines hears what they tell, on a thread for each process
     */
    Hollows(Plan plan, int each, Path jar, int heapMb, ControlMachines machines, Consumer<JsonNode> lines)
            throws IOException {
        this.each = each;
        int number = (plan.proxies() + each - 1) / each;
        ends = new CountDownLatch(number);
        var flags = new ArrayList<>(FLAGS);
        flags.add("-Xmx" + heapMb + "m");
        for (int i = 0; i < number; i++) {
            processes.add(new Subprocess("h" + i, flags, jar, List.of("hollow"), line -> heard(line, lines)));
            ObjectNode setup = Wire.JSON
                    .createObjectNode()
                    .put("name", "h" + i)
                    .put("key", ControlMachines.KEY)
                    .put("seed", plan.seed() * 1_000 + i);
            setup.set("plan", Wire.JSON.valueToTree(plan));
            for (int m = 0; m < machines.number(); m++) {
                setup.withArray("machines").add(machines.port(m));
            }
            processes.get(i).tell(setup);
        }
    }

    private void heard(String line, Consumer<JsonNode> lines) {
        try {
            JsonNode read = Wire.JSON.readTree(line);
            lines.accept(read);
            if (read.path("what").asText().equals("done")) {
                ends.countDown();
            }
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a hollow proxy says " + line, e);
        }
    }

    /** Starts the proxies from one number up to another. */
    void start(int from, int to, long[] versions) {
        for (int i = 0; i < processes.size(); i++) {
            int first = Math.max(from, i * each);
            int last = Math.min(to, (i + 1) * each);
            if (first < last) {
                processes.get(i).tell(told("start", versions).put("from", first).put("to", last));
            }
        }
    }

    /** Kills all of a zone and starts them from nothing. */
    void restart(int zone, long[] versions) {
        tell(told("restart", versions).put("zone", zone));
    }

    private static ObjectNode told(String what, long[] versions) {
        ObjectNode line = what(what);
        for (long v : versions) {
            line.withArray("versions").add(v);
        }
        return line;
    }

    static ObjectNode what(String what) {
        return Wire.JSON.createObjectNode().put("do", what);
    }

    /** Tells all of them. */
    void tell(ObjectNode line) {
        processes.forEach(p -> p.tell(line));
    }

    /** Waits until all have told their figures; false where that takes too long. */
    boolean awaitEnd(long mostMs) throws InterruptedException {
        return ends.await(mostMs, TimeUnit.MILLISECONDS);
    }

    /** Returns those that have ended although nobody told them to. */
    List<String> dead() {
        return processes.stream()
                .filter(p -> !p.alive())
                .map(p -> p.name() + " has ended: " + p.log())
                .toList();
    }

    /** Returns what all have written that is no JSON. */
    List<String> logs() {
        return processes.stream()
                .flatMap(p -> p.log().stream().map(l -> p.name() + ": " + l))
                .toList();
    }

    long cpuMs() {
        return processes.stream().mapToLong(Subprocess::cpuMs).sum();
    }

    long peakKib() {
        return processes.stream().mapToLong(Subprocess::peakKib).max().orElse(0);
    }

    int number() {
        return processes.size();
    }

    @Override
    public void close() {
        processes.forEach(Subprocess::close);
    }
}
