package grebehoist.http;

/**
 * How many bodies of more than {@link HttpTransport#MAX_BODY} may be held at once, all connections of a listener together. A
 * slow client's body is better held than handed on as it comes: until its end its backend has a place taken and nothing to do.
 */
final class LargeBodies {
    /** The longest that is held, in bytes: what a client of 64 kB a second sends in four seconds. */
    static final int LONGEST = 256 * 1024;

    private final int most;
    private int taken;

    /**
     * Makes a count.
     *
     * @param mostBytes what all of them together may hold
     */
    LargeBodies(long mostBytes) {
        most = (int) (mostBytes / LONGEST);
    }

    /** Takes a place, if there is one. */
    boolean take() {
        if (taken >= most) {
            return false;
        }
        taken++;
        return true;
    }

    /** Gives a place back. */
    void give() {
        taken--;
    }

    int taken() {
        return taken;
    }
}
