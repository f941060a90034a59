import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A message of HTTP/1.1, as far as the stand-ins need it. */
record Http(String start, Map<String, String> headers, byte[] body) {
    /** Reads a message; returns null where the connection has ended before its first byte. */
    static Http read(InputStream in) throws IOException {
        Http head = readHead(in);
        return head == null ? null : new Http(head.start, head.headers, body(in, head.start, head.headers));
    }

    /** Reads a message up to its body. */
    static Http readHead(InputStream in) throws IOException {
        String start = line(in, true);
        if (start == null) {
            return null;
        }
        var headers = new LinkedHashMap<String, String>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Http(start, headers, new byte[0]);
    }

    private static byte[] body(InputStream in, String start, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            var body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!line(in, false).isEmpty()) {
                        // Trailers tell nothing here.
                    }
                    return body.toByteArray();
                }
                body.write(exactly(in, size));
                line(in, false);
            }
        }
        String length = headers.get("content-length");
        if (length != null) {
            return exactly(in, Integer.parseInt(length));
        }
        return start.startsWith("HTTP/") ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException(bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    /** Returns a line, or null where the connection ends before it and that is allowed. */
    private static String line(InputStream in, boolean mayEnd) throws IOException {
        var line = new ByteArrayOutputStream(64);
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("in a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    String path() {
        return start.split(" ")[1];
    }

    String header(String name) {
        return headers.get(name);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns the bytes of an answer. */
    static byte[] answer(int status, String headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }
}
