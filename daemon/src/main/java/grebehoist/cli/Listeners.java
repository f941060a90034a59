package grebehoist.cli;

import grebehoist.engine.Counter;
import grebehoist.engine.RuleGuard;
import grebehoist.net.Backoff;
import grebehoist.net.BoundedRetry;
import grebehoist.net.Front;
import grebehoist.net.LoopTasks;
import grebehoist.net.Network;
import grebehoist.net.StderrLog;
import grebehoist.pool.Pool;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The listeners of one process. That one listens is wanted from the moment that it is added: an address that can't be had for a moment is
 * tried again, for a bounded time by the thread that starts the process, and after that on the event loop until it is had or the
 * process ends.
 */
final class Listeners {
    /** A listener and where it is to listen. */
    record Listener(String name, Pool pool, Front front, InetSocketAddress address) {}

    /** An address that could not be had. */
    static final class CannotListen extends Exception {
        private static final long serialVersionUID = 1L;

        private CannotListen(Throwable cause) {
            super(cause.getMessage(), cause);
        }
    }

    private static final long FIRST_RETRY_MS = 20;
    private static final long LAST_RETRY_MS = 1_000;

    private final String process;
    private final Network network;
    private final StderrLog log;
    private final RuleGuard guard;
    /** Added to by the main thread, and read by the loop's and by signals'. */
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();

    /** Where operators call; added to by the main thread, and read by the loop's. */
    private final List<Channel> doors = new CopyOnWriteArrayList<>();

    private volatile boolean ending;

    /**
     * Makes none.
     *
     * @param process the process's name, for the log
     */
    Listeners(String process, Network network, StderrLog log) {
        this.process = process;
        this.network = network;
        this.log = log;
        this.guard = new RuleGuard(log, 0);
    }

    void add(Listener listener) {
        listeners.add(listener);
    }

    /** Adds a door for operators, which is open for as long as this process has its place. */
    void addDoor(Channel door) {
        doors.add(door);
    }

    Listener first() {
        return listeners.get(0);
    }

    /** Begins to listen with the platform's listener, once. */
    ChannelFuture listen() {
        return first().front().listen(network, first().address());
    }

    /**
     * Binds, and tries again for a bounded time.
     *
     * @param stateKnown whether what operators have asked before is in force: before that nobody may be served
     * @return what listens, or null where the process has been told to end
     */
    Channel bind(Supplier<ChannelFuture> attempt, boolean stateKnown, long patienceMs)
            throws CannotListen, InterruptedException {
        return new BoundedRetry(patienceMs, new Backoff(FIRST_RETRY_MS, LAST_RETRY_MS))
                .run(() -> bindOnce(attempt, stateKnown), CannotListen.class, failure -> {
                    log.count(Counter.BIND_FAILED);
                    return stateKnown;
                });
    }

    private Channel bindOnce(Supplier<ChannelFuture> attempt, boolean stateKnown) throws CannotListen {
        if (ending) {
            return null;
        }
        if (!guard.mayListen(stateKnown, false, TimeUnit.NANOSECONDS.toMicros(System.nanoTime()))) {
            throw new CannotListen(new IllegalStateException("what operators have asked is not known"));
        }
        ChannelFuture bound = attempt.get().awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new CannotListen(bound.cause());
        }
        return bound.channel();
    }

    /**
     * Adds a listener and begins to listen.
     *
     * @return where it listens, or null where it can't yet: that is told, the others go on, and it is tried again
     */
    InetSocketAddress begin(Listener listener) {
        ChannelFuture bound =
                listener.front().listen(network, listener.address()).awaitUninterruptibly();
        if (bound.isSuccess()) {
            return listening(listener, bound);
        }
        network.loop()
                .execute(() -> log.line(process + ": listener " + listener.name() + " of pool "
                        + listener.pool().name() + " does not start: "
                        + bound.cause().getMessage()));
        retry(listener, new Backoff(FIRST_RETRY_MS, LAST_RETRY_MS));
        return null;
    }

    private void retry(Listener listener, Backoff backoff) {
        log.count(Counter.BIND_FAILED);
        LoopTasks.after(network.loop(), log, backoff.next(), TimeUnit.MILLISECONDS, () -> {
            if (!ending) {
                listener.front().listen(network, listener.address()).addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        listening(listener, f);
                    } else {
                        retry(listener, backoff);
                    }
                });
            }
        });
    }

    private InetSocketAddress listening(Listener listener, ChannelFuture bound) {
        listeners.add(listener);
        var address = (InetSocketAddress) bound.channel().localAddress();
        network.loop()
                .execute(() -> log.line(process + ": listener " + listener.name() + " of pool "
                        + listener.pool().name() + " is at port " + address.getPort()));
        return address;
    }

    /** Begins nothing more from now on. */
    void end() {
        ending = true;
    }

    /** Does a step for each, on the loop's thread: one that fails holds up no other. */
    void each(Consumer<Front> step) {
        listeners.forEach(
                l -> LoopTasks.contained(log, () -> step.accept(l.front())).run());
    }

    /** Gives up all addresses, on the loop's thread; connections on which something is asked go on. */
    void close() {
        each(Front::closeListener);
        doors.forEach(Channel::close);
    }

    /** Returns on how many connections an answer is owed, or has yet to be taken by its client. */
    int answering() {
        return listeners.stream().mapToInt(l -> l.front().answering()).sum();
    }

    /** Returns whether any of them listens, or any client is still connected. */
    boolean busy() {
        return listeners.stream().anyMatch(l -> l.front().busy());
    }
}
