package grebehoist.trial;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Clients that cost much by the byte and never ask a whole request, so that nobody owes them an answer: bodies in chunks of one byte, heads
 * of many short fields, bodies that stop half-way. They write from one thread each, and close.
 */
final class PiecesCrowd {
    private static final int CLIENTS = 60;
    private static final String HEAD = "POST /api?k=crowd HTTP/1.1\r\nHost: service\r\nX-Request-ID: crowd-%d-%d\r\n"
            + "X-Priority-Class: vote\r\nX-Timeout: 2000m\r\n";

    private static final List<String> REST = List.of(
            "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(8_000),
            "a: b\r\n".repeat(200),
            "Content-Length: 60000\r\n\r\n" + "x".repeat(40_000));

    private PiecesCrowd() {}

    /** Sends them to a proxy, and waits until they have left. */
    static void send(InetSocketAddress proxy, long forMs) throws InterruptedException {
        var threads = new ArrayList<Thread>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            var thread = new Thread(() -> write(proxy, number, forMs), "crowd-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private static void write(InetSocketAddress proxy, int number, long forMs) {
        try (var socket = new Socket(proxy.getAddress(), proxy.getPort())) {
            String request = String.format(HEAD, number, System.nanoTime()) + REST.get(number % REST.size());
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(forMs);
        } catch (IOException e) {
            // It was down just now, or has cut this one off, as it may.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
