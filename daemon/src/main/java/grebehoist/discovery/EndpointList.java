package grebehoist.discovery;

import beechfall.Balancer;
import beechfall.Balancer.ListKind;
import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.engine.Listed;
import grebehoist.engine.Log;
import grebehoist.net.Addresses;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A list of backends, or of changes to one, in discovery's JSON form. */
record EndpointList(JsonNode json) {
    private static final Map<String, Balancer.State> STATES = Map.of(
            "ready", Balancer.State.READY,
            "draining", Balancer.State.DRAINING,
            "gone", Balancer.State.GONE);

    /** Returns whether it has the form of a list; its entries are checked one by one as they are read. */
    boolean wellFormed() {
        return json.path("version").canConvertToLong()
                && json.path("full").isBoolean()
                && json.path("servers").isArray();
    }

    long version() {
        return json.path("version").asLong();
    }

    ListKind kind() {
        return json.path("full").asBoolean() ? ListKind.FULL : ListKind.DELTA;
    }

    boolean isEmpty() {
        return json.path("servers").isEmpty();
    }

    /** Returns its entries; a malformed one is left out, and logged. */
    List<Listed> entries(Log log) {
        var entries = new ArrayList<Listed>();
        for (JsonNode line : json.path("servers")) {
            Listed entry = entry(line);
            if (entry == null) {
                log.line("discovery: a malformed entry is left out: " + line);
            } else {
                entries.add(entry);
            }
        }
        return entries;
    }

    private static Listed entry(JsonNode line) {
        Balancer.State state = STATES.get(line.path("state").asText());
        String address = line.path("addr").asText();
        String id = line.path("id").asText();
        double weight = line.path("weight").asDouble(1);
        if (state == null
                || Addresses.parse(address) == null
                || id.isEmpty()
                || !(weight > 0)
                || Double.isInfinite(weight)) {
            return null;
        }
        return new Listed(
                new Balancer.Backend(
                        id,
                        state,
                        line.path("kind").asText(null),
                        line.path("zone").asText(null),
                        line.path("cell").asInt(),
                        line.path("started_ms").asLong() * 1_000,
                        weight),
                address);
    }
}
