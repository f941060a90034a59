package grebehoist.net;

import grebehoist.engine.Log;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Counts the open connections, so that the process stays under its limit of descriptors: one too many fails at a place
 * where nothing can be done about it. As places run short, clients' connections end with their answers and those that
 * hold no request are given up, then those whose request has begun long ago and is yet to come whole; where all hold one, no further
 * client is accepted for a while. A request has begun with its first byte, of which the connection tells.
 *
 * <p>A client's connection that is given up is asked to end in order ({@link #PART}), and is closed a moment later if it has not: closed at
 * once, it would be reset if anything has come on it, and the answer that its client has not read yet would be lost.
 */
public final class Sockets {
    /** Descriptors for the runtime (ten), discovery, and connections whose close the selector is yet to see. */
    private static final int SPARE = 32;
    /**
     * Clients that are accepted beyond their share: each takes the place of a connection that holds no request, which
     * it may be too early to give up. They have descriptors of their own, so that a burst leaves the backends theirs.
     */
    private static final int LOBBY = 32;
    /** A request that is on its way to a new connection has come by then. */
    private static final long GREETING_NS = TimeUnit.MILLISECONDS.toNanos(20);
    /** A request that comes in pieces has come by then; what is slower is refused if its place is wanted. */
    private static final long READING_NS = TimeUnit.MILLISECONDS.toNanos(500);
    /** So many may take their time to end, beyond those that are counted as places that are taken. */
    private static final int MOST_PARTING = 8;
    /** Tells a client's connection, as an event in its pipeline, to end in order: its place is wanted. */
    public static final Object PART = new Object();

    private final EventLoop loop;
    private final Log log;
    private int most;
    private int mostClients;
    private final Map<Channel, Long> idleBackends = new LinkedHashMap<>();
    /** Connections on which no request has begun yet, and those idle after an answer; the oldest first. */
    private final Map<Channel, Long> silentClients = new LinkedHashMap<>();

    private final Map<Channel, Long> idleClients = new LinkedHashMap<>();
    /** Connections on which a request has begun to come, and since when; the oldest first. */
    private final Map<Channel, Long> readingClients = new LinkedHashMap<>();
    /** Connections that are about to end, and since when; the oldest first. */
    private final Map<Channel, Long> partingClients = new LinkedHashMap<>();

    /** Connections whose request has been refused for their place, and is yet to be read out; they end by themselves. */
    private final Set<Channel> refusedClients = new HashSet<>();

    private int clients;
    private int backends;
    private boolean makingRoom;
    private final Set<Channel> listeners = new LinkedHashSet<>();

    /**
     * Makes the count of one process.
     *
     * @param log hears of steps that fail
     * @param limit the descriptors that the process may hold
     */
    public Sockets(EventLoop loop, Log log, int limit) {
        this.loop = loop;
        this.log = log;
        limit(limit);
    }

    /** Sets the descriptors that the process may hold from now on; what it holds beyond them is given up as it can be. */
    public void limit(int limit) {
        most = limit - SPARE - LOBBY;
        // A request needs a connection on either side: clients alone can't use up what their requests need.
        mostClients = most * 5 / 8;
        makeRoomSoon();
        accept();
    }

    /** Returns how many descriptors the process may hold at the moment, with those that have no place of their own. */
    public int held() {
        return clients + backends + SPARE;
    }

    private long now() {
        return loop.ticker().nanoTime();
    }

    /** Names a socket that is not to accept while there is no room. */
    public void listener(Channel channel) {
        listeners.add(channel);
        channel.closeFuture().addListener(f -> listeners.remove(channel));
    }

    /** A client has connected. */
    public void clientOpened(Channel channel) {
        clients++;
        silentClients.put(channel, now());
        channel.closeFuture().addListener(f -> {
            clients--;
            clientBusy(channel);
            accept();
        });
        makeRoomSoon();
        accept();
    }

    /** As a task: what the loop has found to be readable is read first, and its connection is idle no more. */
    private void makeRoomSoon() {
        if (clients > mostClients && !makingRoom) {
            makingRoom = true;
            loop.execute(this::makeRoom);
        }
    }

