package grebehoist.net;

import grebehoist.engine.ClientState;
import grebehoist.engine.Intake;
import grebehoist.engine.Log;
import grebehoist.engine.RuleGuard;
import grebehoist.engine.Wait;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What listeners of every protocol share: accepting clients, the time that their connections may take, and the end.
 *
 * @param <C> a client's connection, the first handler of its channel
 */
public abstract class ClientFront<C extends ChannelHandler & ClientFront.Connection> implements Front {
    /** A client's connection, as its listener sees it. */
    public interface Connection {
        /** Looks whether it is of use any more; what is not is closed. */
        void expire(long nowUs);

        /** Ends it in order if nothing is asked on it. */
        void partIfIdle();

        /** Returns since when nothing is open on it, in microseconds. */
        long idleSince();

        /** Returns whether an answer is owed on it, or has yet to be taken by its client. */
        boolean answering();
    }

    /** An answer is on its way for a moment, and the proxy may be late by a few milliseconds. */
    private static final long ON_ITS_WAY_US = 8_000;
    /** Clients go on coming for so long after a front was told to send them away. */
    private static final long AWAY_LAG_US = 500_000;
    /** By then tasks that were there before have been run. */
    private static final long ACCEPTED_MS = 1;
    /** A request that is on its way to a connection has come by then. */
    private static final long GREETING_US = 20_000;
    /** Long enough that the loop reads on. */
    private static final long SETTLE_US = 2_000;
    /** How often connections are looked at that hold no request. */
    protected static final long SWEEP_US = 100_000;
    /**
     * In each such time in which something waits for a client it has to take {@link #LEAST_TAKEN} bytes. What it takes shows in steps: its
     * kernel says nothing before it has read a part of its buffer, and this side's, which is bounded ({@link Network#UNSENT}), asks for
     * more when a third of it is free. In this time one that reads 32 kB a second makes both steps.
     */
    private static final long TAKEN_US = 10_000_000;
    /** 16 kB a second: a quarter of what the slowest are known for. */
    private static final long LEAST_TAKEN = 16_000 * TAKEN_US / 1_000_000;

    private final LoopTimers timers;
    private final Log log;
    private final Intake intake;
    private final Sockets sockets;
    private final AnswerMemory answers;
    private final Set<C> connections = new LinkedHashSet<>();
    /** Null before it listens. */
    private volatile Channel listener;

    private boolean closing;
    /** Whether nobody comes any more: each connection ends when nothing is asked on it. */
    private boolean stopped;
    /** Since when clients are sent away, or {@link Long#MAX_VALUE}. */
    private long awaySince = Long.MAX_VALUE;

    private Future<?> sweep;
    /** Whether a look at the connections came too early, and is made again soon. */
    private boolean sweepsSoon;

    /** Makes a front that is yet to listen. */
    protected ClientFront(LoopTimers timers, Log log, Intake intake, Sockets sockets, AnswerMemory answers) {
        this.timers = timers;
        this.log = log;
        this.intake = intake;
        this.sockets = sockets;
        this.answers = answers;
    }

    /** Makes the handler of a connection that has been accepted. */
    protected abstract C connection();

