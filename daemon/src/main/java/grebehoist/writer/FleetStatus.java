package grebehoist.writer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Json;
import grebehoist.fleet.distribution.Layout;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/**
 * How far changes have got, added up over the machines that hold a scope: each proxy asks one of them, and each machine knows of those that
 * ask it. Used by one thread.
 */
public final class FleetStatus {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int MOST_NAMED = 20;

    private final Layout layout;
    private final Doors doors;
    private final PrintStream out;
    /** Of each scope, what each machine tells. */
    private final Map<String, Map<Integer, JsonNode>> told = new TreeMap<>();

    private final Map<Integer, String> silent = new TreeMap<>();

    /**
     * Makes one.
     *
     * @param addresses the machines' doors, by number
     * @param out where a line of JSON goes for each scope, and one for the machines
     */
    public FleetStatus(Layout layout, List<InetSocketAddress> addresses, PrintStream out) {
        this.layout = layout;
        this.doors = new Doors(addresses, Runnable::run);
        this.out = out;
    }

    /**
     * Asks and tells.
     *
     * @param scope the one that is wanted, or null for all
     * @return whether all machines have answered that are to hold it
     */
    public boolean tell(String scope) {
        List<Integer> machines = scope == null
                ? IntStream.range(0, layout.machines().size()).boxed().toList()
                : layout.holders(scope);
        Map<Integer, String> queries = new TreeMap<>();
        machines.forEach(m -> queries.put(m, scope == null ? "" : "?scope=" + encoded(scope)));
        while (!queries.isEmpty()) {
            // A page of each side by side, until all have told their last.
            Map<Integer, CompletableFuture<Doors.Told>> out = new TreeMap<>();
            queries.forEach((m, query) -> out.put(m, doors.figures(m, query)));
            queries.clear();
            out.forEach((m, page) -> {
                String after = take(m, page.join());
                if (after != null) {
                    queries.put(m, "?after=" + encoded(after));
                }
            });
        }
        if (scope != null && told.isEmpty()) {
            out.println(Json.object()
                    .put("scope", scope)
                    .put("why", silent.isEmpty() ? "no machine that is to hold it does" : "not known"));
        }
        told.forEach((name, by) -> out.println(sum(name, by)));
        ObjectNode last = Json.object()
                .put("machines", machines.size())
                .put("answered", machines.size() - silent.size())
                .put("scopes", told.size());
        ArrayNode no = last.putArray("silent");
        silent.forEach((m, why) -> no.addObject().put("machine", m).put("why", why));
        out.println(last);
        out.flush();
        return silent.isEmpty() && (scope == null || !told.isEmpty());
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** Returns after which scope its next page begins; null for no more. */
    private String take(int machine, Doors.Told page) {
        if (page.status() != OK) {
            if (page.status() != NOT_FOUND) {
                silent.put(machine, page.status() == 0 ? page.why() : "HTTP status " + page.status());
            }
            return null;
        }
        for (JsonNode scope : page.json().path("scopes")) {
            told.computeIfAbsent(scope.path("scope").asText(), s -> new TreeMap<>())
                    .put(machine, scope);
        }
        return page.json().has("after") ? page.json().path("after").asText() : null;
    }

    private ObjectNode sum(String scope, Map<Integer, JsonNode> by) {
        long version = by.values().stream()
                .mapToLong(s -> s.path("version").asLong())
                .max()
                .orElse(0);
        ObjectNode line = Json.object().put("scope", scope).put("version", version);
        line.put("known", sum(by, "known"));
        // What is in force of a machine that has not heard of the last change is not the last.
        line.put(
                "in_force",
                by.values().stream()
                        .filter(s -> s.path("version").asLong() == version)
                        .mapToLong(s -> s.path("in_force").asLong())
                        .sum());
        line.put("away", sum(by, "away"));
        for (String figure : List.of("p50_us", "p99_us", "worst_us")) {
            line.put(
                    figure,
                    by.values().stream()
                            .mapToLong(s -> s.path(figure).asLong())
                            .max()
                            .orElse(-1));
        }
        List<JsonNode> behind = new ArrayList<>();
        by.values().forEach(s -> s.path("behind").forEach(behind::add));
        behind.sort((a, b) ->
                Long.compare(b.path("for_ms").asLong(), a.path("for_ms").asLong()));
        ArrayNode named = line.putArray("behind");
        behind.stream().limit(MOST_NAMED).forEach(named::add);
        ArrayNode holders = line.putArray("holders");
        for (int machine : layout.holders(scope)) {
            JsonNode here = by.get(machine);
            holders.addObject()
                    .put("machine", machine)
                    .put("version", here == null ? -1 : here.path("version").asLong())
                    .put("counts", here != null && here.path("counts").asBoolean());
        }
        return line;
    }

    private static long sum(Map<Integer, JsonNode> by, String figure) {
        return by.values().stream().mapToLong(s -> s.path(figure).asLong()).sum();
    }
}
