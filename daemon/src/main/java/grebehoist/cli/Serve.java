package grebehoist.cli;

import beechfall.Balancer;
import beechfall.Policy;
import grebehoist.config.Config;
import grebehoist.engine.Log;
import grebehoist.engine.LogEvent;
import grebehoist.engine.MemberSource;
import grebehoist.members.CommonSuspensions;
import grebehoist.net.Backoff;
import grebehoist.net.BoundedRetry;
import grebehoist.net.Front;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import grebehoist.net.SocketProbe;
import grebehoist.net.Sockets;
import grebehoist.net.StderrLog;
import grebehoist.operations.Door;
import grebehoist.operations.Operations;
import grebehoist.operations.StateDirectory;
import grebehoist.peers.PeerSettings;
import grebehoist.pool.Pool;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Runs one process: puts its pools and listeners together, reads a new configuration, and ends when it is told to. The
 * platform's configuration gives one pool and one listener; an installation file may give more, or stand alone.
 */
public final class Serve {
    private static final long LOOK_MS = 10;
    private static final int LEAST_SOCKETS = 96;
    /** What has been logged may take so long to be written, where whoever reads it is slow. */
    private static final long FLUSH_MS = 50;

    /**
     * A first life's warm-up ends so long after the program began. One that was killed before the list changed looks like a first life, and
     * is to be ready within 10 s of its start: the runtime comes before this, the answer of a discovery that many call may come after it.
     */
    private static final long WARM_MS = 5_000;

    private static final long TRAIN_MS = 60_000;
    /** What a start needs and can't have for a moment is tried again for so long: a process is to be ready within 10 s. */
    private static final long START_PATIENCE_MS = 4_000;

    private static final long START_RETRY_MS = 20;
    /** An old process is told to end when the new one says that it can serve, within 6 s at the latest: this leaves time for the rest. */
    private static final long UPGRADE_WARM_MS = 3_000;

    /** Before a new process listens the old one is told, so that clients beyond its half of the descriptors have left by then. */
    private static final long MAKE_ROOM_MS = 1_000;

    private static final long HEARD_MS = 2_000;
    /** So much of one proxy the process acts for that is handing over. */
    private static final double LEAVING = 0.25;

    /** Whether the process ends because it could not be started: there is nothing to end in order. */
    private static volatile boolean neverStarted;

    private final String name;
    /** What the platform tells, or null. */
    private final Config config;

    private final Network network;
    private final StderrLog log = new StderrLog();
    private final EventLoop loop;
    private final Pool.Host host;
    /** Null where the platform names no door for operators. */
    private final Operations operations;

    private volatile boolean succeeded;
    /** Whether it is not to be called ready yet. */
    private volatile boolean warming;
    /** Used by the loop's thread alone: how much of one proxy this process acts for, and whether that is settled. */
    private double acting = 1;

    private boolean leaving;
    /** Used by the main thread alone: whether what operators have asked before is in force. */
    private boolean begun;
    /** Added to by the main thread, and read by the loop's and by signals'. */
    private final List<Pool> pools = new CopyOnWriteArrayList<>();

    private final Listeners listeners;
    /** Null where this process speaks to no others. */
    private volatile Members members;
    /** Null where no configuration is distributed to this process. */
    private volatile Distribution distribution;
    /** What is suspended in all pools; null where no configuration is distributed to this process. */
    private final CommonSuspensions suspensions;

    Serve(Config config, Operations operations, InstalledPools more) {
        this(config, new Policy(config.settings()), Network.sockets(operations != null), operations, more);
    }

    Serve(Config config, Balancer module) {
        this(config, module, Network.sockets(), null, null);
    }

    Serve(Config config, Balancer module, Network network, Operations operations) {
        this(config, module, network, operations, null);
    }

