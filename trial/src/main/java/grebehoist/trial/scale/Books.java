package grebehoist.trial.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/** What the writer was told of each change, and so what is to be in force at the end. Called by several threads. */
final class Books {
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Contents[] contents;
    private final boolean[] created;
    /** The last change of a scope whose end is not known. */
    private final Map<Integer, ObjectNode> doubtful = new HashMap<>();

    private final Map<String, Integer> results = new TreeMap<>();
    private final Set<String> reasons = new HashSet<>();
    private final Judge judge;

    Books(Plan plan, Judge judge) {
        this.judge = judge;
        List<String> scopes = plan.scopes();
        contents = new Contents[scopes.size()];
        created = new boolean[scopes.size()];
        for (int s = 0; s < contents.length; s++) {
            numbers.put(scopes.get(s), s);
            contents[s] = new Contents();
        }
    }

    int number(String scope) {
        return numbers.getOrDefault(scope, -1);
    }

    /** Takes down what became of a change; returns whether it was taken. */
    synchronized boolean answered(ObjectNode change, long askedUs, JsonNode answer) {
        String result = answer.path("result").asText();
        int scope = number(change.path("scope").asText());
        results.merge(result, 1, Integer::sum);
        if (!result.equals("taken") && reasons.size() < 20) {
            reasons.add(result + ": " + answer.path("why").asText());
        }
        if (change.path("op").asText().equals("create")) {
            created[scope] |= result.equals("taken");
            return created[scope];
        }
        if (result.equals("unknown")) {
            doubtful.put(scope, change);
            return false;
        }
        if (!result.equals("taken")) {
            return false;
        }
        long version = answer.path("version").asLong();
        long before = contents[scope].version();
        ObjectNode doubt = doubtful.remove(scope);
        if (doubt != null && version == before + 2) {
            // What was not known to be taken was.
            apply(scope, doubt, before + 1);
        } else if (version != before + 1) {
            judge.found(change.path("scope").asText() + ": version " + version + " comes after " + before);
        }
        apply(scope, change, version);
        judge.taken(scope, version, askedUs, answer.path("t_us").asLong(Wire.now()));
        return true;
    }

    private void apply(int scope, ObjectNode change, long version) {
        String key = change.path("key").asText();
        switch (change.path("op").asText()) {
            case "suspend" -> contents[scope].apply(Contents.SUSPENSION, key, "", version);
            case "resume" -> contents[scope].apply(Contents.SUSPENSION, key, null, version);
            case "set" ->
                contents[scope].apply(
                        change.path("kind").asInt(), key, change.path("value").asText(), version);
            default -> contents[scope].apply(change.path("kind").asInt(), key, null, version);
        }
    }

    synchronized boolean created(int scope) {
        return created[scope];
    }

    synchronized <T> T of(int scope, Function<Contents, T> asks) {
        return asks.apply(contents[scope]);
    }

    /** Returns the scopes of whose last change it is not known whether it was taken. */
    synchronized List<Integer> doubtful() {
        return new ArrayList<>(doubtful.keySet());
    }

    synchronized long[] versions() {
        long[] versions = new long[contents.length];
        for (int s = 0; s < versions.length; s++) {
            versions[s] = contents[s].version();
        }
        return versions;
    }

    synchronized long[] digests() {
        long[] digests = new long[contents.length];
        for (int s = 0; s < digests.length; s++) {
            digests[s] = contents[s].digest();
        }
        return digests;
    }

    synchronized int items() {
        int items = 0;
        for (Contents c : contents) {
            items += c.size();
        }
        return items;
    }

    /** Returns how many changes were taken, refused, unknown. */
    synchronized Map<String, Integer> results() {
        return new TreeMap<>(results);
    }

    /** Returns why changes were not taken, some of them. */
    synchronized List<String> reasons() {
        return List.copyOf(reasons);
    }

    synchronized void forgetResults() {
        results.clear();
        reasons.clear();
    }
}
