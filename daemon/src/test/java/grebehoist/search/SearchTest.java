package grebehoist.search;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.pool.Pool;
import grebehoist.testkit.Witness.Count;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** The real proxy keeps the four rules through the failures of a fixed set of seeds. */
class SearchTest {
    @Test
    void keepsTheRulesThroughTheSeeds() throws Exception {
        assertKept(
                Protocol.HTTP, 2_000, EnumSet.complementOf(EnumSet.of(Count.ONEWAY, Count.STREAMED, Count.BROKEN_OFF)));
    }

    /** The same with bodies and answers around every length that counts, slow and in pieces, each byte checked. */
    @Test
    void keepsTheRulesWithLongAndSlowMessages() throws Exception {
        assertKept(Protocol.HTTP_LONG, 500, EnumSet.complementOf(EnumSet.of(Count.ONEWAY)));
    }

    /** Plays the scripts of so many seeds from 1 on over a protocol. */
    static void assertKept(Protocol protocol, long scripts, Set<Count> wanted) throws InterruptedException {
        var left = new AtomicLong(scripts);
        Search.Tally tally = Search.run(
                protocol,
                1,
                () -> left.getAndDecrement() > 0,
                Math.min(8, Runtime.getRuntime().availableProcessors()),
                () -> Pool.Wiring.IN_SERVICE,
                report -> {});
        System.out.println(protocol + ", seeds 1 to " + scripts + ": " + tally.summary());
        assertThat(tally.broken())
                .as("play one again with: search --replay FILE, the file holding the script")
                .extracting(r -> "seed " + r.script().seed() + ": " + r.script() + r.violations() + r.errors())
                .isEmpty();
        assertThat(tally.scripts()).isEqualTo(scripts);
        // The scripts are no empty days: each kind of failure was brought about, and each kind of answer was given.
        assertThat(tally.faults().keySet()).containsExactlyInAnyOrder(Fault.values());
        for (Count count : wanted) {
            if (count != Count.LATE) {
                assertThat(tally.count(count)).as(count.name()).isGreaterThan(100);
            }
        }
        assertThat(tally.count(Count.LATE))
                .as("nothing is excused for being a little late where time is virtual")
                .isZero();
    }

    /** Equal scripts give equal runs: a seed is all that a report has to name. */
    @Test
    void aScriptPlaysTheSameEachTime() {
        for (long seed = 1; seed <= 20; seed++) {
            World.Report first = World.play(Script.draw(seed));
            World.Report again = World.play(Script.parse(Script.draw(seed).toString()));
            assertThat(again.counts()).as("seed " + seed).isEqualTo(first.counts());
        }
    }
}
