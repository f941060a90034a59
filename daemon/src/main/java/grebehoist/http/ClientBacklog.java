package grebehoist.http;

import grebehoist.net.Network;

/**
 * Whether a client's own system may hold bytes that its client has written and that have not come yet. A client writes into its system's
 * buffer, which waits while this side's is full: so the end of a message may have been written long before it can be read.
 *
 * <p>It is taken to hold some unless there is proof that it does not, so that a process that looks seldom errs on the early side. The proof:
 * this side's buffer was empty, and a round trip later less had come than a window. Whatever waited at the client's would have come then.
 * A buffer that is read without being emptied proves nothing, as Linux asks for more only when much of it is free (tcp(7)).
 *
 * <p>Times are in microseconds. Used by one thread.
 */
final class ClientBacklog {
    /** Linux lets a connection's send buffer grow to 4 MB (tcp(7), tcp_wmem). */
    static final int MOST_BYTES = 4 * 1024 * 1024;
    /** Between machines of one site, with room for a sender that is busy. */
    static final long ROUND_TRIP_US = 2_000;
    /** Less than this never fills a window: its sender has not been kept waiting. */
    static final int WINDOW_BYTES = Network.FULL;

    private long emptyAtUs;
    private long emptyToldUs;
    private long cameSinceBytes;
    private boolean mayHold;
    private long heldNothingAtUs;

    /** Makes the backlog of a client that had written nothing yet. */
    ClientBacklog(long nowUs) {
        holdsNothing(nowUs);
    }

    /** It is known otherwise that the client has written nothing more: what it asked has come whole, and it waits for its answer. */
    void holdsNothing(long nowUs) {
        mayHold = false;
        emptyAtUs = nowUs;
        emptyToldUs = nowUs;
        heldNothingAtUs = nowUs;
        cameSinceBytes = 0;
    }

    /** All that had come by a time was read by then. */
    void emptyAt(long timeUs) {
        if (timeUs <= emptyToldUs) {
            // What has come since then has been counted already.
            return;
        }
        emptyToldUs = timeUs;
        boolean aWindowCame = cameSinceBytes >= WINDOW_BYTES;
        boolean proven = !aWindowCame && (!mayHold || timeUs - emptyAtUs >= ROUND_TRIP_US);
        if (proven) {
            mayHold = false;
            heldNothingAtUs = timeUs;
        }
        if (proven || aWindowCame) {
            emptyAtUs = timeUs;
            cameSinceBytes = 0;
        }
    }

    /** So much more has been read. */
    void read(int bytes) {
        cameSinceBytes += bytes;
        mayHold |= cameSinceBytes >= WINDOW_BYTES;
    }

    /** This side was seen to hold so much that has not been read. */
    void looked(long unreadBytes, long nowUs) {
        if (cameSinceBytes + unreadBytes >= WINDOW_BYTES) {
            mayHold = true;
        } else if (unreadBytes == 0) {
            emptyAt(nowUs);
        } else if (!mayHold || nowUs - emptyAtUs >= ROUND_TRIP_US) {
            mayHold = false;
            heldNothingAtUs = nowUs;
        }
    }

    /** Returns whether the client's side may hold more. */
    boolean mayHold() {
        return mayHold;
    }

    /** Returns when it was last known to hold nothing: what has not been read, and does not wait on this side, was written after that. */
    long heldNothingAtUs() {
        return heldNothingAtUs;
    }
}
