package grebehoist.operations;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.engine.RequestClaims;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ClaimTableTest {
    private static final long MS = 1_000;
    private static final long KEEP_US = 10_000 * MS;

    private final ByteBuffer memory =
            ByteBuffer.allocateDirect(ClaimTable.bytes()).order(ByteOrder.nativeOrder());
    private long nowMs = 1_000_000;
    private final RequestClaims first = claimant(1).of("pool");
    private final RequestClaims second = claimant(2).of("pool");

    private ClaimTable claimant(long number) {
        return new ClaimTable(memory, () -> nowMs, number);
    }

    @Test
    void whatOneHasClaimedIsNotTheOthers() {
        assertThat(first.claim("a", KEEP_US)).isTrue();
        assertThat(second.claim("a", KEEP_US)).isFalse();
        assertThat(first.claim("a", KEEP_US)).as("again, by the same").isTrue();
        assertThat(second.claim("b", KEEP_US)).isTrue();
        assertThat(claimant(2).of("another pool").claim("a", KEEP_US)).isTrue();
    }

    @Test
    void whatIsReleasedOrHasRunOutIsAnybodys() {
        first.claim("a", KEEP_US);
        first.claim("b", KEEP_US);
        second.release("a");
        assertThat(second.claim("a", KEEP_US)).as("not the other's to release").isFalse();
        first.release("a");
        assertThat(second.claim("a", KEEP_US)).isTrue();
        nowMs += 9_999;
        assertThat(second.claim("b", KEEP_US)).isFalse();
        nowMs += 1;
        assertThat(second.claim("b", KEEP_US)).isTrue();
    }

    /** A file that another life of the machine has left, whose clock had run for longer. */
    @Test
    void whatEndsTooFarAheadIsNoClaim() {
        first.claim("a", KEEP_US);
        nowMs -= 500_000;
        assertThat(second.claim("a", KEEP_US)).isTrue();
    }

    @Test
    void whereAllIsFullTheOldestMakeRoom() {
        for (int i = 0; i < 4 * ClaimTable.SLOTS; i++) {
            assertThat(first.claim("id" + i, KEEP_US)).isTrue();
            nowMs += i % 4 == 0 ? 1 : 0;
        }
        int held = 0;
        for (int i = 4 * ClaimTable.SLOTS - ClaimTable.SLOTS / 4; i < 4 * ClaimTable.SLOTS; i++) {
            held += second.claim("id" + i, KEEP_US) ? 0 : 1;
        }
        assertThat(held).as("of the last quarter of a table").isGreaterThan(ClaimTable.SLOTS / 4 * 9 / 10);
    }

    /** Two processes that get the same id in the same moment. */
    @Test
    void ofTwoThatClaimAtOnceOneAtTheMostHasIt() throws Exception {
        int rounds = 5_000;
        var winners = new AtomicInteger();
        var mostWinners = new AtomicInteger();
        var bothClaimed = new CyclicBarrier(2, () -> mostWinners.accumulateAndGet(winners.getAndSet(0), Math::max));
        var next = new CyclicBarrier(2);
        var threads = new ArrayList<Thread>();
        for (RequestClaims claims : List.of(first, second)) {
            threads.add(new Thread(() -> {
                try {
                    for (int i = 0; i < rounds; i++) {
                        next.await();
                        winners.addAndGet(claims.claim("id" + i, KEEP_US) ? 1 : 0);
                        bothClaimed.await();
                        claims.release("id" + i);
                    }
                } catch (InterruptedException | BrokenBarrierException e) {
                    throw new IllegalStateException(e);
                }
            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(mostWinners.get()).isEqualTo(1);
    }

    @Test
    void aFileIsSharedByWhoeverMapsIt(@TempDir Path directory) throws IOException {
        Path file = directory.resolve(StateFiles.CLAIMS);
        RequestClaims one = ClaimTable.map(file).of("pool");
        RequestClaims other = ClaimTable.map(file).of("pool");
        assertThat(one.claim("a", KEEP_US)).isTrue();
        assertThat(other.claim("a", KEEP_US)).isFalse();
        assertThat(Files.size(file)).isEqualTo(ClaimTable.bytes());
    }
}
