package grebehoist.net;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongSupplier;

/**
 * Bounds what bulk reads may take of one turn of an event loop. A byte costs what is made of it: the same number of them may be one piece
 * of a body or hundreds of chunks, and many connections together hold a turn up as well as one. So connections that bring much at each
 * read share a part of the turn, in time, one read after the other in a queue; and a read takes no more bytes than can be handled in a
 * bounded time, by what those of the read before took. What brings little, as an ordinary request does, is never put off.
 *
 * <p>Used by the loop's thread; times are the loop's ticker's, in nanoseconds.
 */
final class ReadBudget {
    /** What bulk reads may take of one turn. */
    static final long TURN_NS = 5_000_000;
    /** What the handling of one read may take, as far as the one before tells. */
    static final long READ_NS = TURN_NS / 10;
    /** The room of a read of which nothing is known, and of the dearest. */
    static final int LEAST_ROOM_BYTES = 2 * 1024;
    /** A connection is in bulk while each of its last two reads brought so much: a single one may be a longer request. */
    static final int LARGE_BYTES = 1024;

    /** A connection that can be read later. */
    interface Reader {
        /** Reads once, unless reading has been stopped or the connection has been closed meanwhile. */
        void readDeferred();
    }

    /** What is known of one connection. */
    static final class Account {
        private static final long UNKNOWN = -1;

        private final Reader reader;
        private int lastBytes;
        private int beforeLastBytes;
        private long lastTurn;
        /** What handling took for each of the bytes that were read last, or {@link #UNKNOWN}. */
        private long costOfByteNs = UNKNOWN;

        private boolean queued;

        /** Makes the account of a connection that has not been read. */
        Account(Reader reader) {
            this.reader = reader;
        }

        private boolean bulk() {
            return Math.min(lastBytes, beforeLastBytes) >= LARGE_BYTES;
        }

        /** Returns whether its read has been put off, until its turn comes. */
        boolean queued() {
            return queued;
        }

        private boolean large() {
            return lastBytes >= LARGE_BYTES;
        }

        /** The read that is being handled has brought so many bytes. */
        void brought(int bytes) {
            beforeLastBytes = lastBytes;
            lastBytes = bytes;
        }

        private void handledIn(long ns) {
            if (large()) {
                costOfByteNs = ns / lastBytes;
            }
        }

        /**
         * Returns how many bytes the read that follows may take.
         *
         * @param most for how many there is room
         */
        int room(int most) {
            if (costOfByteNs == UNKNOWN) {
                return Math.min(most, LEAST_ROOM_BYTES);
            }
            long affordable = READ_NS / Math.max(1, costOfByteNs);
            return (int) Math.min(most, Math.max(LEAST_ROOM_BYTES, affordable));
        }
    }

    private final Queue<Account> deferred = new ArrayDeque<>();
    /** Whose read is being handled, or null, and since when. */
    private Account current;

    private long currentSinceNs;
    private long spentNs;
    private long turn;
    /** The connection whose turn has come, until its read begins. */
    private Account served;

    /** A turn begins. */
    void turnBegins() {
        spentNs = 0;
        turn++;
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
        // One that has brought much in this very turn goes on only as long as there is time.
        boolean again = account.large() && account.lastTurn == turn && spentNs >= TURN_NS;
        boolean bulk = account.bulk() && (account.queued || hasDeferred() || spentNs >= TURN_NS);
        if (account != served && (again || bulk)) {
            defer(account);
            return false;
        }
        served = null;
        current = account;
        account.lastTurn = turn;
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
        long tookNs = nowNs - currentSinceNs;
        current.handledIn(tookNs);
        if (current.large()) {
            spentNs += tookNs;
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
