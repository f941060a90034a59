package grebehoist.distribution;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Json;
import grebehoist.fleet.distribution.Answer;
import grebehoist.fleet.distribution.Call;
import grebehoist.fleet.distribution.Item;
import grebehoist.fleet.distribution.Lives;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A writer's calls and their answers as JSON: docs/distribution.md has the fields. */
public final class CallJson {
    private static final long MOST = Long.MAX_VALUE;

    private CallJson() {}

    /** JSON that is no call or no answer; the message names what is wrong and where. */
    public static final class BadJson extends Exception {
        private static final long serialVersionUID = 1L;

        BadJson(String what) {
            super(what);
        }
    }

    /** Returns a call as JSON. */
    public static ObjectNode json(Call call) {
        ObjectNode json = Json.object();
        if (call instanceof Call.Create c) {
            json.put("call", "create").put("scope", c.scope()).put("base", c.base());
        } else if (call instanceof Call.Open o) {
            json.put("call", "open").put("scope", o.scope()).put("epoch", o.epoch());
        } else if (call instanceof Call.Offer o) {
            json.put("call", "offer").put("epoch", o.epoch()).set("item", json(o.item()));
        } else if (call instanceof Call.Taken t) {
            json.put("call", "taken")
                    .put("scope", t.scope())
                    .put("epoch", t.epoch())
                    .put("version", t.version());
        }
        return json.put("machine", call.machine());
    }

    private static ObjectNode json(Item item) {
        ObjectNode json = Json.object()
                .put("kind", item.kind())
                .put("scope", item.scope())
                .put("key", item.key())
                .put("version", item.version());
        // As everywhere: a removal has none.
        return item.removed() ? json : json.put("value", Base64.getEncoder().encodeToString(item.value()));
    }

    /** Reads a call. */
    public static Call call(JsonNode json) throws BadJson {
        String what = text(object(json, "a call"), "call");
        int machine = (int) whole(json, "machine", 0, Integer.MAX_VALUE);
        switch (what) {
            case "create" -> {
                only(json, "call", "machine", "scope", "base");
                return new Call.Create(machine, scope(json), whole(json, "base", 0, Item.MOST_VERSION - 1));
            }
            case "open" -> {
                only(json, "call", "machine", "scope", "epoch");
                return new Call.Open(machine, scope(json), whole(json, "epoch", 0, MOST));
            }
            case "offer" -> {
                only(json, "call", "machine", "epoch", "item");
                return new Call.Offer(
                        machine, whole(json, "epoch", 0, MOST), item(object(json.path("item"), "key 'item'")));
            }
            case "taken" -> {
                only(json, "call", "machine", "scope", "epoch", "version");
                return new Call.Taken(
                        machine,
                        scope(json),
                        whole(json, "epoch", 0, MOST),
                        whole(json, "version", 1, Item.MOST_VERSION));
            }
            default -> throw new BadJson("key 'call': '" + what + "' is none of create, open, offer, taken");
        }
    }

    private static String scope(JsonNode json) throws BadJson {
        String scope = text(json, "scope");
        String flaw = Item.flaw(scope);
        if (flaw != null) {
            throw new BadJson("key 'scope': " + flaw);
        }
        return scope;
    }

    private static Item item(JsonNode json) throws BadJson {
        only(json, "kind", "scope", "key", "version", "value");
        int kind = (int) whole(json, "kind", 0, Item.MOST_KIND);
        String scope = text(json, "scope");
        String key = text(json, "key");
        long version = whole(json, "version", 1, Item.MOST_VERSION);
        byte[] value = json.path("value").isMissingNode() ? null : bytes(json);
        String flaw = Item.flaw(kind, scope, key, value, version);
        if (flaw != null) {
            throw new BadJson("key 'item': " + flaw);
        }
        return new Item(kind, scope, key, value, version);
    }

    private static byte[] bytes(JsonNode json) throws BadJson {
        if (!json.path("value").isTextual()) {
            throw new BadJson("key 'value': base64 is wanted, not " + json.path("value"));
        }
        try {
            return Base64.getDecoder().decode(json.path("value").asText());
        } catch (IllegalArgumentException e) {
            throw new BadJson("key 'value': base64 is wanted: " + e.getMessage());
        }
    }

