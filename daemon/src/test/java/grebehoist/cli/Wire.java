package grebehoist.cli;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** One end of a connection, read and written byte by byte: tests see just what is sent, and when it ends. */
public final class Wire implements Closeable {
    private static final int PATIENCE_MS = 10_000;

    public final Socket socket;
    private final InputStream in;

    public Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(PATIENCE_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public static Wire to(InetSocketAddress address) throws IOException {
        return new Wire(new Socket(InetAddress.getLoopbackAddress(), address.getPort()));
    }

    /** Connects as a client whose kernel holds little of what it has not read. */
    public static Wire narrow(InetSocketAddress address) throws IOException {
        var socket = new Socket();
        socket.setReceiveBufferSize(32 * 1024);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), address.getPort()));
        return new Wire(socket);
    }

    public Wire send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Reads one message: its first line, its headers and its body; null if the connection ends before one begins. */
    public Message read() throws IOException {
        Message head = head();
        if (head == null) {
            return null;
        }
        String length = head.header("Content-Length");
        return new Message(head.first(), head.headers(), body(length == null ? 0 : Integer.parseInt(length)));
    }

    /** Reads so much of a body. */
    public String body(int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("cut short after " + body.length + " of " + length);
        }
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Reads a body that comes in chunks. */
    public String chunks() throws IOException {
        var body = new StringBuilder();
        for (String size = line(); size != null; size = line()) {
            int length = Integer.parseInt(size.trim(), 16);
            body.append(body(length));
            line();
            if (length == 0) {
                return body.toString();
            }
        }
        throw new IOException("cut short in the middle of chunks");
    }

    /** Reads a message's first line and headers; null if the connection ends before one begins. */
    public Message head() throws IOException {
        String first = line();
        if (first == null) {
            return null;
        }
        var headers = new StringBuilder("\n");
        for (String line = line(); line != null && !line.isEmpty(); line = line()) {
            headers.append(line).append('\n');
        }
        return new Message(first, headers.toString(), "");
    }

    /** Waits until the other side has ended the connection; returns whether it did so without sending anything. */
    public boolean ended() throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** As {@link #ended}, where what this side sent may have crossed the close. */
    public boolean endedQuietly() throws IOException {
        try {
            while (in.read() >= 0) {
                // the rest of what was sent
            }
            return true;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    private String line() throws IOException {
        var line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** A message as it was read. */
    public record Message(String first, String headers, String body) {
        public int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        public String header(String name) {
            return Arrays.stream(headers.split("\n"))
                    .filter(l -> l.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .map(l -> l.substring(name.length() + 1).trim())
                    .findFirst()
                    .orElse(null);
        }
    }
}
