package grebehoist.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Counts the open connections, so that the process stays under its limit of descriptors: one too many fails at a place
 * where nothing can be done about it. As places run short, clients' connections end with their answers and those that
 * hold no request are given up; where all hold one, no further client is accepted for a while.
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

    private final EventLoop loop;
    private int most;
    private int mostClients;
    private final Map<Channel, Long> idleBackends = new LinkedHashMap<>();
    /** Connections on which no whole request has come yet, and those idle after an answer; the oldest first. */
    private final Map<Channel, Long> silentClients = new LinkedHashMap<>();
    private final Map<Channel, Long> idleClients = new LinkedHashMap<>();
    private int clients;
    private int backends;
    private boolean makingRoom;
    private final List<Channel> listeners = new ArrayList<>();

    /**
     * Makes the count of one process.
     *
     * @param limit the descriptors that the process may hold
     */
    public Sockets(EventLoop loop, int limit) {
        this.loop = loop;
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
        while (clients > mostClients) {
            if (!giveUp(silentClients, GREETING_NS) && !giveUp(idleClients, 0)) {
                makingRoom = !silentClients.isEmpty();
                if (makingRoom) {
                    loop.schedule(this::makeRoom, GREETING_NS, TimeUnit.NANOSECONDS);
                }
                return;
            }
        }
    }

    private void accept() {
        boolean on = clients < mostClients + LOBBY;
        for (Channel listener : listeners) {
            if (listener.config().isAutoRead() != on) {
                listener.config().setAutoRead(on);
            }
        }
    }

    /** Returns whether a client's connection is to end with its answer: no request of its client's meets that close. */
    public boolean crowded() {
        return clients > mostClients * 3 / 4;
    }

    /** A client's connection holds a request. */
    public void clientBusy(Channel channel) {
        silentClients.remove(channel);
        idleClients.remove(channel);
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
        return Math.min(clients, mostClients) + backends < most || giveUp(idleBackends, 0) || giveUp(silentClients, GREETING_NS)
                || giveUp(idleClients, 0);
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

    private boolean giveUp(Map<Channel, Long> since, long leastNs) {
        Iterator<Map.Entry<Channel, Long>> i = since.entrySet().iterator();
        if (!i.hasNext()) {
            return false;
        }
        Map.Entry<Channel, Long> oldest = i.next();
        if (now() - oldest.getValue() < leastNs) {
            return false;
        }
        i.remove();
        oldest.getKey().close();
        return true;
    }
}
