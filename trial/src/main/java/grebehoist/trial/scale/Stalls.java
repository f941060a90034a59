package grebehoist.trial.scale;

import java.util.concurrent.TimeUnit;

/**
 * How late a thread of this process wakes up that only sleeps: how much the machine itself holds things up. Told with the figures; it
 * excuses nothing.
 */
final class Stalls implements AutoCloseable {
    private static final long SLEEP_MS = 10;
    private static final long COUNTED_US = 100_000;

    private final Thread thread = new Thread(this::run, "stalls");
    private volatile long worstUs;
    private volatile long sumUs;
    private volatile boolean closed;

    Stalls() {
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!closed) {
                long before = Wire.now();
                TimeUnit.MILLISECONDS.sleep(SLEEP_MS);
                long lateUs = Wire.now() - before - 1_000 * SLEEP_MS;
                worstUs = Math.max(worstUs, lateUs);
                sumUs += lateUs > COUNTED_US ? lateUs : 0;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the longest stall, in microseconds. */
    long worstUs() {
        return worstUs;
    }

    /** Returns the sum of those of more than 100 ms. */
    long sumUs() {
        return sumUs;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
