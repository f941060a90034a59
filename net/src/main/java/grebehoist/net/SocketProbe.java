package grebehoist.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * Waits at a process's start until sockets can be had. The Java runtime finds out once, with a socket of its own, whether an address can be
 * shared (SO_REUSEPORT), and never asks again: a process whose first socket(2) fails could not listen beside the one that it is to follow,
 * for all its life.
 */
public final class SocketProbe {
    private static final long FIRST_RETRY_MS = 10;
    private static final long LAST_RETRY_MS = 100;

    private SocketProbe() { }

    /**
     * Waits, for a bounded time, and has the runtime find out then.
     *
     * @return whether addresses can be shared
     */
    public static boolean await(long patienceMs) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        var backoff = new Backoff(FIRST_RETRY_MS, LAST_RETRY_MS);
        while (true) {
            try (ServerSocketChannel socket = ServerSocketChannel.open()) {
                return socket.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT);
            } catch (IOException e) {
                if (System.nanoTime() - until > 0) {
                    return false;
                }
                TimeUnit.MILLISECONDS.sleep(backoff.next());
            }
        }
    }
}
