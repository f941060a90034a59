package grebehoist.fleet.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Machines and proxies together, with real bytes, on virtual time. */
class DistributionNodeTest {
    private static final long S = TestFleet.S;

    @Test
    void aChangeComesIntoForceAtAllWhoSubscribe() {
        TestFleet fleet = TestFleet.started(5, 4, 1);
        fleet.create("c1/billing");
        for (int p = 0; p < 4; p++) {
            fleet.proxy(p, "c1/billing");
        }
        Writer w = fleet.writer("c1/billing");
        for (int i = 1; i <= 20; i++) {
            assertThat(fleet.set(w, "key" + i % 7, "v" + i)).isEqualTo(new Writer.Taken(i));
            fleet.run(100_000);
        }
        assertThat(fleet.set(w, "key3", null)).isEqualTo(new Writer.Taken(21));
        long took = fleet.until("in force at all", () -> List.of(0, 1, 2, 3).stream().allMatch(p -> fleet.equal(p, "c1/billing")));
        System.out.println("in force after " + took / 1_000 + " ms");
        assertThat(took).isLessThan(S);
        assertThat(fleet.proxy(0).version("c1/billing")).isEqualTo(21);
        assertThat(fleet.proxy(0).items("c1/billing")).hasSize(6);
        assertThat(fleet.proxy(0).item("c1/billing", "key3")).isNull();
        fleet.run(5 * S);
        assertThat(fleet.proxy(0).ageUs("c1/billing", fleet.now)).isBetween(0L, 3 * S);
    }

    @Test
    void aMachineFromNothingFillsBeforeItCounts() {
        TestFleet fleet = TestFleet.started(3, 1, 2);
        fleet.create("c1/a");
        Writer w = fleet.writer("c1/a");
        for (int i = 1; i <= 300; i++) {
            assertThat(fleet.set(w, "key" + i, "value " + i)).isEqualTo(new Writer.Taken(i));
        }
        fleet.kill(0);
        fleet.run(S);
        fleet.machine(0);
        assertThat(fleet.holder(0).counts("c1/a")).isFalse();
        assertThat(fleet.holder(0).answer(fleet.now, new Call.Open(0, "c1/a", 1L << 50))).isInstanceOf(Answer.Refusal.class);
        long took = fleet.until("counts", () -> fleet.holder(0).counts("c1/a"));
        System.out.println("filled after " + took / 1_000 + " ms");
        assertThat(fleet.holder(0).items("c1/a")).isEqualTo(fleet.holder(1).items("c1/a")).hasSize(300);
    }
}
