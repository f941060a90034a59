import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that write payments in two pieces, at 64 kB a second, each on a connection of its own. */
final class Payments {
    private static final int BODY = 16 * 1024;
    /** Half of the body later by what 64 kB a second take for the other half. */
    private static final int HALF_MS = 125;

    private static final int TIMEOUT_MS = 2_000;
    private static final int SLACK_MS = 500;
    /** A proxy that runs has read what was written so long ago. */
    private static final int SURELY_READ_MS = 20;

    private final Proxy proxy;
    private final Record record;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unheard = new AtomicInteger();

    Payments(Proxy proxy, Record record) {
        this.proxy = proxy;
        this.record = record;
    }

    /** Has so many clients pay again and again until a time, and waits for them. */
    void play(int clients, int pauseMs, long end) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            int number = i;
            threads.add(Threads.start(() -> {
                for (int n = 0; record.now() < end; n++) {
                    pay("pay-" + number + "-" + n);
                    Threads.sleep(pauseMs);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record.line(answered + " payments answered, " + unheard + " connections ended otherwise");
    }

    /**
     * Sends one payment. It is lost if it was read in part, for its connection ended in order in the middle of it, and its last byte
     * was written, and no answer came. What is refused, reset or ended in its first moments was perhaps not read, and counts as unheard.
     */
    private void pay(String id) {
        byte[] head = Proxy.head(id, "post-payment", TIMEOUT_MS, "key-" + id, BODY).getBytes(StandardCharsets.US_ASCII);
        byte[] body = new byte[BODY];
        try (Socket client = proxy.connect()) {
            OutputStream out = client.getOutputStream();
            InputStream in = new BufferedInputStream(client.getInputStream());
            long first = record.now();
            out.write(head);
            out.write(body, 0, BODY / 2);
            boolean ended = false;
            client.setSoTimeout(HALF_MS);
            in.mark(1);
            try {
                ended = in.read() < 0;
                in.reset();
            } catch (SocketTimeoutException e) {
                // Nothing has come, as it should be.
            }
            long endedAfter = record.now() - first;
            Threads.sleep(Math.max(0, HALF_MS - endedAfter));
            out.write(body, BODY / 2, BODY / 2);
            client.setSoTimeout(TIMEOUT_MS + SLACK_MS);
            Http answer = Http.read(in);
            if (answer != null) {
                record.line("answered " + id + ": " + answer.start());
                answered.incrementAndGet();
            } else if (ended && endedAfter >= SURELY_READ_MS) {
                record.broken(id + ": the proxy has ended the connection " + endedAfter
                        + " ms after head and half of the body were written; all is written, no answer has come");
            } else {
                record.line("unheard " + id);
                unheard.incrementAndGet();
            }
        } catch (SocketTimeoutException e) {
            record.broken(id + " was written whole and got no answer in " + (TIMEOUT_MS + SLACK_MS) + " ms");
        } catch (IOException e) {
            record.line("unheard " + id + ": " + e);
            unheard.incrementAndGet();
        }
    }
}
