package grebehoist.fleet.distribution;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/** Numbers that stand for names and contents. */
final class Ids {
    private Ids() {}

    /** Returns what a scope goes by on the wire: 63 bits of the SHA-256 of its name. */
    static long of(String scope) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(scope.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong() >>> 1;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java has no SHA-256", e);
        }
    }

    /** Returns what an item adds to the hash of a state: the states of two are compared by the exclusive or of these. */
    static int state(String key, long version) {
        return (int) Layout.mix(Layout.hash(key) + version * 0x9E3779B97F4A7C15L);
    }

    /** Returns a hash of what an item does: two changes with the same one are held to be the same. */
    static long content(Item item) {
        long value = item.value() == null ? -1 : 1;
        for (byte b : item.value() == null ? new byte[0] : item.value()) {
            value = Layout.mix(value * 31 + b);
        }
        return Layout.mix(Layout.hash(item.key()) + 31 * item.kind() + 0x9E3779B97F4A7C15L * value);
    }

    /** Returns whether two changes do the same. */
    static boolean same(Item a, Item b) {
        return a.kind() == b.kind() && a.key().equals(b.key()) && Arrays.equals(a.value(), b.value());
    }
}
