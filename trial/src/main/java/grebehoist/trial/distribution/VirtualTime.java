package grebehoist.trial.distribution;

import java.util.PriorityQueue;

/** What is to happen, in its turn; two things of one time in the order in which they were said. */
final class VirtualTime {
    private record Event(long atUs, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return atUs != o.atUs ? Long.compare(atUs, o.atUs) : Long.compare(order, o.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Runnable afterEach;
    private long now;
    private long order;

    /** Makes a time in which something is looked at after each event. */
    VirtualTime(Runnable afterEach) {
        this.afterEach = afterEach;
    }

    long now() {
        return now;
    }

    void at(long atUs, Runnable what) {
        events.add(new Event(atUs, order++, what));
    }

    /** Goes on until a time. */
    void run(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs() <= untilUs) {
            Event next = events.poll();
            now = next.atUs();
            next.what().run();
            afterEach.run();
        }
        now = untilUs;
    }
}
