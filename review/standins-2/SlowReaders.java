import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Some Thrift clients read their replies slowly: does every call of the others get its one reply? */
final class SlowReaders {
    private static final int BACKENDS = 6;
    private static final int USUAL = 8;
    private static final int SLOW = 24;
    /** Calls that a slow client has open at a time: the default of `max_open` (docs/thrift.md). */
    private static final int OPEN = 64;
    /** What a slow client reads in a tenth of a second: 64 kB a second. */
    private static final int READ = 6_400;
    /** A reply's text; with its head it stays below 64 KiB. */
    private static final int LONG = 60_000;
    private static final long PLAY_MS = 40_000;
    private static final int PATIENCE_MS = 2_000;

    private static final AtomicInteger asked = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger turnedAway = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();
    private static final AtomicInteger slowAnswered = new AtomicInteger();
    private static final AtomicInteger slowCut = new AtomicInteger();

    private SlowReaders() {}

    public static void main(String[] args) throws IOException {
        Rig.main(args, SlowReaders::play);
    }

    private static boolean play(Rig rig) throws Exception {
        var servers = new ArrayList<String>();
        for (int i = 0; i < BACKENDS; i++) {
            servers.add(Rig.server("s-" + i, backend(rig, "s-" + i), "ulven"));
        }
        int discovery = rig.discovery(String.join(",", servers));
        int listen = Rig.freePorts(1)[0];
        Process proxy = rig.start("n0", null, installation(discovery, listen));
        awaitAnswer(listen, proxy);
        long until = System.nanoTime() + PLAY_MS * 1_000_000;
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL; i++) {
            int number = i;
            usual.add(Rig.daemon(() -> usual(rig, number, listen, until)));
        }
        for (int i = 0; i < SLOW && rig.trouble; i++) {
            int number = i;
            Rig.daemon(() -> slow(rig, number, listen, until));
        }
        while (System.nanoTime() - until < 0) {
            Thread.sleep(5_000);
            rig.note("asked " + asked + ", answered " + answered + ", refused or failed " + turnedAway + ", lost " + lost + "; slow clients: replies " + slowAnswered
                    + ", connections that ended " + slowCut + "; the proxy " + (proxy.isAlive() ? "runs" : "HAS ENDED"));
        }
        for (Thread t : usual) {
            t.join(4_000);
        }
        boolean ended = !proxy.isAlive();
        if (ended) {
            rig.note("BROKEN: the proxy has ended");
        }
        for (String line : rig.log("n0").split("\n")) {
            if (!line.contains("REFUSED") && !line.contains("RETRIED")) {
                rig.note("log of n0: " + line);
            }
        }
        if (!ended && answered.get() < 100) {
            throw new Rig.CannotRun("too few were answered to tell anything");
        }
        return ended || lost.get() > 0;
    }

    /** There is no GET /ready over Thrift: it serves when a first call is answered. */
    private static void awaitAnswer(int port, Process proxy) throws Exception {
        for (int i = 0; i < 150; i++) {
            if (!proxy.isAlive()) {
                throw new Rig.CannotRun("the proxy ended before it served");
            }
            try (var connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
                connection.setSoTimeout(2_500);
                connection.getOutputStream().write(Thrift.frame(Thrift.CALL, "balance", i, 1, "first-" + i));
                Thrift.Message reply = Thrift.read(new DataInputStream(connection.getInputStream()));
                if (reply != null && reply.type() == Thrift.REPLY) {
                    return;
                }
            } catch (IOException e) {
                // Not there yet.
            }
            Thread.sleep(200);
        }
        throw new Rig.CannotRun("no call was answered within 30 s");
    }

    private static String installation(int discovery, int listen) {
        return "[process]\nname = \"n0\"\n\n[[pool]]\nname = \"billing\"\nprotocol = \"thrift\"\ndiscovery = \"127.0.0.1:" + discovery
                + "\"\nzone = \"ulven\"\nmax_frame = 65536\n\n[pool.rules]\ncold_from = 0.4\ncold_ms = 8100\nfall_multiple = 4.0\nfall_ms = 1000\n\n"
                + "[[pool.class]]\nname = \"read-balance\"\neffect = \"safe\"\naim_ms = 600\ndeadline_ms = 2000\n\n"
                + "[[thrift.method]]\nname = \"*\"\nclass = \"read-balance\"\nrequest_id = \"1\"\n\n"
                + "[[listener]]\nname = \"billing-in\"\nprotocol = \"thrift\"\naddress = \"127.0.0.1:" + listen + "\"\npool = \"billing\"\n"
                + "out_of_order = true\n";
    }

    private static int backend(Rig rig, String name) throws IOException {
        var socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        String padding = "x".repeat(LONG);
        Rig.daemon(() -> {
            while (true) {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                Rig.daemon(() -> {
                    try (connection) {
                        var in = new DataInputStream(connection.getInputStream());
                        for (Thrift.Message call = Thrift.read(in); call != null; call = Thrift.read(in)) {
                            rig.note(name + " runs " + call.text());
                            Thread.sleep(2);
                            String text = "for " + call.text() + (call.name().equals("invoice") ? " " + padding : "");
                            connection.getOutputStream().write(Thrift.frame(Thrift.REPLY, call.name(), call.sequence(), 0, text));
                        }
                    }
                });
            }
        });
        return socket.getLocalPort();
    }

    /** One call at a time. */
    private static void usual(Rig rig, int number, int port, long until) throws Exception {
        Socket connection = null;
        for (int i = 0; System.nanoTime() - until < 0; i++) {
            Thread.sleep(50);
            String id = "u" + number + "-" + i;
            try {
                if (connection == null) {
                    connection = new Socket(InetAddress.getLoopbackAddress(), port);
                    connection.setTcpNoDelay(true);
                    // Half a second after its time a request is lost.
                    connection.setSoTimeout(PATIENCE_MS + 500);
                }
            } catch (IOException e) {
                rig.note(id + " can't connect: " + e);
                continue;
            }
            boolean written = false;
            try {
                asked.incrementAndGet();
                connection.getOutputStream().write(Thrift.frame(Thrift.CALL, "balance", i, 1, id));
                written = true;
                rig.note(id + " sent");
                Thrift.Message reply = Thrift.read(new DataInputStream(connection.getInputStream()));
                if (reply == null) {
                    throw new IOException("the connection was closed");
                }
                if (reply.type() == Thrift.REPLY && reply.text().equals("for " + id)) {
                    answered.incrementAndGet();
                    rig.note(id + " answered");
                } else if (reply.type() == Thrift.EXCEPTION) {
                    turnedAway.incrementAndGet();
                    rig.note(id + " answered with an exception: " + reply.text());
                } else {
                    lost.incrementAndGet();
                    rig.note("BROKEN: " + id + " was answered with " + reply.text());
                }
            } catch (SocketTimeoutException e) {
                lost.incrementAndGet();
                rig.note("BROKEN: " + id + " has no reply half a second after its time");
                connection.close();
                connection = null;
            } catch (IOException e) {
                if (written) {
                    lost.incrementAndGet();
                    rig.note("BROKEN: " + id + " has no reply: " + e);
                }
                connection.close();
                connection = null;
            }
        }
    }

    /** Asks for long replies, has some calls open, and reads slowly. */
    private static void slow(Rig rig, int number, int port, long until) throws Exception {
        for (int round = 0; System.nanoTime() - until < 0; round++) {
            try (var connection = new Socket()) {
                connection.connect(Rig.loopback(port));
                var room = new Semaphore(OPEN);
                String name = "l" + number + "-" + round + "-";
                Rig.daemon(() -> {
                    for (int i = 0; ; i++) {
                        room.acquire();
                        connection.getOutputStream().write(Thrift.frame(Thrift.CALL, "invoice", i, 1, name + i));
                    }
                });
                var in = connection.getInputStream();
                var pending = new ByteArrayOutputStream();
                var piece = new byte[READ];
                for (int n = in.read(piece); n >= 0; n = in.read(piece)) {
                    pending.write(piece, 0, n);
                    byte[] all = pending.toByteArray();
                    int from = 0;
                    while (all.length - from >= 4) {
                        int length = new DataInputStream(new java.io.ByteArrayInputStream(all, from, 4)).readInt();
                        if (all.length - from - 4 < length) {
                            break;
                        }
                        from += 4 + length;
                        slowAnswered.incrementAndGet();
                        rig.note("slow client " + number + " has read a reply of " + length + " bytes");
                        room.release();
                    }
                    pending.reset();
                    pending.write(all, from, all.length - from);
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                rig.note("the connection of slow client " + number + " ended: " + e);
            }
            slowCut.incrementAndGet();
            Thread.sleep(1_000);
        }
    }
}
