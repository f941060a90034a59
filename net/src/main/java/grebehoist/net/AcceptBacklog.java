package grebehoist.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Tells connections that may have waited to be accepted from fresh ones. While the loop is held up they queue in the
 * kernel, first come first served, and then are accepted one in each pass of the loop: until a pass finds none, each may
 * have come, with its request, when the stop began. Nothing tells how long it waited.
 */
public final class AcceptBacklog {
    private static final long CHECK_MS = 1;
    private static final int QUIET_CHECKS = 2;

    private final LoopTimers timers;
    private final EventLoop loop;
    private long mayHaveComeAt = Long.MAX_VALUE;
    private boolean drained = true;
    private boolean accepted;
    private int quiet;

    /** Makes one for a listener. */
    public AcceptBacklog(LoopTimers timers, EventLoop loop) {
        this.timers = timers;
        this.loop = loop;
    }

    /** A connection is accepted. Returns when it may have come, or {@link Long#MAX_VALUE} for now. */
    public long accepted() {
        accepted = true;
        long since = timers.heldUpSince();
        if (since < mayHaveComeAt) {
            // A stop that was not known of begins to be caught up with.
            mayHaveComeAt = since;
            if (drained) {
                drained = false;
                quiet = 0;
                check();
            }
        }
        return drained ? Long.MAX_VALUE : mayHaveComeAt;
    }

    /**
     * Has an action run as soon as nobody waits to be accepted, as far as two looks a millisecond apart can tell: connections
     * that wait when a listener is closed are reset.
     */
    void whenEmpty(Runnable action) {
        accepted = false;
        loop.schedule(() -> {
            if (accepted) {
                whenEmpty(action);
            } else {
                action.run();
            }
        }, CHECK_MS, TimeUnit.MILLISECONDS);
    }

    /** Between two of these the loop has looked at its sockets. */
    private void check() {
        quiet = accepted ? 0 : quiet + 1;
        accepted = false;
        if (quiet >= QUIET_CHECKS) {
            drained = true;
            mayHaveComeAt = Long.MAX_VALUE;
        } else {
            loop.schedule(this::check, CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }
}
