package grebehoist.trial;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What happened, one JSON object a line: docs/trial.md has the fields. May be written to by several threads. */
final class History implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();

    private final PrintWriter to;

    /** Writes to a file, or nowhere where that is null. */
    History(Path file) throws IOException {
        to = file == null ? null : new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Returns a line of the referee's, to be filled in. */
    static ObjectNode referee(long atUs, String what) {
        return JSON.createObjectNode().put("t_us", atUs).put("by", "referee").put("what", what);
    }

    synchronized void line(ObjectNode line) {
        if (to != null) {
            to.println(line);
        }
    }

    /** A line as a process wrote it. */
    synchronized void line(String line) {
        if (to != null) {
            to.println(line);
        }
    }

    @Override
    public synchronized void close() {
        if (to != null) {
            to.close();
        }
    }
}
