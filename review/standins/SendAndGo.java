import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients that ask for a payment, send as much of a body of 60 MB behind it as the network takes at once, and go. The first answer to each of
 * these payments is spoilt. Without the trouble they go right behind the payment.
 */
public final class SendAndGo {
    private static final int BACKENDS = 8;
    private static final int LEAVING = 12;
    private static final int LONG_BODY = 60_000_000;
    private static final int SENDING_MS = 60;
    private static final int WORK_MS = 300;
    private static final int ROUND_MS = 3_000;
    private static final int ROUNDS = 10;
    private static final int TIMEOUT_MS = 2_000;
    /** STANDING: 0.1 s after the close; PROTOCOL: on sockets each time limit is 50 ms longer. */
    private static final int ALLOWED_MS = 150;

    /** When the clients that have left closed their connections. */
    private final Map<String, Long> closed = new ConcurrentHashMap<>();

    private final Map<String, Integer> attempts = new ConcurrentHashMap<>();
    private final Record record;
    private final boolean trouble;

    private SendAndGo(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Case.run(args, record -> new SendAndGo(record, trouble).play());
    }

    private void play() throws Exception {
        try (var discovery = new Discovery()) {
            for (int i = 0; i < BACKENDS; i++) {
                String backend = "s-" + i;
                var server = new Server((connection, in, request) -> serve(connection, request, backend));
                discovery.add(backend, server.address(), "ulven");
            }
            try (var proxy = new Proxy(1_024, discovery.address(), Proxy.CLASSES)) {
                proxy.awaitReady();
                record.line("the proxy is ready");
                warmUp(proxy);
                for (int round = 0; round < ROUNDS; round++) {
                    List<Thread> leaving = new ArrayList<>();
                    for (int i = 0; i < LEAVING; i++) {
                        String id = "gone-" + round + "-" + i;
                        leaving.add(Threads.start(() -> payAndGo(proxy, id)));
                    }
                    for (Thread client : leaving) {
                        client.join();
                    }
                    Threads.sleep(ROUND_MS);
                }
                record.line("log of the proxy:\n" + proxy.log());
            }
        }
    }

    /** Some ordinary requests first, as a proxy that has just begun turns more away. */
    private void warmUp(Proxy proxy) throws IOException {
        for (int n = 0; n < 200; n++) {
            try (Socket client = proxy.connect()) {
                client.getOutputStream()
                        .write(Proxy.head("warm-" + n, "read-balance", TIMEOUT_MS, null, 0)
                                .getBytes(StandardCharsets.US_ASCII));
                Http.read(new BufferedInputStream(client.getInputStream()));
            }
        }
    }

    private boolean serve(Socket connection, Http request, String backend) throws IOException {
        String id = request.header("x-request-id");
        if (!id.startsWith("gone")) {
            connection.getOutputStream().write(Http.answer(200, "", "answer of " + id));
            return true;
        }
        long now = record.now();
        int attempt = attempts.merge(id, 1, Integer::sum);
        Long left = closed.get(id);
        record.line("attempt " + attempt + " of " + id + " at " + backend
                + (left == null ? "" : ", " + (now - left) + " ms after its client closed"));
        if (left != null && now - left > ALLOWED_MS) {
            record.broken("attempt " + attempt + " of " + id + " came " + (now - left) + " ms after its client closed");
        }
        Threads.sleep(WORK_MS);
        if (attempt == 1) {
            // Noise: it has run, and what is said of it can't be read.
            connection.getOutputStream().write("%!noise\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return false;
        }
        connection.getOutputStream().write(Http.answer(200, "", "answer of " + id));
        return true;
    }

    private void payAndGo(Proxy proxy, String id) throws IOException {
        long sent = 0;
        try (var client = SocketChannel.open(new InetSocketAddress("127.0.0.1", proxy.port()))) {
            client.write(ascii(Proxy.head(id, "post-payment", TIMEOUT_MS, "key-" + id, 0)));
            client.configureBlocking(false);
            long until = System.nanoTime() + SENDING_MS * 1_000_000L;
            if (trouble) {
                client.write(ascii(Proxy.head(id + "-b", "post-payment", TIMEOUT_MS, "key-" + id + "-b", LONG_BODY)));
                ByteBuffer piece = ByteBuffer.allocate(64 * 1024);
                while (System.nanoTime() < until) {
                    piece.clear();
                    int n = client.write(piece);
                    sent += n;
                    if (n == 0) {
                        Threads.sleep(1);
                    }
                }
            } else {
                Threads.sleep(SENDING_MS);
            }
        }
        closed.put(id, record.now());
        record.line("closed by its client: " + id + ", " + sent + " bytes sent behind it");
    }

    private static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }
}
