import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Long answers in small chunks to clients that read 64 kB a second, and ordinary requests beside them, which are owed their answers in
 * time. Without the trouble the same answers come in chunks of 8 KiB.
 */
public final class SmallChunks {
    private static final int LONG_ANSWERS = 300;
    private static final int SMALL = 8;
    private static final int LARGE = 8 * 1024;
    private static final int LENGTH = 8 * 1024 * 1024;
    /** DAYS: slow clients read 64 kB a second. */
    private static final int READ = 6_400;

    private static final int READ_MS = 100;
    private static final int ORDINARY_CLIENTS = 10;
    private static final int PAUSE_MS = 200;
    private static final int TIMEOUT_MS = 2_000;
    /** PROTOCOL and STANDING: up to half a second after its time a request only earns nothing. */
    private static final int SLACK_MS = 500;

    /** Whether the backends have the rest of the long answers. */
    private static final AtomicBoolean REST = new AtomicBoolean();

    private SmallChunks() {}

    public static void main(String[] args) throws Exception {
        int chunk = "0".equals(System.getenv("TROUBLE")) ? LARGE : SMALL;
        Case.run(args, record -> {
            try (var discovery = new Discovery()) {
                for (int i = 0; i < 4; i++) {
                    var server = new Server((connection, in, request) -> serve(connection, request, chunk));
                    discovery.add("s-" + i, server.address(), "ulven");
                }
                try (var proxy = new Proxy(1_024, discovery.address(), Proxy.CLASSES)) {
                    proxy.awaitReady();
                    record.line("the proxy is ready; " + LONG_ANSWERS + " long answers of " + LENGTH
                            + " bytes in chunks of " + chunk);
                    play(proxy, record);
                    record.line("log of the proxy:\n" + proxy.log());
                }
            }
        });
    }

    private static boolean serve(Socket connection, Http request, int chunk) throws IOException {
        OutputStream out = connection.getOutputStream();
        if (!request.header("x-request-id").startsWith("long")) {
            out.write(Http.answer(200, "", "answer of " + request.header("x-request-id")));
            return true;
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        String one = Integer.toHexString(chunk) + "\r\n" + "x".repeat(chunk) + "\r\n";
        int together = LARGE / chunk;
        byte[] piece = one.repeat(together).getBytes(StandardCharsets.US_ASCII);
        // Little comes until all have asked, and then the rest.
        int sent = 0;
        for (; !REST.get(); sent += chunk) {
            out.write(one.getBytes(StandardCharsets.US_ASCII));
            Threads.sleep(500);
        }
        for (; sent < LENGTH; sent += LARGE) {
            out.write(piece);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    private static void play(Proxy proxy, Record record) throws Exception {
        var answered = new AtomicInteger();
        var over = new AtomicBoolean();
        var clients = new ArrayList<Thread>();
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            int number = i;
            clients.add(Threads.start(() -> {
                for (int n = 0; !over.get() && proxy.alive(); n++) {
                    ask(proxy, record, "ask-" + number + "-" + n, answered);
                    Threads.sleep(PAUSE_MS);
                }
            }));
        }
        for (int i = 0; i < LONG_ANSWERS; i++) {
            int number = i;
            clients.add(Threads.start(() -> {
                // Refused, a client asks again, as it is told that this is harmless.
                for (int n = 0; !over.get() && !read(proxy, record, "long-" + number + "-" + n, over); n++) {
                    Threads.sleep(500);
                }
            }));
            Threads.sleep(60);
        }
        Threads.sleep(3_000);
        record.line(answered + " ordinary requests answered in time so far; the backends have the rest of the long answers");
        REST.set(true);
        Threads.sleep(40_000);
        over.set(true);
        for (Thread client : clients) {
            client.join(20_000);
        }
        record.line(answered + " ordinary requests answered in time");
        if (!proxy.alive()) {
            record.broken("the proxy has crashed");
        }
    }

    /** Reads a long answer until the play is over; returns whether it was served at all. */
    private static boolean read(Proxy proxy, Record record, String id, AtomicBoolean over) throws Exception {
        try (var client = new Socket()) {
            client.setReceiveBufferSize(64 * 1024);
            client.connect(new InetSocketAddress("127.0.0.1", proxy.port()));
            client.setSoTimeout(60_000);
            client.getOutputStream()
                    .write(Proxy.head(id, "read-balance", TIMEOUT_MS, null, 0).getBytes(StandardCharsets.US_ASCII));
            InputStream in = client.getInputStream();
            byte[] buffer = new byte[READ];
            int n = in.read(buffer);
            boolean served = n > 11 && new String(buffer, 0, 12, StandardCharsets.US_ASCII).endsWith("200");
            record.line("began " + id + (served ? ": served" : ": refused or failed"));
            long came = n;
            while (served && !over.get() && n >= 0) {
                Threads.sleep(READ_MS);
                n = in.read(buffer);
                came += Math.max(0, n);
            }
            record.line("read " + came + " bytes of " + id);
            return served;
        }
    }

    /** One ordinary request: it is owed a final answer before its client gives up, half a second later at the latest. */
    private static void ask(Proxy proxy, Record record, String id, AtomicInteger answered) {
        long sent = record.now();
        try (Socket client = proxy.connect()) {
            client.setSoTimeout(30_000);
            sent = record.now();
            client.getOutputStream()
                    .write(Proxy.head(id, "read-balance", TIMEOUT_MS, null, 0).getBytes(StandardCharsets.US_ASCII));
            Http answer = Http.read(new BufferedInputStream(client.getInputStream()));
            long took = record.now() - sent;
            if (answer == null) {
                record.broken(id + " was closed with no answer after " + took + " ms");
            } else if (took > TIMEOUT_MS + SLACK_MS) {
                record.broken(id + " had " + TIMEOUT_MS + " ms and was answered after " + took + " ms: " + answer.start());
            } else {
                record.line("asked " + id + ": " + answer.start() + " after " + took + " ms");
                answered.incrementAndGet();
            }
        } catch (IOException e) {
            record.broken(id + " got no answer within " + (record.now() - sent) + " ms: " + e);
        }
    }
}
