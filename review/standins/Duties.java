import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Three proxies that share a duty which is to be done once in 20 s. Two seconds after it was done, in the middle of a period, the one that
 * has it is told to end, with SIGTERM. Without the trouble it is not. What the proxies do in the first 25 s, while the duty finds its
 * place among them, is not judged.
 */
public final class Duties {
    private static final int PROXIES = 3;
    private static final int EVERY_MS = 20_000;
    private static final int AFTER_MS = 2_000;
    private static final int SETTLED_MS = 25_000;

    private Duties() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Case.run(args, record -> {
            var done = new ConcurrentHashMap<String, Integer>();
            var last = new AtomicReference<>("");
            var holder = new AtomicReference<>("");
            var settled = new AtomicBoolean();
            try (var discovery = new Discovery();
                    var receiver = new Server((connection, in, request) -> {
                        String run = request.header("x-run");
                        int times = done.merge(run, 1, Integer::sum);
                        record.line("run " + run + " done by " + request.header("x-holder") + " with token "
                                + request.header("x-token"));
                        if (times > 1 && settled.get()) {
                            record.broken("run " + run + " has been done " + times + " times, now by "
                                    + request.header("x-holder"));
                        }
                        String before = last.getAndSet(run);
                        holder.set(request.header("x-holder"));
                        connection
                                .getOutputStream()
                                .write(Http.answer(
                                        200,
                                        (before.isEmpty() ? "" : "X-Last-Run: " + before + "\r\n")
                                                + "Connection: close\r\n",
                                        ""));
                        return false;
                    })) {
                var backend = new Server((connection, in, request) -> {
                    connection
                            .getOutputStream()
                            .write(Http.answer(200, "", "answer of " + request.header("x-request-id")));
                    return true;
                });
                discovery.add("s-0", backend.address(), "ulven");
                play(record, trouble, discovery, receiver, done, holder, settled);
            }
        });
    }

    private static void play(
            Record record,
            boolean trouble,
            Discovery discovery,
            Server receiver,
            Map<String, Integer> done,
            AtomicReference<String> holder,
            AtomicBoolean settled)
            throws Exception {
        List<String> peers = freePorts();
        var proxies = new ArrayList<Proxy>();
        try {
            for (int i = 0; i < PROXIES; i++) {
                proxies.add(start(i, peers, discovery, receiver));
            }
            for (Proxy proxy : proxies) {
                proxy.awaitReady();
            }
            record.line("the proxies are ready");
            Threads.sleep(SETTLED_MS);
            settled.set(true);
            record.line("judged from here on");
            int before = done.size();
            // The next one is done as its period begins.
            if (!Threads.await(EVERY_MS + 5_000, () -> done.size() > before)) {
                throw new IllegalStateException("nobody does the duty");
            }
            Threads.sleep(AFTER_MS);
            int restarted = Integer.parseInt(holder.get().substring(1));
            if (trouble) {
                record.line("SIGTERM for n" + restarted);
                proxies.get(restarted).process().destroy();
            }
            // To the middle of the period that follows.
            Threads.sleep(EVERY_MS + EVERY_MS / 2 - AFTER_MS);
            for (Proxy proxy : proxies) {
                record.line("log:\n" + proxy.log());
            }
        } finally {
            for (Proxy proxy : proxies) {
                proxy.close();
            }
        }
    }

    private static List<String> freePorts() throws Exception {
        var sockets = new ArrayList<DatagramSocket>();
        var addresses = new ArrayList<String>();
        for (int i = 0; i < PROXIES; i++) {
            var socket = new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            sockets.add(socket);
            addresses.add("127.0.0.1:" + socket.getLocalPort());
        }
        sockets.forEach(DatagramSocket::close);
        return addresses;
    }

    private static Proxy start(int number, List<String> peers, Discovery discovery, Server receiver) throws Exception {
        String installation = "[process]\nname = \"n" + number + "\"\n\n[membership]\nlisten = \"" + peers.get(number)
                + "\"\npeers = [\"" + String.join("\", \"", peers) + "\"]\nzone = \"ulven\"\n\n"
                + "[[membership.key]]\nid = 1\n"
                + "secret = \"6f6e6c7920616e206578616d706c652c206e6f7420612073656372657421\"\n\n"
                + "[lease]\nset = 1\nvoters = [0, 1, 2]\nlease_ms = 2000\n\n"
                + "[[task]]\nname = \"remind\"\nclass = \"timed\"\ncall = \"" + receiver.address()
                + "\"\npath = \"/remind\"\nevery_ms = " + EVERY_MS + "\nact_ms = 500\n";
        return new Proxy("n" + number, 1_024, discovery.address(), Proxy.CLASSES, installation, false);
    }
}
