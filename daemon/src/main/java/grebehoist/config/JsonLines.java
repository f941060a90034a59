package grebehoist.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;

/**
 * Lines of JSON for operators, and for whoever checks a trial: docs/trial.md has the fields. The time is the machine's monotonic clock,
 * which all processes of a machine share. Lines beyond a bound are left out and counted. Used by the loop's thread.
 */
public final class JsonLines {
    /** As many as a fleet of hundreds brings about in a second when it starts. */
    private static final int LINES_A_SECOND = 2_000;

    private final PrintStream to;
    private final String name;
    private long second;
    private int lines;
    private int leftOut;

    /** Makes the lines of a process with this name. */
    public JsonLines(PrintStream to, String name) {
        this.to = to;
        this.name = name;
    }

    /** Returns the begin of a line: when, who, what. */
    public ObjectNode line(String what) {
        return Json.object()
                .put("t_us", System.nanoTime() / 1_000)
                .put("by", name)
                .put("what", what)
                .put("who", name);
    }

    /** Writes a line. */
    public void write(ObjectNode line) {
        long now = System.nanoTime() / 1_000_000_000;
        if (now != second) {
            if (leftOut > 0) {
                to.println(line("left_out").put("lines", leftOut));
            }
            second = now;
            lines = 0;
            leftOut = 0;
        }
        if (++lines > LINES_A_SECOND) {
            leftOut++;
        } else {
            to.println(line);
        }
    }
}
