package grebehoist.net;

import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.MockTicker;

/**
 * An event loop on virtual time, for channels inside the process. Whoever owns it runs it, on the thread that made it,
 * and moves the time on; so equal inputs give equal runs.
 */
public final class VirtualLoop extends ManualIoEventLoop implements PollHistory.Owner {
    private final PollHistory polls;

    /** Makes a loop for the calling thread. Several may share a ticker. */
    public VirtualLoop(MockTicker ticker) {
        super(null, Thread.currentThread(), LocalIoHandler.newFactory(), ticker);
        polls = new PollHistory(ticker, true);
    }

    /** Runs all that can be run without time passing. Returns whether there was anything. */
    public boolean runDue() {
        boolean any = false;
        while (runOnce() > 0) {
            any = true;
        }
        return any;
    }

    private int runOnce() {
        polls.begins();
        return runNow();
    }

    @Override
    public PollHistory polls() {
        return polls;
    }

    /** Returns in how many nanoseconds the next timer is due, or -1 where there is none. */
    public long untilNextNanos() {
        return nextScheduledTaskNano();
    }
}
