package grebehoist.net;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongSupplier;

/**
 * Bounds what dear reads may take of one turn of an event loop. A byte costs what is made of it: the same number of them may be one piece
 * of a body or thousands of chunks, so connections are judged by how long their last reads were handled for. Those that are dear share
 * a part of each turn, one read after the other in a queue, and so hold up nobody whose reads are cheap. What brings few bytes, as an
 * ordinary request does, is never put off for its time, which is the machine's more than its own.
 *
 * <p>Used by the loop's thread; times are the loop's ticker's, in nanoseconds.
 */
final class ReadBudget {
    /** What dear reads may take of one turn. */
    static final long TURN_NS = 5_000_000;
    /** A connection is dear while each of its last two reads took longer: one alone may have met a pause of the process. */
    static final long DEAR_NS = 200_000;

    /** A read that brought less is not dear. */
    static final int LARGE_BYTES = 4 * 1024;

    /** A connection that can be read later. */
    interface Reader {
        /** Reads once, unless reading has been stopped or the connection has been closed meanwhile. */
        void readDeferred();
    }

    /** What is known of one connection. */
    static final class Account {
        private final Reader reader;
        private long lastNs;
        private long beforeLastNs;
        private int bytes;
        private boolean queued;

        /** Makes the account of a connection that has not been read. */
        Account(Reader reader) {
            this.reader = reader;
        }

        private boolean dear() {
            return Math.min(lastNs, beforeLastNs) > DEAR_NS;
        }

        /** The read that is being handled has brought so many bytes. */
        void brought(int read) {
            bytes = read;
        }

        private void took(long ns) {
            beforeLastNs = lastNs;
            lastNs = bytes < LARGE_BYTES ? 0 : ns;
            bytes = 0;
        }
    }

    private final Queue<Account> deferred = new ArrayDeque<>();
    /** Whose read is being handled, or null, and since when. */
    private Account current;

    private long currentSinceNs;
    private long spentNs;
    /** The connection whose turn has come, until its read begins. */
    private Account served;

    /** A turn begins. */
    void turnBegins() {
        spentNs = 0;
    }

    /** Returns whether reads have been put off. */
    boolean hasDeferred() {
        return !deferred.isEmpty();
    }

    /**
     * A connection is about to be read, which ends the handling of the read before.
     *
     * @return whether it may be; otherwise it has been put off, and is not to be polled until its turn comes
     */
    boolean mayRead(Account account, long nowNs) {
        handled(nowNs);
        if (account != served && account.dear() && (account.queued || hasDeferred() || spentNs >= TURN_NS)) {
            defer(account);
            return false;
        }
        served = null;
        current = account;
        currentSinceNs = nowNs;
        return true;
    }

    private void defer(Account account) {
        if (!account.queued) {
            account.queued = true;
            deferred.add(account);
        }
    }

    /** What was read last has been handled. */
    void handled(long nowNs) {
        if (current == null) {
            return;
        }
        current.took(nowNs - currentSinceNs);
        if (current.dear()) {
            spentNs += nowNs - currentSinceNs;
        }
        current = null;
    }

    /** Reads what was put off, in turn and each once, until what a turn has for that is spent. */
    void serveDeferred(LongSupplier clock) {
        int waiting = deferred.size();
        for (int i = 0; i < waiting && spentNs < TURN_NS; i++) {
            Account next = deferred.remove();
            next.queued = false;
            served = next;
            next.reader.readDeferred();
            served = null;
            handled(clock.getAsLong());
        }
    }
}
