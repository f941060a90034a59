package grebehoist.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The threads on which an event loop's listeners call accept(2). The runtime repeats that call in native code for as long as it fails with
 * ECONNABORTED: on the loop's own thread one such failure would hold up every connection that is there.
 *
 * <p>A listener has one call under way at most, so there are never more threads than listeners, and usually one. They hold no state and
 * keep nothing alive; what they accept is handed to the loop.
 */
final class AcceptWorker implements Executor {
    /** A thread that has nothing to do for so long ends. */
    private static final long IDLE_S = 60;

    private final ThreadPoolExecutor threads;

    /** Makes one that lives as long as a loop. */
    AcceptWorker(EventLoop loop) {
        threads = new ThreadPoolExecutor(
                0, Integer.MAX_VALUE, IDLE_S, TimeUnit.SECONDS, new SynchronousQueue<>(), AcceptWorker::thread);
        loop.terminationFuture().addListener(f -> threads.shutdown());
    }

    private static Thread thread(Runnable work) {
        var thread = new Thread(work, "accept");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Runs a call soon, on another thread than the caller's.
     *
     * @throws RejectedExecutionException if the loop has ended
     * @throws OutOfMemoryError if the system has no thread to give
     */
    @Override
    public void execute(Runnable call) {
        threads.execute(call);
    }
}
