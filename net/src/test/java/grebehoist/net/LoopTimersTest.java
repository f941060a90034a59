package grebehoist.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
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

    /**
     * A process is stopped for 2 s, and taking in what came meanwhile holds its loop up again: what it accepts then may still be as old as the
     * first stop. Once, requests of clients who had waited for 3 s went to backends after their time.
     */
    @Test
    void aStopOnTheHeelsOfAnotherDoesNotHideIt() {
        for (int i = 0; i < 10; i++) {
            standStill(10);
        }
        assertThat(timers.catchingUp()).isFalse();
        standStill(2_000);
        long since = timers.heldUpSince();
        assertThat(since).isEqualTo(100_000);
        standStill(80);
        assertThat(timers.heldUpSince()).isEqualTo(since);
        // And it goes away.
        for (int i = 0; i < 400; i++) {
            standStill(10);
        }
        assertThat(timers.heldUpSince()).isEqualTo(Long.MAX_VALUE);
    }
}
