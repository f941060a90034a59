package grebehoist.cli;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Backends whose answers take 6 s, and clients that take as long to read one. What an answer is like goes by the beginning of its request's id. */
final class LongAnswers {
    /** Its backend is what is slow. */
    static final String WITH_LENGTH = "length";

    static final String IN_CHUNKS = "chunks";
    /** Its backend gives it as fast as it is taken. */
    static final String AT_ONCE = "at-once";

    static final String SHORT = "short";

    private static final String PIECE = "0123456789abcdef".repeat(1_024);
    private static final int PIECES = 300;
    private static final long PIECE_MS = 20;
    /** Of each long answer. */
    static final int LENGTH = PIECES * PIECE.length();

    private LongAnswers() {}

    /** Answers all requests of one connection. */
    static void serve(Wire connection) throws IOException {
        for (Wire.Message request = connection.head(); request != null; request = connection.head()) {
            String id = request.header("X-Request-ID");
            if (id.startsWith(SHORT)) {
                connection.send(Peer.ok("x"));
            } else if (id.startsWith(IN_CHUNKS)) {
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                give(connection, Integer.toHexString(PIECE.length()) + "\r\n" + PIECE + "\r\n", PIECE_MS);
                connection.send("0\r\n\r\n");
            } else {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n");
                give(connection, PIECE, id.startsWith(WITH_LENGTH) ? PIECE_MS : 0);
            }
        }
    }

    private static void give(Wire connection, String piece, long pauseMs) throws IOException {
        for (int i = 0; i < PIECES; i++) {
            connection.send(piece);
            pause(pauseMs);
        }
    }

    /** Reads the body of a long answer that has a length. */
    static void readSlowly(Wire client) throws IOException {
        for (int i = 0; i < PIECES; i++) {
            client.body(PIECE.length());
            pause(PIECE_MS);
        }
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns one backend. */
    static Peer backend() throws IOException {
        var backend = new Peer();
        backend.serveAll(LongAnswers::serve);
        return backend;
    }
}
