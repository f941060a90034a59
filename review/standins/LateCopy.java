import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Backends in another server room that send a second copy of some answers some milliseconds later, where nothing else waits on the
 * connection by then: of some with which reads are turned away (503 with X-Not-Processed), and of some with which they are served. Payments, which
 * are unsafe to repeat here, are never turned away, and their answers have no copies. Without the trouble there are no second copies.
 */
public final class LateCopy {
    /** BRIEF: 0.42 to 0.78 ms one way between server rooms. */
    private static final long ONE_WAY_US = 780;

    private static final int COPY_AFTER_MS = 5;
    private static final double SHARE = 0.05;
    private static final int CLIENTS = 40;
    private static final int PAUSE_MS = 100;
    private static final int SECONDS = 45;
    private static final int WORK_MS = 20;
    private static final int TIMEOUT_MS = 2_000;

    private LateCopy() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Case.run(args, record -> {
            var copies = new AtomicInteger();
            var ran = new ConcurrentHashMap<String, Integer>();
            try (var discovery = new Discovery()) {
                for (int i = 0; i < 4; i++) {
                    String backend = "s-" + i;
                    var server = new Server((connection, in, request) ->
                            serve(connection, in, request, backend, record, ran, trouble ? copies : null));
                    discovery.add(backend, new Relay(server.address(), ONE_WAY_US).address(), "lysaker");
                }
                try (var proxy = new Proxy(1_024, discovery.address(), Proxy.PAYMENTS_UNSAFE)) {
                    proxy.awaitReady();
                    record.line("the proxy is ready");
                    play(proxy, record);
                    record.line(copies + " second copies sent");
                    record.line("log of the proxy:\n" + proxy.log());
                }
            }
        });
    }

    private static boolean serve(
            Socket connection, InputStream in, Http request, String backend, Record record, Map<String, Integer> ran, AtomicInteger copies)
            throws IOException {
        String id = request.header("x-request-id");
        boolean payment = id.startsWith("p-");
        double lot = payment ? 1 : ThreadLocalRandom.current().nextDouble();
        byte[] answer;
        if (lot < SHARE) {
            answer = Http.answer(503, "X-Not-Processed: 1\r\n", "the queue is full");
        } else {
            answer = Http.answer(200, "", "answer of " + id);
            int times = ran.merge(id, 1, Integer::sum);
            if (payment) {
                record.line("run " + id + " at " + backend);
            }
            if (payment && times > 1) {
                record.broken("payment " + id + " has run " + times + " times, now at " + backend);
            }
            Threads.sleep(WORK_MS);
        }
        connection.getOutputStream().write(answer);
        if (copies != null && lot < 2 * SHARE) {
            Threads.sleep(COPY_AFTER_MS);
            // Only where nothing else waits on the connection.
            if (in.available() == 0) {
                connection.getOutputStream().write(answer);
                copies.incrementAndGet();
                record.line("second answer (" + (lot < SHARE ? "503" : "200") + ") of " + id + " at " + backend);
            }
        }
        return true;
    }

    private static void play(Proxy proxy, Record record) throws Exception {
        long end = record.now() + SECONDS * 1_000L;
        var answered = new AtomicInteger();
        var foreign = new AtomicInteger();
        var clients = new ArrayList<Thread>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Threads.start(() -> ask(proxy, record, number, end, answered, foreign)));
        }
        for (Thread client : clients) {
            client.join();
        }
        record.line(answered + " requests answered, " + foreign + " of them served with the answer of another");
        if (!proxy.alive()) {
            record.broken("the proxy has crashed");
        }
    }

    /** A client that keeps its connection and asks again and again. */
    private static void ask(Proxy proxy, Record record, int number, long end, AtomicInteger answered, AtomicInteger foreign) throws Exception {
        Socket client = null;
        InputStream in = null;
        for (int n = 0; record.now() < end; n++) {
            Threads.sleep(ThreadLocalRandom.current().nextInt(2 * PAUSE_MS));
            boolean payment = n % 2 == 0;
            String id = (payment ? "p-" : "r-") + number + "-" + n;
            String type = payment ? "post-payment" : "read-balance";
            try {
                if (client == null) {
                    client = proxy.connect();
                    client.setSoTimeout(TIMEOUT_MS + 500);
                    in = new BufferedInputStream(client.getInputStream());
                }
                client.getOutputStream()
                        .write(Proxy.head(id, type, TIMEOUT_MS, null, 0)
                                .getBytes(StandardCharsets.US_ASCII));
                Http answer = Http.read(in);
                if (answer == null) {
                    client.close();
                    client = null;
                    continue;
                }
                answered.incrementAndGet();
                if (answer.status() == 200 && !answer.text().equals("answer of " + id)) {
                    foreign.incrementAndGet();
                    record.line("FOREIGN " + type + " " + id + " was served with '" + answer.text() + "'");
                } else if (payment || answer.status() != 200) {
                    record.line(type + " " + id + ": " + answer.start());
                }
                if ("close".equalsIgnoreCase(answer.header("connection"))) {
                    client.close();
                    client = null;
                }
            } catch (IOException e) {
                record.line(id + ": " + e);
                client.close();
                client = null;
            }
        }
    }
}