    @Override
    public final ChannelFuture listen(Network network, InetSocketAddress address) {
        sweep = LoopTasks.every(network.loop(), log, SWEEP_US, TimeUnit.MICROSECONDS, this::sweep);
        ChannelFuture bound = LoopChannels.bind(
                network.server()
                        .clone()
                        .handler(new AcceptRetry(log, new Accepting()))
                        .childHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                sockets.clientOpened(channel);
                                channel.pipeline().addLast(connection());
                            }
                        }),
                network.address(address));
        listener = bound.channel();
        bound.addListener(f -> {
            if (f.isSuccess() && stopped) {
                // The process was told to end while it began to listen.
                listener.close();
            } else if (f.isSuccess()) {
                if (listener instanceof ListeningSocket socket) {
                    socket.room(sockets::roomForClients);
                }
                sockets.listener(listener);
            } else {
                sweep.cancel(false);
            }
        });
        return bound;
    }

    private final class Accepting implements AcceptRetry.Owner {
        @Override
        public void resume() {
            sockets.accept();
        }
    }

    /**
     * Looks at all connections; one timer for all, as one for each would have to be set anew with each request. After a stop of the process
     * some of what clients have done is yet to be read. A process that is stopped again and again may have read it only for a moment at a
     * time, so a look that comes too early is made again soon, not with the next sweep.
     */
    private void sweep() {
        if (timers.settling()) {
            sweepSoon();
            return;
        }
        long now = timers.now();
        List.copyOf(connections).forEach(c -> c.expire(now));
        if (stopped || now - AWAY_LAG_US >= awaySince) {
            partIdle();
        }
    }

    private void sweepSoon() {
        if (!sweepsSoon) {
            sweepsSoon = true;
            timers.at(timers.now() + SETTLE_US, () -> {
                sweepsSoon = false;
                sweep();
            });
        }
    }

    @Override
    public final void sendAway(boolean away) {
        awaySince = !away ? Long.MAX_VALUE : Math.min(awaySince, now());
    }

    @Override
    public final void handOver(Runnable then) {
        closing = true;
        whenNobodyWaits(() -> {
            stopAccepting();
            then.run();
        });
    }

    /** Those that have rested for long enough that no request is on its way: the others have their turn with the next look. */
    private void partIdle() {
        long now = timers.now();
        if (timers.arrivedAt() < now) {
            // Held up for as long as that rest: what has come to a connection that was just accepted is yet to be read.
            sweepSoon();
            return;
        }
        long restSince = now - GREETING_US;
        List.copyOf(connections).stream()
                .filter(c -> c.idleSince() <= restSince)
                .forEach(Connection::partIfIdle);
    }

    @Override
    public final void closeAfterAnswers() {
        closing = true;
    }

    @Override
    public final void stopListening() {
        closing = true;
        whenNobodyWaits(this::closeListener);
    }

    @Override
    public final void closeListener() {
        closing = true;
        stopped = true;
        stopAccepting();
        partIdle();
    }

    private void whenNobodyWaits(Runnable action) {
        if (listener instanceof ListeningSocket socket && socket.isOpen()) {
            socket.whenNobodyWaits(action);
        } else if (listener != null) {
            // Inside the process a connection is accepted by a task.
            LoopTasks.after(listener.eventLoop(), log, ACCEPTED_MS, TimeUnit.MILLISECONDS, action);
        } else {
            action.run();
        }
    }

    private void stopAccepting() {
        if (listener != null) {
            listener.close();
        }
    }

    @Override
    public final int answering() {
        return (int) connections.stream().filter(Connection::answering).count();
    }

    @Override
    public final boolean busy() {
        return !connections.isEmpty() || listener != null && listener.isOpen();
    }

    /** Returns the open connections, the oldest first. */
    protected final Set<C> connections() {
        return connections;
    }

    /** A connection begins. */
    public final void opened(C connection) {
        connections.add(connection);
    }

    /** A connection has ended. */
    public final void closed(C connection) {
        connections.remove(connection);
    }

    /** Runs a task at a time, in microseconds. */
    public final void at(long timeUs, Runnable task) {
        timers.at(timeUs, task);
    }

    /** Returns the time in microseconds. */
    public final long now() {
        return timers.now();
    }

    /**
     * Returns when an answer has to go out for a client that waits so long, all in microseconds.
     *
     * @param firstByteAt when its patience began, as far as can be known
     */
    public static long deadline(long firstByteAt, long patienceUs) {
        return firstByteAt + patienceUs - Math.min(ON_ITS_WAY_US, patienceUs / 10);
    }

    /**
     * Returns when bytes that have just been read from a client came, and records how long they waited.
     *
     * @param first whether they are the first on their connection
     */
    public final Arrival arrival(Channel channel, boolean first) {
        long now = timers.now();
        if (!(channel instanceof SocketConnection socket)) {
            return new Arrival(timers.arrivedAt(), Arrival.NOT_FIRST, now);
        }
        long came = timers.at(socket.arrivedNs());
        if (!first) {
            log.waited(Wait.UNREAD, now - came);
            return new Arrival(came, Arrival.NOT_FIRST, now);
        }
        long accepted = timers.at(socket.acceptedNs());
        log.waited(Wait.ACCEPT_QUEUE, accepted - came);
        log.waited(Wait.ACCEPT_TO_READ, now - accepted);
        return new Arrival(came, accepted, now);
    }

    /** Returns from when on the client's time counts: from the earliest at which its bytes may have come. */
    public final long countsFrom(Arrival arrival) {
        return timers.resolved(arrival.mayHaveComeUs());
    }

    /** Returns a time before which the client of a connection can't have written anything on it. */
    public final long acceptedAfter(Channel channel) {
        return channel instanceof SocketConnection socket ? timers.at(socket.unreadSinceNs()) : timers.now();
    }

    /** Returns since when bytes of a client may be waiting that are yet to be read. */
    public final long unreadSince(Channel channel) {
        return channel instanceof SocketConnection socket
                ? timers.resolved(timers.at(socket.unreadSinceNs()))
                : timers.arrivedAt();
    }

    /**
     * Returns whether a client is still there. Where that can't be seen it is taken for present as long as its request is younger than the
     * time for which an attempt may begin after its client has left.
     *
     * @param arrival when its request came
     */
    public final ClientState clientState(Channel channel, Arrival arrival) {
        return switch (SocketPeek.peerState(channel)) {
            case OPEN -> ClientState.PRESENT;
            case ENDED -> ClientState.GONE;
            case UNKNOWN ->
                now() - arrival.mayHaveComeUs() < RuleGuard.LEAVE_GRACE_US ? ClientState.PRESENT : ClientState.UNKNOWN;
        };
    }

    /** Returns where the operators read. */
    public final Log log() {
        return log;
    }

    /** Returns where requests are handed in. */
    public final Intake intake() {
        return intake;
    }

    /** Returns the account of what waits for clients. */
    public final AnswerMemory answers() {
        return answers;
    }

    /** Returns what tells clients that take their answers from those that don't, for a connection on which nothing has been written. */
    public static TakeWatch takeWatch() {
        return new TakeWatch(TAKEN_US, LEAST_TAKEN);
    }

    /** Returns the count of the process's descriptors. */
    protected final Sockets sockets() {
        return sockets;
    }

    /** Returns whether clients are to go elsewhere. */
    protected final boolean turnsAway() {
        return closing || awaySince != Long.MAX_VALUE;
    }

    /** Returns whether a connection on which nothing more is asked is to end with its answer. */
    public final boolean partsSoon() {
        return turnsAway() || sockets.crowded();
    }
}
