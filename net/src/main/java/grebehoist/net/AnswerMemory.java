package grebehoist.net;

import io.netty.util.internal.PlatformDependent;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * What answers that clients have yet to take hold of a process's memory: one account for all of its listeners. A connection that asks for
 * an answer reserves what that may need, and is asked to wait where it has more than its share already. What is held all the same is
 * bounded: past it the connection that holds the most is given up, so that the event loop never has to wait for memory. Connections
 * whose answers have a bound of their own are never given up; they leave less to the others, but half of the memory at least.
 *
 * <p>Used by the loop's thread alone.
 */
public final class AnswerMemory {
    /** Buffers are also needed for what is being read, on either side. */
    private static final double PART_OF_DIRECT_MEMORY = 0.4;
    /** One connection may reserve so much of what is still free of the first quarter; the rest is for those that have nothing yet. */
    private static final double SHARE_OF_FREE = 0.25;

    private static final double SHARED_PART = 0.25;
    /** What those that can be given up may always hold, however much the others do. */
    private static final double GUARANTEED_PART = 0.5;
    /** The most that one connection reserves, in bytes: about as much as the kernel takes of what its client has yet to read. */
    private static final long MOST_RESERVED = 2L * Network.UNSENT;

    private final long most;
    /** Those that hold anything and can be given up. */
    private final Set<Share> holders = new LinkedHashSet<>();
    /** What these hold. */
    private long held;
    /** What is held by those that can't be given up. */
    private long heldForGood;

    private long reserved;

    /**
     * Makes an account in which nothing is held.
     *
     * @param most what may be held, in bytes
     */
    public AnswerMemory(long most) {
        this.most = most;
    }

    /** Returns an account of the part of this process's direct memory that may wait for clients. */
    public static AnswerMemory ofProcess() {
        return new AnswerMemory((long) (PART_OF_DIRECT_MEMORY * PlatformDependent.maxDirectMemory()));
    }

    /** Returns the bytes that are held now. */
    public long held() {
        return held + heldForGood;
    }

    /**
     * Opens the account of one connection.
     *
     * @param giveUp closes it, or null where what it holds has a bound of its own
     */
    public Share share(Runnable giveUp) {
        return new Share(giveUp);
    }

    /** Returns what those that can be given up may hold. */
    private double bound() {
        return Math.max(most - heldForGood, GUARANTEED_PART * most);
    }

    private void enforce() {
        while (held > bound()) {
            Share largest = Collections.max(holders, Comparator.comparingLong(share -> share.held));
            largest.closeByMemory();
        }
    }

    /** What one connection has of the account. */
    public final class Share {
        private final Runnable giveUp;
        private long held;
        private long reserved;
        private boolean closed;
        /** Whether the last answers waited for its client. */
        private boolean slow;

        private Share(Runnable giveUp) {
            this.giveUp = giveUp;
        }

        /** Returns whether its client may ask for an answer of so many bytes now; one at a time it always may, unless it takes them slowly. */
        public boolean mayReserve(long bytes) {
            long used = held + reserved;
            long inUse = AnswerMemory.this.held + AnswerMemory.this.reserved;
            if (used == 0) {
                return !slow || inUse + bytes <= bound();
            }
            return used + bytes <= Math.min(MOST_RESERVED, SHARE_OF_FREE * (SHARED_PART * bound() - inUse));
        }

        /** Whether its client takes answers slowly, so that the last ones had to wait. */
        public void slow(boolean now) {
            slow = now;
        }

        /** An answer of about so many bytes has been asked for. */
        public void reserve(long bytes) {
            addReserved(bytes);
        }

        /** That answer is there, or will not come. */
        public void release(long bytes) {
            addReserved(-bytes);
        }

        private void addReserved(long bytes) {
            if (!closed) {
                reserved += bytes;
                AnswerMemory.this.reserved += bytes;
            }
        }

        /** An answer waits for its client. May give up connections, this one among them. */
        public void hold(long bytes) {
            addHeld(bytes);
            enforce();
        }

        /** That answer has been taken, or dropped. */
        public void letGo(long bytes) {
            addHeld(-bytes);
        }

        private void addHeld(long bytes) {
            if (closed) {
                return;
            }
            held += bytes;
            if (giveUp == null) {
                heldForGood += bytes;
                return;
            }
            AnswerMemory.this.held += bytes;
            if (held > 0) {
                holders.add(this);
            } else {
                holders.remove(this);
            }
        }

        /** Its connection has ended: what it had is free. */
        public void close() {
            addHeld(-held);
            addReserved(-reserved);
            closed = true;
        }

        private void closeByMemory() {
            close();
            giveUp.run();
        }
    }
}
