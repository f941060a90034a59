package grebehoist.trial.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Lines of JSON, as processes tell them and as a history has them; times are the machine's monotonic clock, one for all its processes. */
final class Wire {
    static final ObjectMapper JSON = new ObjectMapper();

    private Wire() {}

    static long now() {
        return System.nanoTime() / 1_000;
    }

    static ObjectNode line(long atUs, String by, String what) {
        return JSON.createObjectNode().put("t_us", atUs).put("by", by).put("what", what);
    }

    static ObjectNode referee(String what) {
        return line(now(), "referee", what);
    }
}
