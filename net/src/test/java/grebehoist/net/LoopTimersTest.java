package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** What a loop knows of how long it stood still. */
class LoopTimersTest {
    private final MockTicker ticker = Ticker.newMockTicker();
    private final VirtualLoop loop = new VirtualLoop(ticker);
    private final LoopTimers timers = new LoopTimers(loop, 0);

    private void standStill(long ms) {
        ticker.advance(ms, TimeUnit.MILLISECONDS);
        loop.runDue();
    }

    private long arrivedAtNextPass() {
        var arrived = new AtomicLong();
        loop.execute(() -> arrived.set(timers.arrivedAt()));
        loop.runDue();
        return arrived.get();
    }

    /**
     * A process is stopped for 2 s, and taking in what came meanwhile holds its loop up again: what is read then may still be as old as the
     * first stop. Once, requests of clients who had waited for 3 s went to backends after their time.
     */
    @Test
    void aStopOnTheHeelsOfAnotherDoesNotHideIt() {
        for (int i = 0; i < 10; i++) {
            standStill(10);
        }
        assertThat(timers.settling()).isFalse();
        ticker.advance(2_000, TimeUnit.MILLISECONDS);
        assertThat(timers.settling()).isTrue();
        var inFirstPass = new AtomicLong();
        loop.execute(() -> {
            ticker.advance(80, TimeUnit.MILLISECONDS);
            inFirstPass.set(timers.arrivedAt());
        });
        loop.runDue();
        assertThat(inFirstPass).hasValue(100_000);
        // And it goes away.
        for (int i = 0; i < 3; i++) {
            standStill(10);
        }
        assertThat(arrivedAtNextPass()).isEqualTo(timers.now());
        assertThat(timers.settling()).isFalse();
    }

    /** Waits that are each too short to be seen add up: what waits through all of them is as old as the poll before the first. */
    @Test
    void manyShortStopsInOnePassAddUp() {
        standStill(10);
        standStill(10);
        long before = timers.now();
        var last = new AtomicLong();
        for (int i = 0; i < 10; i++) {
            loop.execute(() -> {
                ticker.advance(10, TimeUnit.MILLISECONDS);
                last.set(timers.arrivedAt());
            });
        }
        loop.runDue();
        assertThat(last.get()).isLessThanOrEqualTo(before);
        assertThat(timers.now()).isEqualTo(before + 100_000);
    }
}
