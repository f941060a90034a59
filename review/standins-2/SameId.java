import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** While a new version takes over, bad Thrift clients use the ids of other clients' open payments: does each payment run once? */
final class SameId {
    private static final int BACKENDS = 6;
    private static final int PAYMENTS = 12;
    private static final long WORK_MS = 800;
    private static final long BAD_AFTER_MS = 300;
    /** The pages: the longest deadline (2 s here) and 0.7 s. */
    private static final long KILL_MS = 2_700;

    private static final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private SameId() {}

    public static void main(String[] args) throws IOException {
        Rig.main(args, SameId::play);
    }

    private static boolean play(Rig rig) throws Exception {
        var servers = new ArrayList<String>();
        for (int i = 0; i < BACKENDS; i++) {
            servers.add(Rig.server("s-" + i, backend(rig, "s-" + i), "ulven"));
        }
        int discovery = rig.discovery(String.join(",", servers));
        int http = rig.discovery(Rig.server("h-0", Rig.freePorts(1)[0], "ulven"));
        int[] ports = Rig.freePorts(4);
        int listen = ports[0];
        int thrift = ports[1];
        String file = installation(discovery, thrift);
        Process old = rig.start("n0", config(listen, http, ports[2]), file);
        rig.awaitReady(listen, old);
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < PAYMENTS; i++) {
            kept.add(keptConnection(thrift, i));
        }
        Process next = null;
        if (rig.trouble) {
            next = rig.start("n0", config(listen, http, ports[3]), file);
            awaitYes(ports[3], next);
            rig.note("the new process says yes");
        }
        var sent = new CountDownLatch(PAYMENTS);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < PAYMENTS; i++) {
            int number = i;
            clients.add(Rig.daemon(() -> client(rig, number, kept.get(number), thrift, sent)));
        }
        sent.await(2, TimeUnit.SECONDS);
        if (rig.trouble) {
            rig.note("SIGTERM to the old process");
            rig.signal(old, "TERM");
        }
        for (Thread t : clients) {
            t.join(6_000);
        }
        if (rig.trouble && !old.waitFor(KILL_MS, TimeUnit.MILLISECONDS)) {
            rig.note("SIGKILL to the old process");
            old.destroyForcibly();
        }
        Thread.sleep(500);
        boolean broken = false;
        int once = 0;
        for (var e : runs.entrySet()) {
            if (e.getKey().startsWith("p-")) {
                once += e.getValue().get() == 1 ? 1 : 0;
                if (e.getValue().get() > 1) {
                    broken = true;
                    rig.note("BROKEN: payment " + e.getKey() + " ran " + e.getValue() + " times");
                }
            }
        }
        rig.note("payments: " + PAYMENTS + ", ran once: " + once);
        if (!broken && once < PAYMENTS / 2) {
            throw new Rig.CannotRun("too few payments ran to tell anything");
        }
        return broken;
    }

    private static String config(int listen, int discovery, int operator) {
        return Rig.config("n0", listen, discovery, 1, 0).replace("\"seed\"", "\"operator\":\"127.0.0.1:" + operator + "\",\"seed\"");
    }

    private static String installation(int discovery, int listen) {
        return "[process]\nname = \"n0\"\n\n[[pool]]\nname = \"billing\"\nprotocol = \"thrift\"\ndiscovery = \"127.0.0.1:" + discovery
                + "\"\nzone = \"ulven\"\n\n[pool.rules]\ncold_from = 0.4\ncold_ms = 8100\nfall_multiple = 4.0\nfall_ms = 1000\n\n"
                + "[[pool.class]]\nname = \"post-payment\"\neffect = \"unsafe\"\naim_ms = 1500\ndeadline_ms = 2000\n\n"
                + "[[thrift.method]]\nname = \"*\"\nclass = \"post-payment\"\nrequest_id = \"1\"\n\n"
                + "[[listener]]\nname = \"billing-in\"\nprotocol = \"thrift\"\naddress = \"127.0.0.1:" + listen + "\"\npool = \"billing\"\n";
    }

    /** The platform asks at the new process's second address. */
    private static void awaitYes(int port, Process process) throws Exception {
        for (int i = 0; i < 300; i++) {
            if (!process.isAlive()) {
                throw new Rig.CannotRun("the new process ended");
            }
            try (var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /v1/readyz HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n".getBytes());
                Rig.Message answer = Rig.Message.read(socket.getInputStream());
                if (answer != null && answer.first.contains(" 200 ")) {
                    return;
                }
            } catch (IOException e) {
                // Not there yet.
            }
            Thread.sleep(20);
        }
        throw new Rig.CannotRun("the new process didn't say yes within 6 s");
    }

    private static int backend(Rig rig, String name) throws IOException {
        var socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Rig.daemon(() -> {
            while (true) {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                Rig.daemon(() -> {
                    try (connection) {
                        var in = new DataInputStream(connection.getInputStream());
                        for (Thrift.Message call = Thrift.read(in); call != null; call = Thrift.read(in)) {
                            runs.computeIfAbsent(call.text(), id -> new AtomicInteger()).incrementAndGet();
                            rig.note(name + " runs " + call.text());
                            // Running work goes on, whether or not somebody waits for it.
                            Thread.sleep(call.text().startsWith("p-") ? WORK_MS : 2);
                            connection.getOutputStream().write(Thrift.frame(Thrift.REPLY, call.name(), call.sequence(), 0, "done " + call.text()));
                        }
                    }
                });
            }
        });
        return socket.getLocalPort();
    }

    /** Returns a connection on which one call has been answered: it is the old process's. */
    private static Socket keptConnection(int port, int number) throws Exception {
        for (int i = 0; i < 50; i++) {
            var connection = new Socket(InetAddress.getLoopbackAddress(), port);
            connection.setTcpNoDelay(true);
            connection.setSoTimeout(2_500);
            connection.getOutputStream().write(Thrift.frame(Thrift.CALL, "pay", 1, 1, "w-" + number + "-" + i));
            Thrift.Message reply = Thrift.read(new DataInputStream(connection.getInputStream()));
            if (reply != null && reply.type() == Thrift.REPLY) {
                return connection;
            }
            connection.close();
            Thread.sleep(100);
        }
        throw new Rig.CannotRun("no call was answered");
    }

    private static void client(Rig rig, int number, Socket kept, int port, CountDownLatch sent) throws Exception {
        String id = "p-" + number;
        kept.getOutputStream().write(Thrift.frame(Thrift.CALL, "pay", 2, 1, id));
        rig.note(id + " sent");
        sent.countDown();
        Thread bad = Rig.daemon(() -> bad(rig, id, port));
        try (kept) {
            Thrift.Message reply = Thrift.read(new DataInputStream(kept.getInputStream()));
            rig.note(id + " answered: " + (reply == null ? "the connection was closed" : reply.text()));
        } catch (SocketTimeoutException e) {
            rig.note(id + ": no reply");
        }
        bad.join();
    }

    /** Sends the id of another client's open request on a connection of its own. */
    private static void bad(Rig rig, String id, int port) throws Exception {
        Thread.sleep(BAD_AFTER_MS);
        try (var connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
            connection.setSoTimeout(2_500);
            connection.getOutputStream().write(Thrift.frame(Thrift.CALL, "pay", 3, 1, id));
            rig.note(id + " sent by a bad client, too");
            Thrift.Message reply = Thrift.read(new DataInputStream(connection.getInputStream()));
            rig.note("the bad client of " + id + " answered: " + (reply == null ? "the connection was closed" : reply.text()));
        } catch (SocketTimeoutException e) {
            rig.note("the bad client of " + id + ": no reply");
        }
    }
}
