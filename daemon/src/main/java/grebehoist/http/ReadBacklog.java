package grebehoist.http;

import grebehoist.net.Network;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * When the bytes that are read from a client may have come, where reading has rested: they may have waited in the kernel, which
 * holds a bounded number of them, and a client's patience does not begin when they are read. What is told here is never too late.
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

    private record Mark(long bytes, long atUs) {}

    /** Empty while all that has come is read. */
    private final Deque<Mark> marks = new ArrayDeque<>(18);

    private final int mostHeld;
    private long bytes;

    /**
     * Makes one for a connection on which nothing has been read.
     *
     * @param mostHeld how many bytes may wait to be read
     */
    ReadBacklog(int mostHeld) {
        this.mostHeld = mostHeld;
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
     * @return when the last of them may have come, at the earliest
     */
    long read(int more, long nowUs) {
        bytes += more;
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

    /** The kernel holds nothing more: what comes from here on is read as it comes. */
    void drained() {
        marks.clear();
    }

    /**
     * Returns when the last byte of a message may have come at the earliest, if it is one of those that the kernel may hold now, in
     * microseconds; else {@link Long#MAX_VALUE}.
     *
     * @param left how many bytes of it are yet to be read, or -1 where that is not known
     */
    long endMayHaveComeAt(long left) {
        if (marks.isEmpty() || left > mostHeld) {
            return Long.MAX_VALUE;
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
