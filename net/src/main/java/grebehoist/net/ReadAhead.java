package grebehoist.net;

import java.nio.ByteBuffer;

/**
 * What the connections of one event loop read ahead of their handlers, to see what the kernel holds behind: together a bounded number of
 * bytes. Used by the loop's thread.
 */
final class ReadAhead {
    private static final int MOST_BYTES = 4 * 1024 * 1024;
    private static final int PIECE_BYTES = 8 * 1024;

    /** The loop's thread uses it for one read at a time. */
    private ByteBuffer piece;

    private int held;

    /** Returns an empty buffer for one read, or null where no more may be held. */
    ByteBuffer piece() {
        if (held + PIECE_BYTES > MOST_BYTES) {
            return null;
        }
        if (piece == null) {
            piece = ByteBuffer.allocateDirect(PIECE_BYTES);
        }
        return piece.clear();
    }

    /** So many more bytes are held, or less where this is negative. */
    void add(int bytes) {
        held += bytes;
    }
}
