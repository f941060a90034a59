package beechfall.proxy;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * The proxy's one clock: Unix time in microseconds, read from the system once and carried on by the monotonic timer.
 * So it compares with the start times that discovery tells, and never goes back when the system's time is set.
 */
final class Clock {
    private final long unixUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long nanos = System.nanoTime();

    long now() {
        return unixUs + (System.nanoTime() - nanos) / 1_000;
    }
}
