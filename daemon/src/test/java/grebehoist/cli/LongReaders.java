package grebehoist.cli;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Clients of a process, each of which has the head of a long answer ({@link EndlessAnswers}) and reads the rest as it comes. */
final class LongReaders implements Closeable {
    private static final long PATIENCE_S = 30;
    private static final long AGAIN_MS = 50;

    private final List<Wire> clients = new ArrayList<>();
    private final List<CompletableFuture<Boolean>> readings = new ArrayList<>();

    /** Connects so many, and returns when all answers have begun. A fresh proxy may refuse: then it is asked again. */
    LongReaders(InetSocketAddress proxy, int number) throws IOException, InterruptedException {
        for (int i = 0; i < number; i++) {
            Wire client = begun(proxy, i);
            clients.add(client);
            var reading = new CompletableFuture<Boolean>();
            readings.add(reading);
            Peer.background(() -> reading.complete(isWhole(client)));
        }
    }

    private static Wire begun(InetSocketAddress proxy, int number) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        for (int attempt = 0; System.nanoTime() - until < 0; attempt++) {
            String id = "long" + number + "-" + attempt;
            Wire client = Wire.to(proxy)
                    .send("GET /api?k=" + id + " HTTP/1.1\r\nHost: service\r\nX-Request-ID: " + id
                            + "\r\nX-Tenant-Id: large\r\nX-Timeout: 1900m\r\nX-Priority-Class: read\r\n\r\n");
            if (client.head().status() == 200) {
                return client;
            }
            client.close();
            TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
        }
        throw new IllegalStateException("refused for " + PATIENCE_S + " s");
    }

    private static boolean isWhole(Wire client) {
        try {
            client.chunks();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns whether every answer came whole; waits for that. */
    boolean allWhole() throws InterruptedException, ExecutionException, TimeoutException {
        boolean all = true;
        for (CompletableFuture<Boolean> reading : readings) {
            all &= reading.get(PATIENCE_S, TimeUnit.SECONDS);
        }
        return all;
    }

    /** Returns whether any answer is still on its way. */
    boolean reading() {
        return readings.stream().anyMatch(r -> !r.isDone());
    }

    @Override
    public void close() throws IOException {
        for (Wire client : clients) {
            client.close();
        }
    }
}
