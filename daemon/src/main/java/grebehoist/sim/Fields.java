package grebehoist.sim;

/** One line of the wire: a name and its name=value pairs, reused from line to line. */
final class Fields {
    private String line = "";
    private int nameEnd;
    private int count;
    private int[] keyStart = new int[16];
    private int[] keyEnd = new int[16];
    private int[] valueEnd = new int[16];

    /** Reads a line in place of the one before. */
    void read(String text) {
        line = text;
        count = 0;
        int length = text.length();
        nameEnd = end(0);
        for (int start = nameEnd + 1; start < length; ) {
            int stop = end(start);
            int equals = text.indexOf('=', start);
            if (equals <= start || equals >= stop) {
                throw new WireException("malformed field '" + text.substring(start, stop) + "'");
            }
            if (count == keyStart.length) {
                keyStart = java.util.Arrays.copyOf(keyStart, 2 * count);
                keyEnd = java.util.Arrays.copyOf(keyEnd, 2 * count);
                valueEnd = java.util.Arrays.copyOf(valueEnd, 2 * count);
            }
            keyStart[count] = start;
            keyEnd[count] = equals;
            valueEnd[count++] = stop;
            start = stop + 1;
        }
    }

    private int end(int from) {
        int space = line.indexOf(' ', from);
        return space < 0 ? line.length() : space;
    }

    String name() {
        return line.substring(0, nameEnd);
    }

    int size() {
        return count;
    }

    String key(int i) {
        return line.substring(keyStart[i], keyEnd[i]);
    }

    String value(int i) {
        return line.substring(keyEnd[i] + 1, valueEnd[i]);
    }

    /** Returns the value of a key, or null where it is absent. */
    String optional(String key) {
        int length = key.length();
        for (int i = 0; i < count; i++) {
            if (keyEnd[i] - keyStart[i] == length && line.startsWith(key, keyStart[i])) {
                return value(i);
            }
        }
        return null;
    }

    String text(String key) {
        String value = optional(key);
        if (value == null || value.isEmpty()) {
            throw new WireException(name() + ": missing field '" + key + "'");
        }
        return value;
    }

    long whole(String key) {
        return whole(key, text(key));
    }

    long whole(String key, long ifAbsent) {
        String value = optional(key);
        return value == null ? ifAbsent : whole(key, value);
    }

    int small(String key) {
        long value = whole(key);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new WireException(name() + ": bad number '" + value + "' in '" + key + "'");
        }
        return (int) value;
    }

    private long whole(String key, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WireException(name() + ": bad number '" + value + "' in '" + key + "'");
        }
    }

    double number(String key, double ifAbsent) {
        String value = optional(key);
        if (value == null) {
            return ifAbsent;
        }
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new WireException(name() + ": bad number '" + value + "' in '" + key + "'");
    }

    boolean flag(String key) {
        String value = optional(key);
        if (value == null || value.equals("0") || value.equals("false")) {
            return false;
        }
        if (value.equals("1") || value.equals("true")) {
            return true;
        }
        throw new WireException(name() + ": bad bool '" + value + "' in '" + key + "'");
    }
}
