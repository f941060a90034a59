package grebehoist.writer;

import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.fleet.distribution.Item;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;

/**
 * A change that somebody wants.
 *
 * @param base of {@link Op#CREATE}: the version before the first
 * @param kind of the item
 * @param key of the item; empty for {@link Op#CREATE}
 * @param value null where the item is removed
 */
public record Change(Op op, String scope, long base, int kind, String key, byte[] value) {
    /** What is wanted. */
    public enum Op {
        CREATE("create", Set.of("base")),
        SUSPEND("suspend", Set.of("key")),
        RESUME("resume", Set.of("key")),
        SET("set", Set.of("kind", "key", "value")),
        REMOVE("remove", Set.of("kind", "key"));

        private final String word;
        private final Set<String> keys;

        Op(String word, Set<String> keys) {
            this.word = word;
            this.keys = keys;
        }

        /** Returns its word in lines and options. */
        public String word() {
            return word;
        }
    }

    /** What is no change; the message names what is wrong and where. */
    public static final class BadChange extends Exception {
        private static final long serialVersionUID = 1L;

        BadChange(String what) {
            super(what);
        }
    }

    /**
     * Checks one.
     *
     * @param text the value; null for none
     */
    public static Change of(Op op, String scope, long base, int kind, String key, String text) throws BadChange {
        byte[] value = switch (op) {
            case SUSPEND -> new byte[0];
            case SET -> text.getBytes(StandardCharsets.UTF_8);
            default -> null;
        };
        int of = op == Op.SUSPEND || op == Op.RESUME ? Item.SUSPENSION : kind;
        String flaw = op == Op.CREATE ? Item.flaw(scope) : Item.flaw(of, scope, key, value, 1);
        if (flaw != null) {
            throw new BadChange(flaw);
        }
        return new Change(op, scope, base, of, key, value);
    }

    /** Reads one of a batch. */
    static Change read(JsonNode json) throws BadChange {
        if (!json.isObject()) {
            throw new BadChange("an object is wanted");
        }
        String word = text(json, "op");
        Op op = null;
        for (Op o : Op.values()) {
            op = o.word.equals(word) ? o : op;
        }
        if (op == null) {
            throw new BadChange("key 'op': '" + word + "' is none of create, suspend, resume, set, remove");
        }
        for (Map.Entry<String, JsonNode> e : json.properties()) {
            if (!e.getKey().equals("op") && !e.getKey().equals("scope") && !op.keys.contains(e.getKey())) {
                throw new BadChange("key '" + e.getKey() + "': unknown for " + word);
            }
        }
        String scope = text(json, "scope");
        if (op == Op.CREATE) {
            return of(op, scope, json.has("base") ? whole(json, "base", Item.MOST_VERSION - 1) : 0, 0, "", null);
        }
        // Whoever removes need not know what kind it was.
        int kind = op == Op.SET || json.has("kind") ? (int) whole(json, "kind", Item.MOST_KIND) : 0;
        return of(op, scope, 0, kind, text(json, "key"), op == Op.SET ? text(json, "value") : null);
    }

    private static String text(JsonNode json, String key) throws BadChange {
        JsonNode value = json.path(key);
        if (!value.isTextual()) {
            throw new BadChange(
                    "key '" + key + "': " + (value.isMissingNode() ? "missing" : "a text is wanted, not " + value));
        }
        return value.asText();
    }

    private static long whole(JsonNode json, String key, long most) throws BadChange {
        JsonNode value = json.path(key);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0 || value.asLong() > most) {
            throw new BadChange("key '" + key + "': "
                    + (value.isMissingNode()
                            ? "missing"
                            : "a whole number from 0 to " + most + " is wanted, not " + value));
        }
        return value.asLong();
    }
}
