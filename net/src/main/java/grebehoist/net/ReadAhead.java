package grebehoist.net;

import java.nio.ByteBuffer;

/**
 * What the connections of one event loop read ahead of their handlers, to see what the kernel holds behind: a bounded number of bytes for
 * each, and for all together, but for a first piece that each may always hold. Used by the loop's thread.
 */
final class ReadAhead {
    private static final int MOST_BYTES = 4 * 1024 * 1024;
    private static final int MOST_BYTES_OF_ONE = 256 * 1024;
    private static final int PIECE_BYTES = 8 * 1024;

    /** The loop's thread uses it for one read at a time. */
    private ByteBuffer piece;

    private int held;

    /**
     * Returns whether a connection may read another piece ahead.
     *
     * @param heldByIt how many bytes it holds
     */
    boolean hasRoom(int heldByIt) {
        return heldByIt == 0 || heldByIt + PIECE_BYTES <= MOST_BYTES_OF_ONE && held + PIECE_BYTES <= MOST_BYTES;
    }

    /** Returns an empty buffer for one read. */
    ByteBuffer piece() {
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