    /** Returns an answer as JSON. */
    public static ObjectNode json(Answer answer) {
        if (answer instanceof Answer.Opened o) {
            ObjectNode json = json("opened", o.lives()).put("head", o.head()).put("pending_epoch", o.pendingEpoch());
            return o.pending() == null ? json : json.set("pending", json(o.pending()));
        }
        if (answer instanceof Answer.Held h) {
            return json("held", h.lives()).put("version", h.version()).put("taken", h.taken());
        }
        var refusal = (Answer.Refusal) answer;
        return Json.object()
                .put("answer", "refusal")
                .put("why", refusal.why())
                .put("head", refusal.head())
                .put("never", refusal.never());
    }

    private static ObjectNode json(String answer, Lives lives) {
        ObjectNode json = Json.object().put("answer", answer);
        ObjectNode of = json.putObject("lives");
        new TreeMap<>(lives.of()).forEach((machine, life) -> of.put(machine.toString(), life));
        return json;
    }

    /** Reads an answer. */
    public static Answer answer(JsonNode json) throws BadJson {
        String what = text(object(json, "an answer"), "answer");
        switch (what) {
            case "opened" -> {
                JsonNode pending = json.path("pending");
                return new Answer.Opened(
                        lives(json),
                        whole(json, "head", 0, Item.MOST_VERSION),
                        pending.isMissingNode() ? null : item(object(pending, "key 'pending'")),
                        whole(json, "pending_epoch", 0, MOST));
            }
            case "held" -> {
                return new Answer.Held(lives(json), whole(json, "version", 0, Item.MOST_VERSION), flag(json, "taken"));
            }
            case "refusal" -> {
                return new Answer.Refusal(
                        text(json, "why"), whole(json, "head", -1, Item.MOST_VERSION), flag(json, "never"));
            }
            default -> throw new BadJson("key 'answer': '" + what + "' is none of opened, held, refusal");
        }
    }

    private static Lives lives(JsonNode json) throws BadJson {
        JsonNode of = object(json.path("lives"), "key 'lives'");
        Map<Integer, Long> lives = new HashMap<>();
        for (Map.Entry<String, JsonNode> e : of.properties()) {
            if (!e.getKey().matches("[0-9]{1,5}")) {
                throw new BadJson("key 'lives': '" + e.getKey() + "' is no machine's number");
            }
            lives.put(Integer.valueOf(e.getKey()), whole(of, e.getKey(), Long.MIN_VALUE, MOST));
        }
        return new Lives(lives);
    }

    private static JsonNode object(JsonNode json, String what) throws BadJson {
        if (!json.isObject()) {
            throw new BadJson(
                    what + ": an object is wanted" + (json.isMissingNode() ? "" : ", not " + json.getNodeType()));
        }
        return json;
    }

    private static String text(JsonNode json, String key) throws BadJson {
        JsonNode value = json.path(key);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new BadJson(
                    "key '" + key + "': " + (value.isMissingNode() ? "missing" : "a text is wanted, not " + value));
        }
        return value.asText();
    }

    private static boolean flag(JsonNode json, String key) throws BadJson {
        JsonNode value = json.path(key);
        if (!value.isBoolean()) {
            throw new BadJson("key '" + key + "': "
                    + (value.isMissingNode() ? "missing" : "true or false is wanted, not " + value));
        }
        return value.asBoolean();
    }

    private static long whole(JsonNode json, String key, long least, long most) throws BadJson {
        JsonNode value = json.path(key);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < least || value.asLong() > most) {
            throw new BadJson("key '" + key + "': "
                    + (value.isMissingNode()
                            ? "missing"
                            : "a whole number from " + least + " to " + most + " is wanted, not " + value));
        }
        return value.asLong();
    }

    private static void only(JsonNode json, String... keys) throws BadJson {
        Set<String> known = Set.of(keys);
        for (Map.Entry<String, JsonNode> e : json.properties()) {
            if (!known.contains(e.getKey())) {
                throw new BadJson("key '" + e.getKey() + "': unknown");
            }
        }
    }
}
