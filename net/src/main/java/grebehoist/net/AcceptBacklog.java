package grebehoist.net;

import grebehoist.engine.Log;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Tells when nobody waits to be accepted any more. */
public final class AcceptBacklog {
    private static final long CHECK_MS = 1;

    private final EventLoop loop;
    private final Log log;
    private final BooleanSupplier callUnderWay;
    private long accepts;
    private boolean accepting = true;

    /**
     * Makes one for a listener.
     *
     * @param log hears of steps that fail
     * @param callUnderWay whether somebody is being accepted, which has no outcome yet
     */
    public AcceptBacklog(EventLoop loop, Log log, BooleanSupplier callUnderWay) {
        this.loop = loop;
        this.log = log;
        this.callUnderWay = callUnderWay;
    }

    /** From now on somebody is accepted again, or nobody is. */
    void accepting(boolean on) {
        accepting = on;
    }

    /** A connection is accepted. */
    public void accepted() {
        accepts++;
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
}
