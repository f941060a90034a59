package grebehoist.installation;

import java.util.ArrayList;
import java.util.List;

/** The tables {@code [[membership.key]]} and {@code [[distribution.key]]}. */
final class KeyReader {
    private static final int MOST = 2;

    private KeyReader() {}

    /**
     * Reads the keys of a table.
     *
     * @param name of their tables, as messages have it
     */
    static List<Installation.KeyEntry> read(TomlTable t, String name) {
        var keys = new ArrayList<Installation.KeyEntry>();
        for (TomlTable k : t.tables("key", t.where() + " / " + name, true)) {
            int id = (int) k.whole("id", null, 0, 255);
            String secret = k.text("secret");
            if (!secret.isEmpty() && !secret.matches("([0-9a-fA-F]{2}){16,64}")) {
                k.problem("secret", "16 to 64 bytes in hexadecimal are wanted");
            }
            if (keys.stream().anyMatch(other -> other.id() == id)) {
                k.problem("id", "two keys have it");
            }
            k.done();
            keys.add(new Installation.KeyEntry(id, secret));
        }
        if (keys.size() > MOST) {
            t.problem("key", "one or two are wanted, not " + keys.size());
        }
        return keys;
    }
}
