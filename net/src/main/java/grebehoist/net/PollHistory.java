package grebehoist.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;

/**
 * When an event loop began its last polls of the kernel, which tells how old what it reads may be. A poll names every registered channel
 * for which something waits, so what a channel brings after a poll that did not name it came after that poll began. This holds however the
 * loop was held up in between, by one long wait or many short ones. Used by the loop's thread; times are the loop's ticker's, in nanoseconds.
 */
public final class PollHistory {
    /** The Java runtime takes so many events from one poll, and leaves the others for the next (sun.nio.ch.EPollSelectorImpl). */
    private static final int MOST_EVENTS = 1_024;

    /** An event loop that keeps such a history. */
    interface Owner {
        /** Returns its history. */
        PollHistory polls();
    }

    private final Ticker ticker;
    private final boolean tasksBringData;
    /** All that had come when this poll began has been handled. */
    private long completeNs;

    private long currentNs;

    /**
     * Makes the history of a loop that has not polled yet.
     *
     * @param tasksBringData whether what comes is handed over by tasks of the loop, as between channels inside the process
     */
    PollHistory(Ticker ticker, boolean tasksBringData) {
        this.ticker = ticker;
        this.tasksBringData = tasksBringData;
        this.completeNs = ticker.nanoTime();
        this.currentNs = completeNs;
    }

    /** Returns the history of a loop that {@link Network} has made. */
    static PollHistory of(EventLoop loop) {
        if (loop instanceof Owner owner) {
            return owner.polls();
        }
        throw new IllegalArgumentException("no loop of a Network: " + loop);
    }

    /** A poll begins. */
    void begins() {
        if (tasksBringData) {
            // The tasks that followed the poll before have been run.
            completeNs = currentNs;
        }
        currentNs = ticker.nanoTime();
    }

    /** All events of the poll have been handled; the loop's tasks come next. */
    void handled(int events) {
        if (!tasksBringData && events < MOST_EVENTS) {
            completeNs = currentNs;
        }
    }

    /** Returns the last time for which all is known: what had come by then has been read, from channels that are being read. */
    public long completeNs() {
        return completeNs;
    }
}
