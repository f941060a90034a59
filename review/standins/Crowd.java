import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Payments whose bodies come in two pieces, at 64 kB a second, each on a connection of its own, while idle clients fill the descriptors.
 * Without the trouble there are no idle clients.
 */
public final class Crowd {
    private static final int SOCKETS = 256;
    private static final int IDLE = 300;
    private static final int USUAL = 8;
    private static final int SECONDS = 30;

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
        new Payments(proxy, record).play(USUAL, 100, end);
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
}
