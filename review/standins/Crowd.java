import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Payments whose bodies come in two pieces, at 64 kB a second, each on a connection of its own, while idle clients fill the descriptors.
 * Without the trouble there are no idle clients.
 */
public final class Crowd {
    private static final int SOCKETS = 256;
    private static final int IDLE = 300;
    private static final int USUAL = 8;
    private static final int SECONDS = 30;
    private static final int BODY = 16 * 1024;
    /** Half of the body later by what 64 kB a second take for the other half. */
    private static final int HALF_MS = 125;
    private static final int TIMEOUT_MS = 2_000;
    private static final int SLACK_MS = 500;

    private Crowd() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Case.run(args, record -> {
            var ran = new ConcurrentHashMap<String, Integer>();
            try (var discovery = new Discovery()) {
                for (int i = 0; i < 4; i++) {
                    var server = new Server((connection, in, request) -> {
                        String id = request.header("x-request-id");
                        ran.merge(id, 1, Integer::sum);
                        record.line("run " + id);
                        connection.getOutputStream().write(Http.answer(200, "", "answer of " + id));
                        return true;
                    });
                    discovery.add("s-" + i, server.address(), "ulven");
                }
                try (var proxy = new Proxy(SOCKETS, discovery.address(), Proxy.CLASSES)) {
                    proxy.awaitReady();
                    record.line("the proxy is ready");
                    play(proxy, record, trouble);
                    record.line("log of the proxy:\n" + proxy.log());
                }
            }
        });
    }

    private static void play(Proxy proxy, Record record, boolean trouble) throws Exception {
        long end = record.now() + SECONDS * 1_000L;
        for (int i = 0; trouble && i < IDLE; i++) {
            Threads.start(() -> sayNothing(proxy, record, end));
        }
        Threads.sleep(2_000);
        var answered = new AtomicInteger();
        var cutShort = new AtomicInteger();
        var clients = new ArrayList<Thread>();
        for (int i = 0; i < USUAL; i++) {
            int number = i;
            clients.add(Threads.start(() -> {
                for (int n = 0; record.now() < end; n++) {
                    pay(proxy, record, "pay-" + number + "-" + n, answered, cutShort);
                    Threads.sleep(100);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        record.line(answered + " payments answered, " + cutShort + " not written whole");
        if (!proxy.alive()) {
            record.broken("the proxy has crashed");
        }
    }

    /** A client that connects and says nothing, and comes again when it is turned out. */
    private static void sayNothing(Proxy proxy, Record record, long end) {
        while (record.now() < end) {
            try (Socket client = proxy.connect()) {
                client.setSoTimeout((int) Math.max(1, end - record.now()));
                client.getInputStream().read();
            } catch (IOException e) {
                // It comes again.
            }
            Threads.sleep(100);
        }
    }

    /** Sends a payment in two pieces; what it takes for lost is a request that was read in part and whose last byte was written. */
    private static void pay(
            Proxy proxy, Record record, String id, AtomicInteger answered, AtomicInteger cutShort) {
        byte[] head = Proxy.head(id, "post-payment", TIMEOUT_MS, "key-" + id, BODY).getBytes(StandardCharsets.US_ASCII);
        byte[] body = new byte[BODY];
        long first = 0;
        long last = 0;
        try (Socket client = proxy.connect()) {
            OutputStream out = client.getOutputStream();
            first = record.now();
            out.write(head);
            out.write(body, 0, BODY / 2);
            Threads.sleep(HALF_MS);
            out.write(body, BODY / 2, BODY / 2);
            last = record.now();
            client.setSoTimeout(TIMEOUT_MS + SLACK_MS);
            Http answer = Http.read(new BufferedInputStream(client.getInputStream()));
            long took = record.now() - last;
            if (answer == null) {
                record.broken(id + " was written whole, its head " + (last - first)
                        + " ms before its last byte, and its connection ended with no answer " + took + " ms later");
            } else {
                record.line("answered " + id + ": " + answer.start() + " after " + took + " ms");
                answered.incrementAndGet();
            }
        } catch (SocketTimeoutException e) {
            record.broken(id + " was written whole and got no answer in " + (TIMEOUT_MS + SLACK_MS) + " ms");
        } catch (IOException e) {
            if (last > 0) {
                record.broken(id + " was written whole, its head " + (last - first)
                        + " ms before its last byte, and its connection was reset with no answer: " + e);
            } else {
                record.line("not written whole: " + id + ", " + (record.now() - first) + " ms after its head: " + e);
                cutShort.incrementAndGet();
            }
        }
    }
}