    private void makeRoom() {
        makingRoom = false;
        while (clients > mostClients && close(partingClients, GREETING_NS)) {
            // They had their time.
        }
        while (clients - leaving() > mostClients
                && (part(silentClients, GREETING_NS) || part(idleClients, 0) || part(readingClients, READING_NS))) {
            // One more will have left soon.
        }
        if (clients > mostClients
                && !(silentClients.isEmpty() && partingClients.isEmpty() && readingClients.isEmpty())) {
            makingRoom = true;
            LoopTasks.after(loop, log, GREETING_NS, TimeUnit.NANOSECONDS, this::makeRoom);
        }
    }

    private int leaving() {
        return partingClients.size() + refusedClients.size();
    }

    /** Returns how many more clients may be accepted. */
    int roomForClients() {
        return mostClients + LOBBY - clients;
    }

    /** Begins to accept again, where a listener has paused, as far as there is room. */
    void accept() {
        boolean on = roomForClients() > 0;
        listeners.forEach(listener -> listener.config().setAutoRead(on));
    }

    /** Returns whether a client's connection is to end with its answer: no request of its client's meets that close. */
    public boolean crowded() {
        return clients > mostClients * 3 / 4;
    }

    /** A request has begun to come on a client's connection, which can refuse it. */
    public void clientReading(Channel channel) {
        clientBusy(channel);
        readingClients.put(channel, now());
        makeRoomSoon();
    }

    /** A client's connection holds a request, or is to be left alone for another reason. */
    public void clientBusy(Channel channel) {
        silentClients.remove(channel);
        idleClients.remove(channel);
        readingClients.remove(channel);
        partingClients.remove(channel);
        refusedClients.remove(channel);
    }

    /** A client's connection ends once the request that was refused on it has been read out. */
    public void clientRefused(Channel channel) {
        clientBusy(channel);
        if (channel.isOpen()) {
            refusedClients.add(channel);
        }
    }

    /** A client's connection has begun to end; all has been said on it, and it holds no request any more. */
    public void clientParting(Channel channel) {
        clientBusy(channel);
        if (channel.isOpen()) {
            partingClients.put(channel, now());
            makeRoomSoon();
        }
    }

    /** A client's connection holds no request. Whoever waits to be accepted may have its place. */
    public void clientIdle(Channel channel) {
        clientBusy(channel);
        if (channel.isOpen()) {
            idleClients.put(channel, now());
            makeRoomSoon();
        }
    }

    /** Returns whether one more connection to a backend may be opened. */
    public boolean roomForBackend() {
        return Math.min(clients, mostClients) + backends < most
                || close(idleBackends, 0)
                || close(partingClients, GREETING_NS)
                || partingClients.size() < MOST_PARTING && (part(silentClients, GREETING_NS) || part(idleClients, 0))
                || refusedClients.size() < MOST_PARTING && part(readingClients, READING_NS);
    }

    /** A connection to a backend is being opened. */
    public void backendOpened(Channel channel) {
        backends++;
        channel.closeFuture().addListener(f -> {
            backends--;
            idleBackends.remove(channel);
        });
    }

    /** A connection to a backend carries an attempt no more, or does again. */
    public void backendIdle(Channel channel, boolean idle) {
        idleBackends.remove(channel);
        if (idle && channel.isOpen()) {
            idleBackends.put(channel, now());
        }
    }

    private boolean close(Map<Channel, Long> since, long leastNs) {
        Channel oldest = takeOldest(since, leastNs);
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    private boolean part(Map<Channel, Long> since, long leastNs) {
        Channel oldest = takeOldest(since, leastNs);
        if (oldest != null) {
            partingClients.put(oldest, now());
            oldest.pipeline().fireUserEventTriggered(PART);
        }
        return oldest != null;
    }

    private Channel takeOldest(Map<Channel, Long> since, long leastNs) {
        Iterator<Map.Entry<Channel, Long>> i = since.entrySet().iterator();
        Map.Entry<Channel, Long> oldest = i.hasNext() ? i.next() : null;
        if (oldest == null || now() - oldest.getValue() < leastNs) {
            return null;
        }
        i.remove();
        return oldest.getKey();
    }
}
