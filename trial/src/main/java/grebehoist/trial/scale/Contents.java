package grebehoist.trial.scale;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.Map;

/** What is to be in force in a scope, by what the writer was told; and a digest that two such states are compared by. */
final class Contents {
    /** Suspensions; all other kinds are carried and not acted on. */
    static final int SUSPENSION = 1;

    private final Map<String, String> live = new HashMap<>();
    private long version;

    /** Returns the digest of one item; that of a state is the sum over its items. */
    static long digest(int kind, String key, byte[] value) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((byte) kind);
            sha.update(key.getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
            return ByteBuffer.wrap(sha.digest(value)).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has it", e);
        }
    }

    /**
     * Applies a change.
     *
     * @param value null where it is taken away
     */
    void apply(int kind, String key, String value, long newVersion) {
        String id = kind + " " + key;
        if (value == null) {
            live.remove(id);
        } else {
            live.put(id, value);
        }
        version = Math.max(version, newVersion);
    }

    long version() {
        return version;
    }

    int size() {
        return live.size();
    }

    boolean has(int kind, String key) {
        return live.containsKey(kind + " " + key);
    }

    long digest() {
        long sum = 0;
        for (Map.Entry<String, String> e : live.entrySet()) {
            int blank = e.getKey().indexOf(' ');
            sum += digest(
                    Integer.parseInt(e.getKey().substring(0, blank)),
                    e.getKey().substring(blank + 1),
                    e.getValue().getBytes(StandardCharsets.UTF_8));
        }
        return sum;
    }
}
