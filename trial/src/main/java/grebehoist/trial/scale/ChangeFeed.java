package grebehoist.trial.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The writer: the program's command {@code change --stdin}, which answers each line by one, in order. */
final class ChangeFeed implements AutoCloseable {
    private static final List<String> FLAGS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m", "-XX:-UsePerfData");

    /** Hears what came of a change, on the feed's thread. */
    interface Hears {
        void answered(ObjectNode change, long askedUs, JsonNode answer);
    }

    private record Asked(ObjectNode change, long atUs) {}

    private final Subprocess process;
    private final Hears hears;
    private final Deque<Asked> asked = new ArrayDeque<>();

    ChangeFeed(String name, Path jar, Path installation, Hears hears) throws IOException {
        this.hears = hears;
        process = new Subprocess(
                name, FLAGS, jar, List.of("change", "--installation", installation.toString(), "--stdin"), this::heard);
    }

    /** Asks for a change. */
    void submit(ObjectNode change) {
        synchronized (asked) {
            asked.addLast(new Asked(change, Wire.now()));
        }
        process.tell(change);
    }

    private void heard(String line) {
        Asked of;
        synchronized (asked) {
            of = asked.peekFirst();
        }
        try {
            if (of != null) {
                hears.answered(of.change(), of.atUs(), Wire.JSON.readTree(line));
            }
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the writer says " + line, e);
        }
        synchronized (asked) {
            asked.pollFirst();
            asked.notifyAll();
        }
    }

    /** Waits until at most so many are unanswered; false where that takes too long or the writer has ended. */
    boolean await(int most, long mostMs) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        synchronized (asked) {
            while (asked.size() > most) {
                if (System.nanoTime() - until > 0 || !process.alive()) {
                    return false;
                }
                asked.wait(100);
            }
        }
        return true;
    }

    Subprocess process() {
        return process;
    }

    @Override
    public void close() {
        process.close();
    }
}
