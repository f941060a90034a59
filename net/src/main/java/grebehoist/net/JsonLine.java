package grebehoist.net;

/** A log line that is a JSON object of strings. */
final class JsonLine {
    private final StringBuilder text = new StringBuilder();

    JsonLine(String event) {
        text.append('{');
        put("event", event);
    }

    JsonLine put(String key, String value) {
        if (text.length() > 1) {
            text.append(',');
        }
        quote(key);
        text.append(':');
        quote(value);
        return this;
    }

    private void quote(String value) {
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\') {
                text.append('\\').append(c);
            } else if (c < ' ') {
                text.append(String.format("\\u%04x", (int) c));
            } else {
                text.append(c);
            }
        }
        text.append('"');
    }

    @Override
    public String toString() {
        return text + "}";
    }
}
