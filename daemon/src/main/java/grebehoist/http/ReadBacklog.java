package grebehoist.http;

import grebehoist.net.Network;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * When the bytes that are read from a client may have come, where reading has rested: they may have waited in the kernel, which
 * holds a bounded number of them, and a client's patience does not begin when they are read. What is told here is never too late.
 *
 * <p>A client has written its bytes before they come: while this side's kernel is full they wait at the client's, which holds some more.
 * So what comes after the kernel was full may have been written when it was last seen not to be.
 *
 * <p>The kernel holds so many bytes at most ({@link #MOST_HELD}), so the byte with number n came no sooner than byte n - MOST_HELD was
 * read, and no sooner than reading began to rest. As little as that is kept: the times at which every sixteenth of that had been read.
 */
final class ReadBacklog {
    /** Twice what is asked for (tcp(7), SO_RCVBUF): Linux counts its own needs in that, so it is less. */
    static final int MOST_HELD = 2 * Network.UNREAD;
    /** What the client's side may hold beyond that, in bytes: Linux lets a connection's buffer grow to 4 MB (tcp(7), tcp_wmem). */
    static final int MOST_HELD_BY_CLIENT = 4 * 1024 * 1024;
    /** Where nothing is known of how much is held. */
    static final int UNBOUNDED = Integer.MAX_VALUE;

    private static final int STEPS = 16;

    private record Mark(long bytes, long atUs) {}

    /** Empty while all that has come is read. */
    private final Deque<Mark> marks = new ArrayDeque<>(18);

    private static final long NEVER = Long.MAX_VALUE;
    private static final int LOOKS_NOT_FULL = 2;

    private final int mostHeld;
    private long bytes;
    /** When this side's kernel was last seen not to be full, if it has been full since; else {@link #NEVER}. */
    private long fullSinceUs = NEVER;

    private long notFullAtUs = NEVER;
    private int looksNotFull;
    private long cameAtLastLook;

    /**
     * Makes one for a connection on which nothing has been read.
     *
     * @param mostHeld how many bytes may wait to be read
     */
    ReadBacklog(int mostHeld) {
        this.mostHeld = mostHeld;
    }

    /**
     * This side's kernel was looked at, as happens now and then. Once it has been full, what it gives up is replaced from the client's side
     * a moment later, or only when much is free: that it is not full any more shows where nothing is held, or more has come, twice running.
     *
     * @param unread how many bytes it holds
     */
    void looked(long unread, long nowUs) {
        boolean moreCame = bytes + unread > cameAtLastLook;
        cameAtLastLook = bytes + unread;
        if (unread >= Network.FULL) {
            looksNotFull = 0;
            fullSinceUs = Math.min(fullSinceUs, Math.min(nowUs, notFullAtUs));
            return;
        }
        looksNotFull = unread == 0 || moreCame ? looksNotFull + 1 : 0;
        if (fullSinceUs == NEVER || looksNotFull >= LOOKS_NOT_FULL) {
            fullSinceUs = NEVER;
            notFullAtUs = nowUs;
        }
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
     * @return when the last of them may have been written, at the earliest
     */
    long read(int more, long nowUs) {
        bytes += more;
        return Math.min(fullSinceUs, cameAt(nowUs));
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

    /** Neither side holds anything: what comes from here on has been written after this. */
    void emptied(long nowUs) {
        fullSinceUs = NEVER;
        drained(nowUs);
    }

    /** The kernel holds nothing more: what comes from here on is read as it comes. */
    void drained(long nowUs) {
        marks.clear();
        if (fullSinceUs == NEVER) {
            notFullAtUs = nowUs;
        }
    }

    /**
     * Returns when the last byte of a message may have been written at the earliest, if it is one of those that may be held unread now, in
     * microseconds; else {@link Long#MAX_VALUE}.
     *
     * @param left how many bytes of it are yet to be read, or -1 where that is not known
     */
    long endMayHaveComeAt(long left) {
        long heldByClientSince = left - mostHeld <= MOST_HELD_BY_CLIENT ? fullSinceUs : NEVER;
        return Math.min(heldByClientSince, endMayHaveArrivedAt(left));
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
