package grebehoist.http;

/**
 * Counts the bytes of bodies that are held, all connections of a listener together, and says which may be held on. A slow
 * client's body is better held than handed on as it comes: until its end its backend has a place taken and nothing to do. But
 * what is handed on takes no memory; so past the bounds that is what becomes of it, however many clients come at once.
 */
final class HeldBodies {
    /** The longest that is held, in bytes: what a client of 64 kB a second sends in four seconds. */
    static final int LONGEST = 256 * 1024;
    /** So little is always held: handing it on would take as much. */
    private static final int LEAST = 8 * 1024;

    private final long most;
    private long bytes;

    /**
     * Makes a count.
     *
     * @param most what all of them together may take, in bytes; those of more than {@link HttpTransport#MAX_BODY} two thirds of it
     */
    HeldBodies(long most) {
        this.most = most;
    }

    /** So much more, or less, is held. */
    void add(long more) {
        bytes += more;
    }

    /** Returns whether a body that has come to so much is still to be held. */
    boolean mayHold(long length) {
        return length <= LEAST || length <= LONGEST && bytes <= (length > HttpTransport.MAX_BODY ? most * 2 / 3 : most);
    }

    /** Returns how many bytes are held. */
    long bytes() {
        return bytes;
    }
}
