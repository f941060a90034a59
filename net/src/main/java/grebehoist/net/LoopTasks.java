package grebehoist.net;

import grebehoist.engine.Counter;
import grebehoist.engine.Log;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Delayed and periodic tasks of an event loop that outlive a failure. The executor itself keeps the exception of a delayed task in a
 * future that nobody reads, and ends a periodic task with its first exception: whatever the task was to continue would be lost without a
 * word. Here a failure is logged and counted, and a periodic task goes on.
 */
public final class LoopTasks {
    private LoopTasks() {}

    /** Runs a task once, after a delay. */
    public static Future<?> after(EventExecutor loop, Log log, long delay, TimeUnit unit, Runnable task) {
        return loop.schedule(contained(log, task), delay, unit);
    }

    /** Closes a channel after a delay; how that ends is told to the channel's own future. */
    public static Future<?> closeAfter(Channel channel, long delay, TimeUnit unit) {
        return channel.eventLoop().schedule(() -> channel.close(), delay, unit);
    }

    /** Runs a task again and again, with a pause between two runs; the first comes after one pause. */
    public static Future<?> every(EventLoop loop, Log log, long pause, TimeUnit unit, Runnable task) {
        return loop.scheduleWithFixedDelay(contained(log, task), pause, pause, unit);
    }

    /** Returns a task that logs and counts what goes wrong in it. */
    public static Runnable contained(Log log, Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                log.count(Counter.TASK_FAILED);
                log.failure("a task of the event loop failed", e);
            }
        };
    }
}
