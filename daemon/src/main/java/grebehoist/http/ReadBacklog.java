package grebehoist.http;

import grebehoist.net.Network;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * When the bytes that are read from a client may have come, where reading has rested: they may have waited in the kernel, which
 * holds a bounded number of them, and a client's patience does not begin when they are read. What is told here is never too late.
 *
 * <p>A client has written its bytes before they come, and its own system may hold some: {@link ClientBacklog}.
 *
 * <p>The kernel holds so many bytes at most ({@link #MOST_HELD}), so the byte with number n came no sooner than byte n - MOST_HELD was
 * read, and no sooner than reading began to rest. As little as that is kept: the times at which every sixteenth of that had been read.
 */
final class ReadBacklog {
    /** Twice what is asked for (tcp(7), SO_RCVBUF): Linux counts its own needs in that, so it is less. */
    static final int MOST_HELD = 2 * Network.UNREAD;
    /** Where nothing is known of how much is held. */
    static final int UNBOUNDED = Integer.MAX_VALUE;

    private static final int STEPS = 16;
    private static final long NEVER = Long.MAX_VALUE;

    private record Mark(long bytes, long atUs) {}

    /** Empty while all that has come is read. */
    private final Deque<Mark> marks = new ArrayDeque<>(18);

    private final int mostHeld;
    /** Null where nothing is known of how much is held. */
    private final ClientBacklog client;

    private long bytes;
    /** When more of the message was last left than both sides hold: its end was written after that. */
    private long endOutOfReachAtUs = Long.MIN_VALUE;

    /**
     * Makes one for a connection on which nothing has been written.
     *
     * @param mostHeld how many bytes may wait to be read
     */
    ReadBacklog(int mostHeld, long nowUs) {
        this.mostHeld = mostHeld;
        this.client = mostHeld == UNBOUNDED ? null : new ClientBacklog(nowUs);
    }

    /**
     * It was looked what waits to be read.
     *
     * @param left how many bytes of the message are yet to be read, or -1 where that is not known
     */
    void looked(long unread, long left, long nowUs) {
        if (client != null) {
            client.looked(unread, nowUs);
            noteReach(left, nowUs);
        }
    }

    private void noteReach(long left, long nowUs) {
        if (outOfReach(left)) {
            endOutOfReachAtUs = nowUs;
        }
    }

    private boolean outOfReach(long left) {
        return left - mostHeld > ClientBacklog.MOST_BYTES;
    }

    /** Reading rests from now on. */
    void rests(long nowUs) {
        if (marks.isEmpty()) {
            marks.add(new Mark(bytes, nowUs));
        }
    }

    /**
     * Some bytes are read.
     *
     * @param left how many bytes of the message are left behind these, or -1 where that is not known
     * @param emptyUntilUs all that had come by then was read before
     * @param cameUs when the last of them may have come, at the earliest, if reading has not rested
     * @return when the last of them may have been written, at the earliest
     */
    long read(int more, long left, long emptyUntilUs, long cameUs) {
        bytes += more;
        long came = cameAt(cameUs);
        if (client == null) {
            return came;
        }
        client.emptyAt(emptyUntilUs);
        long written = client.mayHold() ? Math.min(writtenAfterUs(), came) : came;
        client.read(more);
        noteReach(left, cameUs);
        return written;
    }

    private long writtenAfterUs() {
        return Math.max(client.heldNothingAtUs(), endOutOfReachAtUs);
    }

    private long cameAt(long nowUs) {
        if (marks.isEmpty()) {
            return nowUs;
        }
        // One mark that is old enough is kept, as what came may lie between two of them.
        while (marks.size() > 1 && second().bytes <= bytes - mostHeld) {
            marks.removeFirst();
        }
        long came = marks.getFirst().atUs;
        if (bytes - marks.getLast().bytes >= mostHeld / STEPS) {
            marks.add(new Mark(bytes, nowUs));
        }
        return came;
    }

    private Mark second() {
        var i = marks.iterator();
        i.next();
        return i.next();
    }

    /** A message has come whole, and nothing waits behind it: what comes from here on has been written after this. */
    void emptied(long nowUs) {
        marks.clear();
        endOutOfReachAtUs = Long.MIN_VALUE;
        if (client != null) {
            client.holdsNothing(nowUs);
        }
    }

    /** The kernel holds nothing more: what comes from here on is read as it comes. */
    void drained(long nowUs) {
        marks.clear();
        if (client != null) {
            client.emptyAt(nowUs);
        }
    }

    /**
     * Returns when the last byte of a message may have been written at the earliest, if it is one of those that may be held unread now, in
     * microseconds; else {@link Long#MAX_VALUE}.
     *
     * @param left how many bytes of it are yet to be read, or -1 where that is not known
     */
    long endMayHaveComeAt(long left) {
        boolean heldByClient = client != null && client.mayHold() && !outOfReach(left);
        return Math.min(heldByClient ? writtenAfterUs() : NEVER, endMayHaveArrivedAt(left));
    }

    private long endMayHaveArrivedAt(long left) {
        if (marks.isEmpty() || left > mostHeld) {
            return NEVER;
        }
        long end = bytes + Math.max(left, 0);
        Mark came = marks.getFirst();
        for (Mark mark : marks) {
            if (mark.bytes > end - mostHeld) {
                break;
            }
            came = mark;
        }
        return came.atUs;
    }

    /** Returns how many times are kept. */
    int size() {
        return marks.size();
    }
}
