import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Some answers of backends come a second time, some milliseconds late: is each client given the answer that was made for it? */
final class LateCopy {
    private static final int BACKENDS = 3;
    private static final int CLIENTS = 10;
    private static final long PLAY_MS = 45_000;
    /** One way between two server rooms, by the operators' page: 0.42 to 0.78 ms. */
    private static final long WAY_NS = 700_000;
    /** One answer in so many comes twice. */
    private static final int COPIES = 50;
    private static final int PAYMENTS_IN_100 = 15;

    private static final AtomicInteger copies = new AtomicInteger();
    private static final AtomicInteger asked = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger other = new AtomicInteger();
    private static final AtomicInteger foreign = new AtomicInteger();

    private LateCopy() {}

    public static void main(String[] args) throws IOException {
        Rig.main(args, LateCopy::play);
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
        long until = System.nanoTime() + PLAY_MS * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Rig.daemon(() -> client(rig, number, listen, until)));
        }
        for (Thread t : clients) {
            t.join();
        }
        rig.note("asked " + asked + ", served " + served + ", refused or failed " + other + ", second answers " + copies
                + ", served with an answer that was made for another request: " + foreign);
        if (!proxy.isAlive()) {
            throw new Rig.CannotRun("the proxy ended");
        }
        if (served.get() < 1_000) {
            throw new Rig.CannotRun("too few were served to tell anything");
        }
        return foreign.get() > 0;
    }

    /** Bytes on their way, and when they are at the other end. */
    private record Piece(long atNs, byte[] bytes) {}

    private static int backend(Rig rig, String name) throws IOException {
        var socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        var seeds = new AtomicInteger(name.hashCode());
        Rig.daemon(() -> {
            while (true) {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                Rig.daemon(() -> serve(rig, name, connection, new Random(seeds.incrementAndGet())));
            }
        });
        return socket.getLocalPort();
    }

    /** One connection: what comes is there a way's time later, and so is what goes. */
    private static void serve(Rig rig, String name, Socket connection, Random random) throws Exception {
        BlockingQueue<Piece> outbound = new LinkedBlockingQueue<>();
        // Requests that have come to the backend, by its own end of the way, and whether it has answered them.
        var begun = new AtomicInteger();
        OutputStream out = connection.getOutputStream();
        Rig.daemon(() -> {
            while (true) {
                Piece piece = outbound.take();
                sleepUntil(piece.atNs);
                out.write(piece.bytes);
            }
        });
        try (connection) {
            InputStream in = connection.getInputStream();
            for (Rig.Message request = Rig.Message.read(in); request != null; request = Rig.Message.read(in)) {
                sleepUntil(System.nanoTime() + WAY_NS);
                int number = begun.incrementAndGet();
                String id = request.headers.get("X-Request-ID");
                rig.note(name + " runs " + id);
                // Work.
                sleepUntil(System.nanoTime() + 1_000_000L * (4 + random.nextInt(8)));
                byte[] answer = Rig.answerBytes("200 OK", "", "made for " + id);
                outbound.add(new Piece(System.nanoTime() + WAY_NS, answer));
                if (rig.trouble && random.nextInt(COPIES) == 0) {
                    long lateNs = 3_000_000L + random.nextInt(6_000_000);
                    long atNs = System.nanoTime() + lateNs;
                    Rig.daemon(() -> {
                        sleepUntil(atNs);
                        // Nothing else waits on the connection, as far as the backend can know.
                        if (begun.get() == number) {
                            copies.incrementAndGet();
                            rig.note(name + " answers " + id + " a second time, " + lateNs / 1_000 + " us after the first");
                            outbound.add(new Piece(System.nanoTime() + WAY_NS, answer));
                        }
                    });
                }
            }
        }
    }

    private static void sleepUntil(long atNs) {
        for (long left = atNs - System.nanoTime(); left > 0; left = atNs - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    private static String request(String id, boolean pays) {
        return (pays ? "POST" : "GET") + " /api?k=" + id + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + (pays ? "post-payment" : "read-balance")
                + "\r\nX-Tenant-Id: vestkraft\r\nX-Timeout: 2000m\r\n"
                + (pays ? "Idempotency-Key: key-" + id + "\r\nContent-Length: 6\r\n\r\namount" : "\r\n");
    }

    /** Sends one request at a time and rests in between. */
    private static void client(Rig rig, int number, int port, long until) throws Exception {
        var random = new Random(number);
        Socket connection = null;
        for (int i = 0; System.nanoTime() - until < 0; i++) {
            Thread.sleep(5 + random.nextInt(60));
            String id = "c" + number + "-" + i;
            try {
                if (connection == null) {
                    connection = new Socket(InetAddress.getLoopbackAddress(), port);
                    connection.setTcpNoDelay(true);
                    connection.setSoTimeout(3_000);
                }
                asked.incrementAndGet();
                boolean pays = random.nextInt(100) < PAYMENTS_IN_100;
                rig.note(id + " sent, " + (pays ? "post-payment" : "read-balance"));
                connection.getOutputStream().write(request(id, pays).getBytes(StandardCharsets.ISO_8859_1));
                Rig.Message answer = Rig.Message.read(connection.getInputStream());
                if (answer == null) {
                    throw new IOException("closed");
                }
                rig.note(id + " answered " + answer.first.substring(9, 12) + " \"" + answer.text() + "\"");
                if (!answer.first.contains(" 200 ")) {
                    other.incrementAndGet();
                } else if (answer.text().equals("made for " + id)) {
                    served.incrementAndGet();
                } else {
                    served.incrementAndGet();
                    foreign.incrementAndGet();
                    rig.note("BROKEN: the client of " + id + " was served with \"" + answer.text() + "\"");
                }
                if ("close".equalsIgnoreCase(answer.headers.get("Connection"))) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                other.incrementAndGet();
                if (connection != null) {
                    connection.close();
                }
                connection = null;
            }
        }
    }
}
