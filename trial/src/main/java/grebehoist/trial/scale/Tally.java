package grebehoist.trial.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What hollow proxies count of themselves, put together; and whether what they have in force is what was taken. Called by several threads. */
final class Tally {
    /** What a proxy may send and receive in 11 s outside its first fill, in bytes: 3 KB a second. */
    static final long MOST_BYTES_A_SECOND = 3_000;

    private static final long WINDOW_S = RateWindow.WINDOW_US / 1_000_000;

    private final Plan plan;
    private final List<JsonNode> figures = new ArrayList<>();
    private final List<Long> fillsUs = new ArrayList<>();
    private final List<Long> fillBytes = new ArrayList<>();

    Tally(Plan plan) {
        this.plan = plan;
    }

    synchronized void filled(JsonNode line) {
        fillsUs.add(line.path("for_us").asLong());
        fillBytes.add(line.path("bytes").asLong());
    }

    /** Returns how many have filled since {@link #fills}. */
    synchronized int filled() {
        return fillsUs.size();
    }

    synchronized void figures(JsonNode line) {
        figures.add(line);
    }

    /** Returns what first fills took, and begins to count anew. */
    synchronized ObjectNode fills() {
        ObjectNode to = Wire.JSON.createObjectNode().put("proxies", fillsUs.size());
        if (!fillsUs.isEmpty()) {
            long[] times = fillsUs.stream().mapToLong(Long::longValue).sorted().toArray();
            to.put("p50_s", seconds(times[times.length / 2]))
                    .put("worst_s", seconds(times[times.length - 1]))
                    .put(
                            "bytes_mean",
                            Math.round(fillBytes.stream()
                                    .mapToLong(Long::longValue)
                                    .average()
                                    .orElse(0)))
                    .put(
                            "bytes_most",
                            fillBytes.stream().mapToLong(Long::longValue).max().orElse(0));
        }
        fillsUs.clear();
        fillBytes.clear();
        return to;
    }

    static double seconds(long us) {
        return Math.round(us / 1_000.0) / 1_000.0;
    }

    /** Returns bytes a second, each proxy's own, and its greatest window. */
    synchronized ObjectNode bytes() {
        ObjectNode to = Wire.JSON.createObjectNode();
        to.put("in_mean", mean("bytes_in"))
                .put("out_mean", mean("bytes_out"))
                .put("datagrams_in_mean", mean("datagrams_in"))
                .put("datagrams_out_mean", mean("datagrams_out"))
                .put("window_in", most("window_in") / WINDOW_S)
                .put("window_out", most("window_out") / WINDOW_S)
                .put("window_both", most("window") / WINDOW_S);
        return to;
    }

    private double mean(String what) {
        return Math.round(10
                        * figures.stream()
                                .mapToDouble(f -> f.path(what).asDouble()
                                        / Math.max(1e-6, f.path("for_us").asLong() / 1e6))
                                .average()
                                .orElse(0))
                / 10.0;
    }

    private long most(String what) {
        return figures.stream().mapToLong(f -> f.path(what).asLong()).max().orElse(0);
    }

    /** Returns datagrams that changed nothing, by cause. */
    synchronized Map<String, Long> refused() {
        var all = new TreeMap<String, Long>();
        for (JsonNode f : figures) {
            f.path("refused")
                    .properties()
                    .forEach(e -> all.merge(e.getKey(), e.getValue().asLong(), Long::sum));
            all.merge("unreadable", f.path("unreadable").asLong(), Long::sum);
        }
        all.values().removeIf(n -> n == 0);
        return all;
    }

    /** Says what is not as it should be at the end. */
    synchronized void judge(Judge judge, long[] versions, long[] digests) {
        var heard = new boolean[plan.proxies()];
        for (JsonNode f : figures) {
            int proxy = Integer.parseInt(f.path("who").asText().substring(1));
            heard[proxy] = true;
            agrees(judge, proxy, f, versions, digests);
            if (f.path("window").asLong() > MOST_BYTES_A_SECOND * WINDOW_S) {
                judge.found("p" + proxy + " sends and receives "
                        + f.path("window").asLong() / WINDOW_S + " bytes a second in some 11 s");
            }
        }
        for (int p = 0; p < heard.length; p++) {
            if (!heard[p]) {
                judge.found("p" + p + " does not say what it has in force at the end");
            }
        }
    }

    private void agrees(Judge judge, int proxy, JsonNode f, long[] versions, long[] digests) {
        var lacks = new boolean[versions.length];
        plan.scopesOf(proxy).forEach(s -> lacks[s] = true);
        for (JsonNode has : f.path("has")) {
            int scope = has.path(0).asInt();
            lacks[scope] = false;
            if (has.path(1).asLong() != versions[scope]) {
                judge.found(
                        "at the end p" + proxy + " has version " + has.path(1).asLong() + " of "
                                + plan.scopes().get(scope) + ", and " + versions[scope] + " was taken");
            } else if (has.path(2).asLong() != digests[scope]) {
                judge.found("at the end p" + proxy + " has something else in force in "
                        + plan.scopes().get(scope) + " than was taken");
            }
        }
        for (int s = 0; s < lacks.length; s++) {
            if (lacks[s]) {
                judge.found("at the end p" + proxy + " says nothing of "
                        + plan.scopes().get(s));
            }
        }
    }

    /** Returns mean and greatest of some figures, rounded. */
    static ObjectNode spread(double[] of) {
        return Wire.JSON
                .createObjectNode()
                .put("mean", Math.round(1e4 * Arrays.stream(of).average().orElse(0)) / 1e4)
                .put("most", Math.round(1e4 * Arrays.stream(of).max().orElse(0)) / 1e4);
    }
}