    private Serve(Config config, Balancer module, Network network, Operations operations, InstalledPools more) {
        this(
                config.name(),
                config,
                config.sockets() - (operations == null ? 0 : Door.MOST_CALLERS) - doors(more),
                network,
                operations,
                more);
        var spec = Pool.Spec.http(
                config.name(), config.settings(), config.discovery(), config.connIdleUs(), config.connectTimeoutUs());
        Pool pool = new Pool(
                host,
                spec,
                new Pool.Wiring(
                        settings -> module, t -> t, i -> i, m -> operations == null ? common(m) : operations.merge(m)));
        if (suspensions != null && operations != null) {
            loop.execute(() ->
                    suspensions.join(operations.suspensions(), host.timers().now()));
        }
        shareClaims(pool);
        pools.add(pool);
        listeners.add(new Listeners.Listener(config.name(), pool, pool.httpFront(this::ready), config.listen()));
    }

    /** A process without a pool of the platform's. */
    Serve(InstalledPools more) {
        this(more.name(), null, more.sockets() - doors(more), Network.sockets(), null, more);
    }

    private Serve(
            String name, Config config, int sockets, Network network, Operations operations, InstalledPools more) {
        this.operations = operations;
        this.name = name;
        this.config = config;
        this.network = network;
        loop = network.loop();
        host = new Pool.Host(network, new LoopTimers(loop, log), new Sockets(loop, log, sockets), log);
        listeners = new Listeners(name, network, log);
        suspensions = more == null || more.distribution() == null ? null : new CommonSuspensions();
    }

    /** Where another process may be started beside this one, what may run only once is sent on by one of them. */
    private void shareClaims(Pool pool) {
        if (operations != null) {
            pool.claims(operations.claims(pool.name()));
        }
    }

    /** What the distribution's own door may hold of the descriptors. */
    private static int doors(InstalledPools more) {
        return more == null
                        || more.distribution() == null
                        || more.distribution().door() == null
                ? 0
                : Door.MOST_CALLERS;
    }

    /** What stands between a pool and its source. */
    private MemberSource.Sink common(MemberSource.Sink pool) {
        if (suspensions == null) {
            return pool;
        }
        var merged = suspensions.merge(pool);
        loop.execute(() -> suspensions.join(merged, host.timers().now()));
        return merged;
    }

