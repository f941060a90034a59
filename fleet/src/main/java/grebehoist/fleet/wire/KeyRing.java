package grebehoist.fleet.wire;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys that a fleet's datagrams are sealed with (HMAC-SHA256, RFC 2104, cut to 128 bits): one, or two while a key changes. The first
 * seals, any opens: so the new key is added behind the old one everywhere, then put before it, then the old one is left out. Used by
 * one thread.
 */
public final class KeyRing {
    /** A key and the number that datagrams name it by, 0 to 255. */
    public record Key(int id, byte[] secret) {
        public Key {
            if (id < 0 || id > 255) {
                throw new IllegalArgumentException("key id " + id + ": 0 to 255 is wanted");
            }
            if (secret.length < LEAST) {
                throw new IllegalArgumentException(
                        "key " + id + ": at least " + LEAST + " bytes are wanted, not " + secret.length);
            }
            secret = secret.clone();
        }
    }

    /** The bytes of a seal. */
    public static final int SEAL = 16;
    /** The least bytes of a key. */
    public static final int LEAST = 16;

    private static final int MOST_KEYS = 2;
    private static final String ALGORITHM = "HmacSHA256";

    private final List<Key> keys;
    private final List<Mac> macs;

    /** Makes a ring; the first key seals. */
    public KeyRing(List<Key> keys) {
        if (keys.isEmpty() || keys.size() > MOST_KEYS) {
            throw new IllegalArgumentException("one or two keys are wanted, not " + keys.size());
        }
        if (keys.stream().map(Key::id).distinct().count() < keys.size()) {
            throw new IllegalArgumentException(
                    "two keys have the id " + keys.get(0).id());
        }
        this.keys = List.copyOf(keys);
        this.macs = this.keys.stream().map(KeyRing::mac).toList();
    }

    private static Mac mac(Key key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java has no " + ALGORITHM, e);
        }
    }

    /** Returns the id of the key that seals. */
    int sealing() {
        return keys.get(0).id();
    }

    /** Returns whether there is a key of this id. */
    boolean has(int id) {
        return keys.stream().anyMatch(k -> k.id() == id);
    }

    /** Returns the seal of some bytes on their way from one member to another: to a third one they prove nothing. */
    byte[] seal(int id, int from, int to, byte[] bytes, int length) {
        for (int i = 0; i < keys.size(); i++) {
            if (keys.get(i).id() == id) {
                Mac mac = macs.get(i);
                mac.update(ByteBuffer.allocate(8).putInt(from).putInt(to).array());
                mac.update(bytes, 0, length);
                return Arrays.copyOf(mac.doFinal(), SEAL);
            }
        }
        throw new IllegalArgumentException("no key " + id);
    }

    /** Returns whether a seal is right; it takes the same time whatever is wrong. */
    boolean opens(int id, int from, int to, byte[] bytes, int length, byte[] seal) {
        return MessageDigest.isEqual(seal(id, from, to, bytes, length), seal);
    }
}
