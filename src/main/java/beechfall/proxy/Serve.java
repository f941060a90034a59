package beechfall.proxy;

import beechfall.Policy;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Runs one real proxy: puts its parts together, and takes it down when it is told to end. */
public final class Serve {
    /** New connections go on coming for so long after the signal. */
    private static final long FRONT_LAG_MS = 500;
    private static final long LOOK_MS = 10;
    /** The process is killed so long after the longest deadline, counted from the signal; a little earlier it ends. */
    private static final long KILL_MS = 600;

    private final Config config;
    private final Log log = new Log();
    private final EventLoop loop;
    private final Proxy proxy;
    private final Discovery discovery;
    private final Frontend frontend;
    private final CountDownLatch drained = new CountDownLatch(1);

    Serve(Config config) {
        this.config = config;
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        var clock = new Clock();
        var settings = config.settings();
        var sockets = new Sockets(config.sockets());
        var backends = new Backends(clock, loop, sockets, config.connIdleUs(), config.connectTimeoutUs());
        proxy = new Proxy(clock, loop, log, settings, new Policy(settings), backends);
        discovery = new Discovery(loop, log, proxy, config.discovery(), settings.rules().askWithinUs());
        proxy.discovery(discovery);
        frontend = new Frontend(clock, log, proxy, sockets, settings, () -> discovery.heard() && backends.anyReady());
    }

    /**
     * Serves until the process is told to end.
     *
     * @param args not used: all that a proxy is told stands in the file that {@code PROXY_CONFIG} names
     */
    public static void main(String[] args) {
        String file = System.getenv("PROXY_CONFIG");
        try {
            if (file == null || file.isEmpty()) {
                throw new Config.BadConfig("PROXY_CONFIG is not set");
            }
            new Serve(Config.read(Path.of(file))).start();
        } catch (Config.BadConfig e) {
            System.err.println("bad configuration: " + e.getMessage());
            System.exit(2);
        }
    }

    private void start() {
        loop.execute(() -> discovery.known(config.known()));
        var bound = frontend.listen(loop, config.listen()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            System.err.println("cannot listen on " + config.listen() + ": " + bound.cause());
            System.exit(1);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::drain, "drain"));
    }

    /** Answers all that is taken, sends the clients elsewhere, and ends the process in time. */
    private void drain() {
        long longestMs = config.settings().classes().stream().mapToLong(c -> c.deadlineUs()).max().orElse(0) / 1_000;
        loop.execute(frontend::closeAfterAnswers);
        loop.schedule(() -> {
            frontend.stopListening();
            loop.scheduleWithFixedDelay(() -> {
                if (!frontend.busy()) {
                    drained.countDown();
                }
            }, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        }, FRONT_LAG_MS, TimeUnit.MILLISECONDS);
        try {
            drained.await(longestMs + KILL_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
