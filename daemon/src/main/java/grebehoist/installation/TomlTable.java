package grebehoist.installation;

import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.net.Addresses;
import grebehoist.thrift.ThriftMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A table of a TOML file that is read key by key. What is wrong is noted with file, table and key, and a harmless value is
 * returned, so that all errors are found in one go; what nobody has asked for is an error as well.
 */
final class TomlTable {
    private final String file;
    private final String where;
    private final JsonNode node;
    private final List<String> problems;
    private final Set<String> read = new HashSet<>();

    TomlTable(String file, String where, JsonNode node, List<String> problems) {
        this.file = file;
        this.where = where;
        this.node = node;
        this.problems = problems;
    }

    /** Returns the name of this table, as messages have it. */
    String where() {
        return where;
    }

    void problem(String key, String what) {
        problems.add(file + ": " + (where.isEmpty() ? "" : where + ": ") + "key '" + key + "': " + what);
    }

    private JsonNode value(String key) {
        read.add(key);
        return node.path(key);
    }

    /** Returns a text that must be there; empty where it is not. */
    String text(String key) {
        return text(key, null);
    }

    String text(String key, String ifAbsent) {
        JsonNode value = value(key);
        if (value.isMissingNode() && ifAbsent != null) {
            return ifAbsent;
        }
        if (!value.isTextual() || value.asText().isEmpty()) {
            problem(key, value.isMissingNode() ? "missing" : "a text is wanted, not " + value);
            return "";
        }
        return value.asText();
    }

    /** Returns a numeric address and port; null where it is none, which is told. */
    InetSocketAddress address(String key) {
        String text = text(key);
        InetSocketAddress address = text.isEmpty() ? null : Addresses.parse(text);
        if (address == null && !text.isEmpty()) {
            problem(key, "'" + text + "' is no numeric address and port");
        }
        return address;
    }

    /** Returns one of several words; empty where it is none. */
    String word(String key, Set<String> words) {
        String text = text(key);
        if (!text.isEmpty() && !words.contains(text)) {
            problem(key, "'" + text + "' is none of " + String.join(", ", new TreeSet<>(words)));
            return "";
        }
        return text;
    }

    /** Returns what a word means, or the value for an absent one; null where that is null too, or the word unknown. */
    <T> T word(String key, Map<String, T> words, T ifAbsent) {
        JsonNode value = value(key);
        if (value.isMissingNode() && ifAbsent != null) {
            return ifAbsent;
        }
        return words.get(word(key, words.keySet()));
    }

    /** Returns a whole number; one that must be there has no value for an absent one. */
    long whole(String key, Long ifAbsent, long least, long most) {
        JsonNode value = value(key);
        if (value.isMissingNode() && ifAbsent != null) {
            return ifAbsent;
        }
        if (!value.canConvertToLong() || !value.isIntegralNumber() || value.asLong() < least || value.asLong() > most) {
            problem(
                    key,
                    value.isMissingNode()
                            ? "missing"
                            : "a whole number from " + least + " to " + most + " is wanted, not " + value);
            return least;
        }
        return value.asLong();
    }

    /** Returns a number; one that must be there has no value for an absent one. */
    double number(String key, Double ifAbsent, double least, double most) {
        JsonNode value = value(key);
        if (value.isMissingNode() && ifAbsent != null) {
            return ifAbsent;
        }
        if (!value.isNumber() || !(value.asDouble() >= least && value.asDouble() <= most)) {
            problem(
                    key,
                    value.isMissingNode()
                            ? "missing"
                            : "a number from " + least + " to " + most + " is wanted, not " + value);
            return least;
        }
        return value.asDouble();
    }

    boolean flag(String key, boolean ifAbsent) {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isBoolean()) {
            problem(key, "true or false is wanted, not " + value);
        }
        return value.asBoolean(ifAbsent);
    }

    /** A key that must not be there. */
    void absent(String key, String why) {
        if (!value(key).isMissingNode()) {
            problem(key, why);
        }
    }

    /** Returns a table inside this one; empty where there is none. */
    TomlTable table(String key) {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isObject()) {
            problem(key, "a table is wanted");
        }
        return new TomlTable(file, where.isEmpty() ? "[" + key + "]" : where + " / [" + key + "]", value, problems);
    }

    /** Returns a table inside this one, or null where there is none. */
    TomlTable optionalTable(String key) {
        return value(key).isMissingNode() ? null : table(key);
    }

    /** Returns where a figure of a call comes from: a path, or {@code { fixed = "..." }}; null where it is not given. */
    ThriftMethod.Figure figure(String key) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return null;
        }
        if (value.isObject()) {
            TomlTable fixed = table(key);
            String text = fixed.text("fixed");
            fixed.done();
            return new ThriftMethod.Fixed(text);
        }
        if (!value.isTextual() || !ThriftMethod.isPath(value.asText())) {
            problem(key, "a path of field ids such as \"2.1\", or { fixed = \"...\" }, is wanted, not " + value);
            return null;
        }
        return new ThriftMethod.At(value.asText());
    }

    /** Returns the texts of an array that must be there. */
    List<String> texts(String key, int least, int most) {
        JsonNode value = value(key);
        var texts = new ArrayList<String>();
        for (JsonNode v : value) {
            texts.add(v.asText(""));
            if (value.isArray() && !v.isTextual()) {
                problem(key, "a text is wanted, not " + v);
            }
        }
        if (!value.isArray() || texts.size() < least || texts.size() > most) {
            problem(
                    key,
                    value.isMissingNode() ? "missing" : "an array of " + least + " to " + most + " texts is wanted");
        }
        return texts;
    }

    /** Returns the whole numbers of an array that must be there. */
    List<Long> wholes(String key, int leastOf, int mostOf, long least, long most) {
        JsonNode value = value(key);
        var numbers = new ArrayList<Long>();
        value.forEach(v -> numbers.add(v.isIntegralNumber() && v.canConvertToLong() ? v.asLong() : Long.MIN_VALUE));
        if (!value.isArray()
                || numbers.size() < leastOf
                || numbers.size() > mostOf
                || numbers.stream().anyMatch(n -> n < least || n > most)) {
            problem(
                    key,
                    value.isMissingNode()
                            ? "missing"
                            : "an array of " + leastOf + " to " + mostOf + " whole numbers from " + least + " to "
                                    + most + " is wanted, not " + value);
            return List.of();
        }
        return numbers;
    }

    /** Returns the tables of an array. */
    List<TomlTable> tables(String key, String name, boolean wanted) {
        JsonNode value = value(key);
        var tables = new ArrayList<TomlTable>();
        if (value.isMissingNode() && wanted) {
            problem(key, "at least one " + name.substring(name.lastIndexOf("[[")) + " is wanted");
        } else if (!value.isMissingNode() && !value.isArray()) {
            problem(key, "it is written " + name.substring(name.lastIndexOf("[[")));
        }
        for (JsonNode entry : value) {
            if (value.isArray()) {
                String called = entry.path("name").isTextual()
                        ? " \"" + entry.path("name").asText() + "\""
                        : " number " + (tables.size() + 1);
                tables.add(new TomlTable(file, name + called, entry, problems));
            }
        }
        return tables;
    }

    /** All has been asked for: whatever else is there is an error. */
    void done() {
        node.fieldNames().forEachRemaining(key -> {
            if (!read.contains(key)) {
                problem(key, "unknown");
            }
        });
    }
}
