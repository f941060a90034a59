package grebehoist.cli;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Backends whose answers go on, in chunks, until they are told to finish. */
final class EndlessAnswers implements Peer.Service {
    private static final String CHUNK = Integer.toHexString(1_024) + "\r\n" + "x".repeat(1_024) + "\r\n";
    private static final long CHUNK_MS = 20;

    private final CountDownLatch finished = new CountDownLatch(1);

    @Override
    public void serve(Wire connection) throws IOException {
        try {
            while (connection.read() != null) {
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                do {
                    connection.send(CHUNK);
                } while (!finished.await(CHUNK_MS, TimeUnit.MILLISECONDS));
                connection.send("0\r\n\r\n");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** All answers come to their end. */
    void finish() {
        finished.countDown();
    }
}
