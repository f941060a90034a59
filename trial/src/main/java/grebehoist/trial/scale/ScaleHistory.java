package grebehoist.trial.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What happened, one JSON object a line: docs/trial.md has the fields. May be written to by several threads. */
final class ScaleHistory implements AutoCloseable {
    private final PrintWriter to;

    /** Writes to a file, or nowhere where that is null. */
    ScaleHistory(Path file) throws IOException {
        to = file == null ? null : new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void line(JsonNode line) {
        if (to != null) {
            to.println(line);
        }
    }

    /** What the writer was told of a change. */
    void change(ObjectNode change, JsonNode answer) {
        ObjectNode line = Wire.line(answer.path("t_us").asLong(Wire.now()), "writer", "change");
        line.setAll((ObjectNode) answer);
        if (answer.path("result").asText().equals("taken")) {
            line.put("taken_us", line.path("t_us").asLong());
        }
        line(line.put("op", change.path("op").asText()));
    }

    void process(String who, String state) {
        line(Wire.referee("process").put("who", who).put("state", state));
    }

    @Override
    public synchronized void close() {
        if (to != null) {
            to.close();
        }
    }
}