    /**
     * Serves until the process is told to end.
     *
     * @param args none, as all that a proxy is told stands in the file that {@code PROXY_CONFIG} names; or
     *         {@code --installation} and a file with more
     */
    public static void main(String[] args) {
        long began = System.nanoTime();
        boolean installed = args.length == 2 && args[0].equals("--installation");
        if (args.length != 0 && !installed) {
            System.err.println("usage: serve [--installation FILE]");
            System.exit(2);
        }
        // First of all: without a handler the signal ends the process.
        var reload = new HangUp.Deferred();
        boolean signalled = HangUp.handle(reload);
        try {
            // Before the first socket: where that fails, the runtime takes it for all time that addresses can't be
            // shared.
            SocketProbe.addressesCanBeShared();
            Path file = installed && System.getenv("PROXY_CONFIG") == null ? null : file();
            FileStamp stamp = file == null ? null : FileStamp.of(file);
            Config config = file == null ? null : readAtStart(file);
            InstalledPools more = installed ? InstalledPools.read(Path.of(args[1])) : null;
            Operations operations =
                    config == null || config.operator() == null ? null : operations(config, new StderrLog());
            boolean upgrade = operations != null && operations.besideAnother();
            // Clients come to the new process of an upgrade as soon as it listens, and nobody misses it before.
            if (upgrade) {
                operations.announce(UPGRADE_WARM_MS - MAKE_ROOM_MS);
                Warmup.run(config, UPGRADE_WARM_MS, () -> false);
            }
            var serve = config != null ? new Serve(config, operations, more) : new Serve(more);
            reload.begin(serve.reloading(file));
            if (!signalled && file != null) {
                serve.tell(
                        "SIGHUP is ignored by whoever started this process: the configuration is read again when its file is written");
                HangUp.onChange(file, stamp, reload);
            }
            // Before it listens: what it accepts is to be answered, however soon it is told to end.
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                if (neverStarted) {
                                    return;
                                }
                                serve.drain();
                                StderrLog.flush(FLUSH_MS);
                                // All is answered and nothing is left to be tidied up.
                                Runtime.getRuntime().halt(0);
                            },
                            "drain"));
            serve.warming = config != null && !upgrade && config.isFirstLife();
            // Before it serves: what is suspended everywhere is soon known.
            serve.distribute(more);
            if (config != null) {
                serve.start(upgrade);
            }
            serve.meet(more);
            if (more != null && more.start(serve) == 0 && config == null && !more.servesNobody()) {
                System.err.println("nothing could be started");
                neverStarted = true;
                System.exit(1);
            }
            if (serve.warming) {
                serve.warmUp(WARM_MS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began));
            }
        } catch (Config.BadConfig e) {
            exit(e);
        }
    }

    /** Loads what {@code serve} needs, and ends: the Java runtime keeps it in an archive for the starts to come. */
    public static void train() {
        try {
            SocketProbe.addressesCanBeShared();
            Config config = readAtStart(file());
            Warmup.run(config, TRAIN_MS, () -> false);
            HangUp.handle(new HangUp.Deferred());
            // On a port that is free: what it listens with and connects with is loaded too.
            Config anywhere = config.listeningAt(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Operations operations = anywhere.operator() == null ? null : operations(anywhere, new StderrLog());
            var serve = new Serve(anywhere, operations, null);
            FileStamp.of(file());
            new HangUp.Deferred().begin(serve.reloading(file()));
            serve.start(false);
            serve.stop();
        } catch (Config.BadConfig e) {
            exit(e);
        }
    }

    private static Path file() throws Config.BadConfig {
        String file = System.getenv("PROXY_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new Config.BadConfig("PROXY_CONFIG is not set");
        }
        return Path.of(file);
    }

    /** What operators have asked of this proxy is kept by its name and port: others may use the same place for files. */
    private static Operations operations(Config config, Log log) throws Config.BadConfig {
        Path files = Path.of(System.getProperty("java.io.tmpdir"));
        String own = System.getenv("TMPDIR");
        Path directory = (own == null || own.isEmpty() ? files : Path.of(own))
                .resolve("grebehoist-" + config.name().replaceAll("[^A-Za-z0-9._-]", "_") + "-"
                        + config.listen().getPort());
        try {
            return new Operations(StateDirectory.open(directory, log, START_PATIENCE_MS));
        } catch (IOException e) {
            throw new Config.BadConfig("'operator': nothing can be kept in " + directory + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new Config.BadConfig("'operator': interrupted before " + directory + " could be read");
        }
    }

    private static void exit(Config.BadConfig e) {
        neverStarted = true;
        System.err.println("bad configuration: " + e.getMessage());
        System.exit(2);
    }

    /** Begins the platform's pool. */
    void begin() {
        Pool pool = pools.get(0);
        if (operations != null) {
            Front front = front();
            operations.begin(
                    new Operations.Target(
                            this::ready,
                            pool::tally,
                            pool::unanswered,
                            pool::avoided,
                            front::sendAway,
                            this::otherProcesses,
                            log),
                    host.timers(),
                    loop);
        }
        loop.execute(() -> pool.begin(config.known()));
        begun = true;
    }

    /** Returns the platform's listener. */
    Front front() {
        return listeners.first().front();
    }

    /** Listens for the platform's pool. */
    ChannelFuture listen() {
        return listeners.listen();
    }

    /** Begins to serve what the platform tells of; returns the address. */
    InetSocketAddress start() throws Config.BadConfig {
        return start(false);
    }

    /**
     * Begins to serve what the platform tells of.
     *
     * @param upgrade whether another process still serves: clients come here as soon as this one listens, so it is to be able to
     *         serve before
     */
    private InetSocketAddress start(boolean upgrade) throws Config.BadConfig {
        begin();
        if (upgrade) {
            awaitReady();
        }
        Channel bound = bind("listen", this::listen);
        if (operations != null) {
            operations.announce(0);
            var door = new Door(operations, log);
            if (distribution != null) {
                distribution.at(door);
            }
            Channel opened = bind("operator", () -> door.listen(network, config.operator()));
            if (opened != null) {
                listeners.addDoor(opened);
            }
        }
        if (bound == null) {
            return null;
        }
        var address = (InetSocketAddress) bound.localAddress();
        loop.execute(() -> log.line(name + ": listening on " + address.getPort()
                + (config.isFirstLife() ? "" : ", back with a list that it had")));
        return address;
    }

    /** Binds the address that a key of the configuration gives; returns null where the process has been told to end meanwhile. */
    private Channel bind(String key, Supplier<ChannelFuture> attempt) throws Config.BadConfig {
        try {
            return listeners.bind(attempt, begun, START_PATIENCE_MS);
        } catch (Listeners.CannotListen e) {
            throw new Config.BadConfig("'" + key + "': " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new Config.BadConfig("interrupted at the start");
        }
    }

    /** Speaks to the other proxies, where the installation file says so, or the platform allows it. */
    private void meet(InstalledPools more) {
        PeerSettings others = more == null ? null : more.peers();
        if (others == null && config != null && config.peers() != null) {
            others = Members.of(config);
        }
        if (others == null) {
            return;
        }
        members = Members.begin(others, more == null ? List.of() : more.tasks(), loop, host.timers(), log, this::share);
        if (operations != null) {
            operations.members(members::figures);
        }
    }

    /** Takes part in the distribution of configuration, where the installation file says so. */
    private void distribute(InstalledPools more) throws Config.BadConfig {
        if (suspensions == null) {
            return;
        }
        distribution = Distribution.begin(more.name(), more.distribution(), host, suspensions);
        Channel door = distribution.open();
        if (door != null) {
            listeners.addDoor(door);
        }
    }

    private void share(int balancers, int rank) {
        pools.forEach(p -> p.share(balancers, rank));
    }

    /** On the loop's thread: what this process had to do with others is over. */
    private void leave() {
        if (members != null) {
            members.leave();
        }
        if (distribution != null) {
            distribution.leave();
        }
    }

    private boolean ready() {
        return !warming && pools.get(0).ready() && settled();
    }

    /** What is suspended everywhere is to be known before clients come, if that can be. */
    boolean settled() {
        return distribution == null || distribution.settled();
    }

    /**
     * Warms the code up while it listens already, and says that it is ready when that is over: at once where a client asks for
     * something. A new proxy gets no clients before it is ready. One that was killed before the list had ever changed can't be told
     * from it, and there those that still come wait for nothing but an answer.
     */
    private void warmUp(long mostMs) {
        boolean wanted = Warmup.run(config, mostMs, this::asked).wanted();
        warming = false;
        if (wanted) {
            tell("clients are here already, no more warming up");
        }
    }

    private boolean asked() {
        try {
            return loop.submit(() -> pools.get(0).asked()).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return true;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** An old process that still serves is better than a new one that can't; after a while it listens all the same. */
    private void awaitReady() {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HEARD_MS);
        try {
            while (System.nanoTime() - until < 0
                    && !loop.submit(() -> pools.get(0).ready()).get()) {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What both send together is what one proxy may (rule 4), and the clients are with the newer one soon. */
    private void act(double part) {
        if (part != acting && !leaving) {
            acting = part;
            pools.get(0).act(part);
        }
    }

    /**
     * Two processes of one proxy share its descriptors: each has half of them while both serve. One that starts needs few, and one that only
     * finishes long answers keeps what it holds.
     */
    private void otherProcesses(StateDirectory.Shared shared) {
        int limit = config.sockets() - Door.MOST_CALLERS - shared.processes().finishingSockets();
        boolean otherStarts = shared.others() == 1 && shared.newer() && !shared.newerServes();
        int equalShare = Math.max(LEAST_SOCKETS, limit / (1 + shared.others()));
        host.sockets().limit(otherStarts ? Math.max(equalShare, limit - LEAST_SOCKETS) : equalShare);
        succeeded = shared.newer();
        act(shared.others() > 0 && !shared.newer() ? 1 - LEAVING : 1);
    }

    /** Adds a pool beside those that are there, and begins it. */
    Pool add(Pool.Spec spec) {
        var pool = suspensions == null
                ? new Pool(host, spec)
                : new Pool(host, spec, new Pool.Wiring(Policy::new, t -> t, i -> i, this::common));
        shareClaims(pool);
        pools.add(pool);
        loop.execute(() -> pool.begin(null));
        return pool;
    }

    /**
     * Adds a listener of a pool.
     *
     * @return where it listens, or null where it can't: that is told, and the others go on
     */
    InetSocketAddress add(String listener, Pool pool, Front front, InetSocketAddress at) {
        return listeners.begin(new Listeners.Listener(listener, pool, front, at));
    }

    /** Writes a line for the operators. */
    void tell(String line) {
        loop.execute(() -> log.line(name + ": " + line));
    }

    /** Returns what takes over the address of discovery from a new file; all else holds until the next start. */
    Runnable reloading(Path file) {
        if (file == null) {
            return () -> tell("there is no configuration of the platform's to read again");
        }
        return new ConfigurationReloader(file, log, loop::execute, new ConfigurationReloader.Listener() {
            @Override
            public void read(Config next) {
                loop.execute(() -> {
                    configured(true);
                    log.event(new LogEvent("configuration", name, "CURRENT", "REPLACED", "SIGHUP"));
                    log.line(name + ": new configuration, discovery is at " + next.discovery());
                    pools.get(0).moveTo(next.discovery());
                });
            }

            @Override
            public void rejected(String why) {
                loop.execute(() -> {
                    configured(false);
                    log.event(new LogEvent("configuration", name, "CURRENT", "REJECTED", why));
                    log.line("the new configuration is left alone: " + why);
                });
            }
        })::request;
    }

    /** Reads the configuration; what can't be read for a moment is tried again, what is not there is an error at once. */
    private static Config readAtStart(Path file) throws Config.BadConfig {
        try {
            return new BoundedRetry(START_PATIENCE_MS, new Backoff(START_RETRY_MS, 10 * START_RETRY_MS))
                    .run(
                            () -> Config.read(file),
                            Config.BadConfig.class,
                            failure -> failure instanceof Config.Unreadable unreadable && !unreadable.missing());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new Config.BadConfig("interrupted at the start");
        }
    }

    private void configured(boolean taken) {
        if (operations != null) {
            operations.configured(taken);
        }
    }

    /** Answers all that is taken, sends the clients elsewhere, and ends the process in time. */
    void drain() {
        boolean handsOver = succeeded;
        new Shutdown(name, loop, host.timers(), log, listeners, pools).run(handsOver, new Shutdown.Owner() {
            @Override
            public void leave() {
                if (handsOver) {
                    act(LEAVING);
                    leaving = true;
                }
                Serve.this.leave();
            }

            @Override
            public void finishing() {
                if (operations != null) {
                    operations.finishing(host.sockets().held());
                }
            }
        });
    }

    /** Ends at once, whatever is still open. */
    void stop() {
        loop.submit(() -> pools.forEach(Pool::end)).awaitUninterruptibly();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        if (operations != null) {
            try {
                operations.close();
            } catch (IOException e) {
                log.failure("could not leave the directory of its state", e);
            }
        }
    }
}
