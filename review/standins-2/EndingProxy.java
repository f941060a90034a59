import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A proxy is told to end while long answers are on their way: does each come whole, as long as the process isn't killed? */
final class EndingProxy {
    private static final int BACKENDS = 4;
    private static final int CLIENTS = 10;
    private static final int LENGTH = 2_000_000;
    /** So much of an answer in each tenth of a second: 250 kB a second, 8 s for all of it. */
    private static final int PIECE = 25_000;
    /** The pages: no sooner than the longest deadline (2 s here) and 0.7 s. */
    private static final long KILL_MS = 20_000;

    private static final AtomicInteger begun = new AtomicInteger();
    private static final AtomicInteger whole = new AtomicInteger();
    private static final AtomicInteger cut = new AtomicInteger();
    private static volatile boolean killed;

    private EndingProxy() {}

    public static void main(String[] args) throws IOException {
        Rig.main(args, EndingProxy::play);
    }

    private static boolean play(Rig rig) throws Exception {
        var servers = new ArrayList<String>();
        for (int i = 0; i < BACKENDS; i++) {
            servers.add(Rig.server("s-" + i, backend(rig, "s-" + i), "ulven"));
        }
        int discovery = rig.discovery(String.join(",", servers));
        int listen = Rig.freePorts(1)[0];
        Process proxy = rig.start("n0", Rig.config("n0", listen, discovery, 1, 0), null);
        rig.awaitReady(listen, proxy);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Rig.daemon(() -> client(rig, "c" + number, listen)));
            Thread.sleep(50);
        }
        Thread.sleep(1_000);
        int before = begun.get();
        if (before == 0) {
            throw new Rig.CannotRun("no answer has begun");
        }
        rig.note(before + " answers have begun");
        if (rig.trouble) {
            rig.note("SIGTERM to the proxy");
            rig.signal(proxy, "TERM");
            boolean ended = proxy.waitFor(KILL_MS, TimeUnit.MILLISECONDS);
            rig.note(ended ? "the proxy has ended by itself" : "SIGKILL to the proxy");
            killed = !ended;
            if (!ended) {
                proxy.destroyForcibly();
            }
        }
        for (Thread t : clients) {
            t.join(15_000);
        }
        rig.note("answers that had begun: " + before + ", whole: " + whole + ", cut off: " + cut);
        return cut.get() > 0;
    }

    private static int backend(Rig rig, String name) throws IOException {
        var socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Rig.daemon(() -> {
            while (true) {
                Socket connection = socket.accept();
                Rig.daemon(() -> {
                    try (connection) {
                        InputStream in = new BufferedInputStream(connection.getInputStream());
                        for (Rig.Message request = Rig.Message.read(in); request != null; request = Rig.Message.read(in)) {
                            give(rig, name, request.headers.get("X-Request-ID"), connection.getOutputStream());
                        }
                    }
                });
            }
        });
        return socket.getLocalPort();
    }

    private static void give(Rig rig, String name, String id, OutputStream out) throws Exception {
        rig.note(name + " runs " + id);
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        byte[] piece = new byte[PIECE];
        int given = 0;
        try {
            for (; given < LENGTH; given += PIECE) {
                out.write(piece);
                Thread.sleep(100);
            }
            rig.note(name + " has given all of " + id);
        } catch (IOException e) {
            rig.note(name + ": the connection broke when " + given + " bytes of " + id + " had been given");
            throw e;
        }
    }

    private static void client(Rig rig, String id, int port) throws Exception {
        try (var connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
            connection.setSoTimeout(15_000);
            connection.getOutputStream()
                    .write(("GET /api?k=" + id + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                                    + "\r\nX-Priority-Class: read-balance\r\nX-Tenant-Id: vestkraft\r\nX-Timeout: 2000m\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            rig.note(id + " sent");
            var in = new BufferedInputStream(connection.getInputStream());
            var head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int c = in.read();
                if (c < 0) {
                    throw new IOException("no answer");
                }
                head.append((char) c);
            }
            rig.note(id + " answered " + head.substring(9, 12));
            if (!head.toString().contains(" 200 ")) {
                return;
            }
            begun.incrementAndGet();
            long got = 0;
            String how = "the connection ended";
            byte[] piece = new byte[16 * 1024];
            try {
                for (int n = in.read(piece); n > 0 && got < LENGTH; n = got < LENGTH ? in.read(piece) : -1) {
                    got += n;
                }
            } catch (IOException e) {
                how = e.toString();
            }
            if (got >= LENGTH) {
                whole.incrementAndGet();
                rig.note(id + " has its answer whole");
            } else if (!killed) {
                cut.incrementAndGet();
                rig.note("BROKEN: the answer of " + id + " was cut off after " + got + " bytes: " + how);
            }
        }
    }
}
