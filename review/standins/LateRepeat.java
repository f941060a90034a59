import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Payments with bodies of 64 KiB to backends of one server room that read them at 64 kB a second and drop a repeated key for 1.2 s. One
 * backend of eight reads faster, does the work and answers 500. Without the trouble it answers 200.
 */
public final class LateRepeat {
    private static final int BODY = 64 * 1024;
    private static final int BACKENDS = 8;
    /** DAYS: 64 kB a second. */
    private static final int READ = 3_200;

    private static final int READ_MS = 50;
    /** BRIEF: app nodes of one server room drop a repeated payment for 1.2 s. */
    private static final long WINDOW_MS = 1_200;

    private static final int WORK_OF_FAILING_MS = 300;
    private static final int CLIENTS = 6;
    private static final int TIMEOUT_MS = 2_000;
    private static final int SECONDS = 70;

    private final Record record;
    private final boolean trouble;
    /** What the server room remembers: when a key was first run. */
    private final Map<String, Long> firstRun = new HashMap<>();

    private final Map<String, Integer> runs = new HashMap<>();

    private LateRepeat(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Case.run(args, record -> new LateRepeat(record, trouble).play());
    }

    private void play() throws Exception {
        try (var discovery = new Discovery()) {
            for (int i = 0; i < BACKENDS; i++) {
                discovery.add("s-" + i, backend(i), "ulven");
            }
            try (var proxy = new Proxy(1_024, discovery.address(), Proxy.CLASSES)) {
                proxy.awaitReady();
                record.line("the proxy is ready");
                long end = record.now() + SECONDS * 1_000L;
                var answered = new AtomicInteger();
                var clients = new Thread[CLIENTS];
                for (int i = 0; i < CLIENTS; i++) {
                    int number = i;
                    clients[i] = Threads.start(() -> {
                        for (int n = 0; record.now() < end; n++) {
                            pay(proxy, "pay-" + number + "-" + n, answered);
                            Threads.sleep(300);
                        }
                    });
                }
                for (Thread client : clients) {
                    client.join();
                }
                // What the backends have not read whole by now.
                Threads.sleep(5_000);
                record.line(answered + " payments answered");
                record.line("log of the proxy:\n" + proxy.log());
            }
        }
    }

    /** A backend whose kernel holds little of what it has not read; returns its address. */
    private String backend(int number) throws IOException {
        var listener = new ServerSocket();
        listener.setReceiveBufferSize(16 * 1024);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1_024);
        Threads.start(() -> {
            while (true) {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                Threads.start(() -> {
                    try (connection) {
                        // The head byte by byte, so that the body is left to be read at its own speed.
                        InputStream in = connection.getInputStream();
                        while (serve(connection, in, number)) {
                            // The next one.
                        }
                    }
                });
            }
        });
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private boolean serve(Socket connection, InputStream in, int number) throws IOException {
        Http head = Http.readHead(in);
        if (head == null) {
            return false;
        }
        boolean odd = number == 0;
        int left = Integer.parseInt(head.header("content-length"));
        byte[] buffer = new byte[READ];
        while (left > 0) {
            int n = in.read(buffer, 0, Math.min(left, READ));
            if (n < 0) {
                record.line("cut off " + head.header("x-request-id") + " at s-" + number + ", " + left + " bytes left");
                return false;
            }
            left -= n;
            if (!odd) {
                Threads.sleep(READ_MS);
            }
        }
        run(head.header("idempotency-key"), number);
        if (odd) {
            Threads.sleep(WORK_OF_FAILING_MS);
        }
        connection
                .getOutputStream()
                .write(Http.answer(odd && trouble ? 500 : 200, "", "answer of " + head.header("x-request-id")));
        return true;
    }

    /** The last byte of a payment has come: it is run, unless its key is remembered. */
    private synchronized void run(String key, int number) {
        long now = record.now();
        Long first = firstRun.get(key);
        if (first != null && now - first < WINDOW_MS) {
            record.line("dropped, as " + (now - first) + " ms before it has run: " + key + " at s-" + number);
            return;
        }
        firstRun.put(key, now);
        int times = runs.merge(key, 1, Integer::sum);
        record.line("run " + key + " at s-" + number);
        if (times > 1) {
            record.broken(key + " has run " + times + " times, now at s-" + number + ", " + (now - first) + " ms after the first");
        }
    }

    private void pay(Proxy proxy, String id, AtomicInteger answered) {
        try (Socket client = proxy.connect()) {
            client.setSoTimeout(TIMEOUT_MS + 500);
            client.getOutputStream()
                    .write(Proxy.head(id, "post-payment", TIMEOUT_MS, "key-" + id, BODY).getBytes(StandardCharsets.US_ASCII));
            client.getOutputStream().write(new byte[BODY]);
            Http answer = Http.read(new BufferedInputStream(client.getInputStream()));
            record.line("answered " + id + ": " + (answer == null ? "closed" : answer.start()));
            answered.incrementAndGet();
        } catch (IOException e) {
            record.line("no answer for " + id + ": " + e);
        }
    }
}
