package grebehoist.fleet.wire;

import java.util.ArrayDeque;
import java.util.Deque;

/** What is kept of one other member: which of its lives speaks, what of it has come, and the words that prove datagrams to be new. */
final class Session {
    /** So far behind the newest a datagram may come (RFC 4303, 3.4.3, has 32 at least). */
    private static final int WINDOW = 64;

    private static final int LIVES = 4;

    /** 0 as long as none has proven itself. */
    private long life;
    /** Earlier lives; one that speaks again shows that two processes have the same number. */
    private final Deque<Long> before = new ArrayDeque<>();

    private long newest;
    private long seen;
    /** Grows as lives change, so that what an earlier life has learnt proves nothing. */
    private int epoch;

    private long echo;
    private long count;
    private int twins;

    /** Returns the number of the next datagram to it. */
    long nextCount() {
        return ++count;
    }

    long echo() {
        return echo;
    }

    void echo(long word) {
        echo = word;
    }

    int epoch() {
        return epoch;
    }

    boolean known() {
        return life != 0;
    }

    boolean speaks(long other) {
        return life == other;
    }

    /** How often a life has spoken again after another one had taken its place. */
    int twins() {
        return twins;
    }

    /** Another life has proven itself. */
    void begin(long next) {
        if (before.contains(next)) {
            twins++;
        } else {
            before.addLast(next);
            if (before.size() > LIVES) {
                before.removeFirst();
            }
        }
        life = next;
        newest = 0;
        seen = 0;
        epoch++;
    }

    /** Notes that a datagram has come; returns false for one that had come, or may have. */
    boolean first(long number) {
        if (number > newest) {
            long ahead = number - newest;
            seen = (ahead >= WINDOW ? 0 : seen << ahead) | 1;
            newest = number;
            return true;
        }
        long behind = newest - number;
        if (behind >= WINDOW || (seen >>> behind & 1) != 0) {
            return false;
        }
        seen |= 1L << behind;
        return true;
    }
}
