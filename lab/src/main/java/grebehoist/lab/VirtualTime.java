package grebehoist.lab;

import grebehoist.engine.Timers;
import java.util.PriorityQueue;

/**
 * A world's clock and its events, in the order of their times and, at one time, in the order in which they were asked for.
 * Used by one thread.
 */
final class VirtualTime implements Timers {
    /** So many events that are to come are more than any fleet here needs: the load has outgrown the experiment. */
    private final int most;

    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private long now;
    private long asked;
    private long played;

    VirtualTime(long startUs, int most) {
        this.now = startUs;
        this.most = most;
    }

    private static final class Due implements Timer, Comparable<Due> {
        private final long at;
        private final long number;
        private Runnable action;

        Due(long at, long number, Runnable action) {
            this.at = at;
            this.number = number;
            this.action = action;
        }

        @Override
        public void cancel() {
            action = null;
        }

        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public Timer at(long atUs, Runnable action) {
        if (queue.size() >= most) {
            queue.removeIf(d -> d.action == null);
            if (queue.size() >= most) {
                throw new LabException(
                        "more than " + most + " events wait at " + now / 1e6 + " s: the fleet cannot bear this load");
            }
        }
        var due = new Due(Math.max(atUs, now), asked++, action);
        queue.add(due);
        return due;
    }

    @Override
    public boolean settling() {
        return false;
    }

    /** Plays all that is due up to a time, which it is then. */
    void runTo(long untilUs) {
        while (!queue.isEmpty() && queue.peek().at <= untilUs) {
            Due due = queue.poll();
            now = due.at;
            if (due.action != null) {
                played++;
                due.action.run();
            }
        }
        now = untilUs;
    }

    /** Returns how many events were played. */
    long played() {
        return played;
    }

    int waiting() {
        return queue.size();
    }
}
