/**
 * Payments whose bodies come in two pieces while a new version is started beside the old one, as DAYS has it. Without the trouble
 * there is no new version.
 */
public final class Upgrade {
    private static final int SOCKETS = 256;
    private static final int CLIENTS = 60;
    private static final int PAUSE_MS = 20;
    private static final int BEFORE_MS = 6_000;
    private static final int SECONDS = 25;

    private Upgrade() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Case.run(args, record -> {
            try (var discovery = new Discovery()) {
                for (int i = 0; i < 4; i++) {
                    var server = new Server((connection, in, request) -> {
                        String id = request.header("x-request-id");
                        record.line("run " + id);
                        connection.getOutputStream().write(Http.answer(200, "", "answer of " + id));
                        return true;
                    });
                    discovery.add("s-" + i, server.address(), "ulven");
                }
                try (var proxy = new Proxy("n0", SOCKETS, discovery.address(), Proxy.CLASSES, null, true)) {
                    proxy.awaitReady();
                    record.line("the proxy is ready");
                    long end = record.now() + SECONDS * 1_000L;
                    Thread upgrade = trouble ? Threads.start(() -> upgrade(proxy, record)) : null;
                    new Payments(proxy, record).play(CLIENTS, PAUSE_MS, end);
                    if (upgrade != null) {
                        upgrade.join();
                    }
                    record.line("log of the proxy:\n" + proxy.log());
                }
            }
        });
    }

    private static void upgrade(Proxy old, Record record) throws Exception {
        Threads.sleep(BEFORE_MS);
        record.line("a second process is started");
        try (Proxy next = old.upgrade()) {
            next.awaitYes();
            record.line("it says yes, SIGTERM for the old one");
            old.process().destroy();
            Threads.sleep(SECONDS * 1_000L - BEFORE_MS);
        }
    }
}
