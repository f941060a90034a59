package beechfall.proxy;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Counts the open connections, so that the process stays under its limit of descriptors: one too many fails at a place
 * where nothing can be done about it. Idle connections are given up first, the longest idle of the backends' before
 * the clients'; where none is left, no further client is accepted for a while.
 */
final class Sockets {
    /** Descriptors for the jar, the selector, the listener, discovery and connections that are just closing. */
    private static final int SPARE = 96;

    private final int most;
    private final int mostClients;
    private final Set<Channel> idleBackends = new LinkedHashSet<>();
    private final Set<Channel> idleClients = new LinkedHashSet<>();
    private int clients;
    private int backends;
    private Channel listener;

    Sockets(int limit) {
        most = Math.max(16, limit - SPARE);
        // A request needs a connection on either side: clients alone can't use up what their requests need.
        mostClients = most * 5 / 8;
    }

    /** Names the socket that is not to accept while there is no room. */
    void listener(Channel channel) {
        listener = channel;
    }

    void clientOpened(Channel channel) {
        clients++;
        channel.closeFuture().addListener(f -> {
            clients--;
            idleClients.remove(channel);
            if (!clientsFull()) {
                accept(true);
            }
        });
        if (clientsFull() && !(clients < mostClients && giveUp(idleBackends)) && !giveUp(idleClients)) {
            accept(false);
        }
    }

    private void accept(boolean on) {
        if (listener != null && listener.config().isAutoRead() != on) {
            listener.config().setAutoRead(on);
        }
    }

    private boolean clientsFull() {
        return clients >= mostClients || clients + backends >= most;
    }

    /** Returns whether one more connection to a backend may be opened. */
    boolean roomForBackend() {
        return clients + backends < most || giveUp(idleBackends) || giveUp(idleClients);
    }

    void backendOpened(Channel channel) {
        backends++;
        channel.closeFuture().addListener(f -> {
            backends--;
            idleBackends.remove(channel);
        });
    }

    void backendIdle(Channel channel, boolean idle) {
        mark(idleBackends, channel, idle);
    }

    /** Whoever waits to be accepted may have the place of a connection that has fallen idle. */
    void clientIdle(Channel channel, boolean idle) {
        mark(idleClients, channel, idle);
        if (idle) {
            accept(true);
        }
    }

    private static void mark(Set<Channel> set, Channel channel, boolean idle) {
        set.remove(channel);
        if (idle && channel.isOpen()) {
            set.add(channel);
        }
    }

    private static boolean giveUp(Set<Channel> idle) {
        if (idle.isEmpty()) {
            return false;
        }
        Channel longest = idle.iterator().next();
        idle.remove(longest);
        longest.close();
        return true;
    }
}
