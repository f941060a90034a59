package grebehoist.fleet.distribution;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;

/**
 * One item of a scope at one version. Any one fits a datagram.
 *
 * @param kind what it is about, 0 to 255; a kind that a program does not know is carried and kept, and not acted on
 * @param value null where the item is removed; not to be changed
 * @param version of its scope: 1 for the first change, one more for each
 */
public record Item(int kind, String scope, String key, byte[] value, long version) {
    /** A backend, named by the key, gets no requests; the value is empty. */
    public static final int SUSPENSION = 1;
    /** The greatest kind. */
    public static final int MOST_KIND = 255;
    /** The longest name of a scope, in bytes of UTF-8. */
    public static final int SCOPE_BYTES = 24;
    /** The longest key, in bytes of UTF-8. */
    public static final int KEY_BYTES = 48;
    /** The longest value, in bytes. */
    public static final int VALUE_BYTES = 96;
    /** The greatest version: every receiver can read it as a JSON number. */
    public static final long MOST_VERSION = (1L << 53) - 1;

    /** Returns why this can't be an item, naming what is wrong and where; null for nothing. */
    public static String flaw(int kind, String scope, String key, byte[] value, long version) {
        if (kind < 0 || kind > MOST_KIND) {
            return "kind " + kind + " of " + key + " in " + scope + ": 0 to " + MOST_KIND + " is wanted";
        }
        String scopes = flaw(scope);
        if (scopes != null) {
            return scopes;
        }
        int bytes = key == null ? 0 : key.getBytes(StandardCharsets.UTF_8).length;
        if (bytes < 1 || bytes > KEY_BYTES) {
            return "key " + key + " in " + scope + " has " + bytes + " bytes: 1 to " + KEY_BYTES + " are wanted";
        }
        if (value != null && value.length > VALUE_BYTES) {
            return "value of " + key + " in " + scope + " has " + value.length + " bytes: at most " + VALUE_BYTES
                    + " are wanted";
        }
        return version < 1 || version > MOST_VERSION
                ? "version " + version + " of " + key + " in " + scope + ": 1 to " + MOST_VERSION + " is wanted"
                : null;
    }

    /** Returns why this can't be the name of a scope; null for nothing. */
    public static String flaw(String scope) {
        int bytes = scope == null ? 0 : scope.getBytes(StandardCharsets.UTF_8).length;
        return bytes < 1 || bytes > SCOPE_BYTES
                ? "scope " + scope + " has " + bytes + " bytes: 1 to " + SCOPE_BYTES + " are wanted"
                : null;
    }

    public Item {
        String flaw = flaw(kind, scope, key, value, version);
        if (flaw != null) {
            throw new IllegalArgumentException(flaw);
        }
    }

    /** Returns whether this takes an item away. */
    public boolean removed() {
        return value == null;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Item i
                && kind == i.kind
                && version == i.version
                && scope.equals(i.scope)
                && key.equals(i.key)
                && Arrays.equals(value, i.value);
    }

    @Override
    public int hashCode() {
        return Objects.hash(kind, scope, key, version, Arrays.hashCode(value));
    }

    @Override
    public String toString() {
        return scope + "#" + version + " " + key
                + (removed() ? " removed" : " kind " + kind + ", " + value.length + " bytes");
    }
}
