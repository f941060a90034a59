package grebehoist.net;

import grebehoist.engine.Log;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Tells connections that may have waited to be accepted from fresh ones. While the loop is held up, or accepts nobody for want of
 * descriptors, they queue in the kernel, first come first served, and then are accepted one in each pass of the loop: until a pass finds
 * none, each may have come, with its request, when the stop began. Nothing tells how long it waited.
 */
public final class AcceptBacklog {
    private static final long CHECK_MS = 1;
    private static final int QUIET_CHECKS = 2;

    private final LoopTimers timers;
    private final EventLoop loop;
    private final Log log;
    private final BooleanSupplier callUnderWay;
    private long mayHaveComeAt = Long.MAX_VALUE;
    private boolean drained = true;
    /** How many were accepted so far, and by the last check. */
    private long accepts;

    private long seen;
    private boolean accepting = true;
    private boolean checking;
    private int quiet;

    /**
     * Makes one for a listener.
     *
     * @param log hears of steps that fail
     * @param callUnderWay whether somebody is being accepted, which has no outcome yet
     */
    public AcceptBacklog(LoopTimers timers, EventLoop loop, Log log, BooleanSupplier callUnderWay) {
        this.timers = timers;
        this.loop = loop;
        this.log = log;
        this.callUnderWay = callUnderWay;
    }

    /** From now on somebody is accepted again, or nobody is. */
    void accepting(boolean on) {
        accepting = on;
        if (!on) {
            waitsSince(timers.now());
        } else if (!drained) {
            check();
        }
    }

    /** A call that accepts took so long: whoever is accepted by it, and after it, may have waited. */
    void delayed(long us) {
        waitsSince(timers.now() - us);
        check();
    }

    /** A connection is accepted. Returns when it may have come, or {@link Long#MAX_VALUE} for now. */
    public long accepted() {
        accepts++;
        long since = timers.heldUpSince();
        if (since < mayHaveComeAt) {
            // A stop that was not known of begins to be caught up with.
            waitsSince(since);
            check();
        }
        return drained ? Long.MAX_VALUE : mayHaveComeAt;
    }

    private void waitsSince(long since) {
        mayHaveComeAt = Math.min(mayHaveComeAt, since);
        drained = false;
        quiet = 0;
    }

    /**
     * Has an action run as soon as nobody waits to be accepted, as far as two looks a millisecond apart can tell: connections
     * that wait when a listener is closed are reset. While nobody is accepted, somebody may wait.
     */
    void whenEmpty(Runnable action) {
        long before = accepts;
        LoopTasks.after(loop, log, CHECK_MS, TimeUnit.MILLISECONDS, () -> {
            if (accepts > before || !accepting || callUnderWay.getAsBoolean()) {
                whenEmpty(action);
            } else {
                action.run();
            }
        });
    }

    /** Between two of these the loop has looked at its sockets. While nobody is accepted there is nothing to be seen. */
    private void check() {
        if (!checking) {
            checking = true;
            LoopTasks.after(loop, log, CHECK_MS, TimeUnit.MILLISECONDS, this::checked);
        }
    }

    private void checked() {
        checking = false;
        quiet = accepts > seen ? 0 : quiet + 1;
        seen = accepts;
        if (!accepting) {
            quiet = 0;
        } else if (callUnderWay.getAsBoolean()) {
            quiet = 0;
            check();
        } else if (quiet > QUIET_CHECKS) {
            drained = true;
            mayHaveComeAt = Long.MAX_VALUE;
        } else {
            check();
        }
    }
}
