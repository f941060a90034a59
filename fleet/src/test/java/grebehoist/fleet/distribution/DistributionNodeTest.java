package grebehoist.fleet.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.fleet.wire.Post;
import grebehoist.fleet.wire.Refused;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Machines and proxies together, with real bytes, on virtual time. */
class DistributionNodeTest {
    private static final long S = TestFleet.S;

    @Test
    void aChangeComesIntoForceAtAllWhoSubscribe() {
        TestFleet fleet = TestFleet.started(5, 4, 1);
        fleet.create("c1/billing");
        for (int p = 0; p < 4; p++) {
            fleet.startProxy(p, "c1/billing");
        }
        Writer w = fleet.writer("c1/billing");
        for (int i = 1; i <= 20; i++) {
            assertThat(fleet.set(w, "key" + i % 7, "v" + i)).isEqualTo(new Writer.Taken(i));
            fleet.run(100_000);
        }
        assertThat(fleet.set(w, "key3", null)).isEqualTo(new Writer.Taken(21));
        long took = fleet.until(
                "in force at all", () -> List.of(0, 1, 2, 3).stream().allMatch(p -> fleet.equal(p, "c1/billing")));
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
        assertThat(fleet.holder(0).answer(fleet.now, new Call.Open(0, "c1/a", 1L << 50)))
                .isInstanceOf(Answer.Refusal.class);
        long took = fleet.until("counts", () -> fleet.holder(0).counts("c1/a"));
        System.out.println("filled after " + took / 1_000 + " ms");
        assertThat(fleet.holder(0).items("c1/a"))
                .isEqualTo(fleet.holder(1).items("c1/a"))
                .hasSize(300);
    }

    /** One datagram in five is lost, of those that repair it too. */
    @Test
    void gapsAreRepaired() {
        TestFleet fleet = TestFleet.started(3, 3, 5);
        fleet.create("c1/a");
        for (int p = 0; p < 3; p++) {
            fleet.startProxy(p, "c1/a");
        }
        fleet.network = (from, to) -> fleet.random.nextInt(5) == 0;
        Writer w = fleet.writer("c1/a");
        for (int i = 1; i <= 200; i++) {
            assertThat(fleet.set(w, "key" + i % 50, i % 7 == 0 ? null : "v" + i))
                    .isEqualTo(new Writer.Taken(i));
            fleet.run(20_000);
        }
        long took =
                fleet.until("in force at all", () -> List.of(0, 1, 2).stream().allMatch(p -> fleet.equal(p, "c1/a")));
        System.out.println("at 20% loss in force after " + took / 1_000 + " ms");
        assertThat(took).isLessThan(11 * S);
        List<Long> versions = fleet.told.stream()
                .filter(t -> t.by() == 3 && t.change() instanceof DistributionChange.InForce)
                .map(t -> ((DistributionChange.InForce) t.change()).version())
                .toList();
        assertThat(versions)
                .as("versions only grow")
                .isSorted()
                .doesNotHaveDuplicates()
                .endsWith(200L);
    }

    /** The holder that a proxy asks dies; the next change is in force within 11 s at 10% loss. */
    @Test
    void aSourceThatDiesIsLeft() {
        TestFleet fleet = TestFleet.started(5, 6, 6);
        fleet.create("c1/a");
        for (int p = 0; p < 6; p++) {
            fleet.startProxy(p, "c1/a");
        }
        Writer w = fleet.writer("c1/a");
        fleet.set(w, "k", "1");
        fleet.until("in force at all", () -> IntStream.range(0, 6).allMatch(p -> fleet.equal(p, "c1/a")));
        fleet.network = (from, to) -> fleet.random.nextInt(10) == 0;
        int dead = fleet.proxy(0).source("c1/a");
        fleet.kill(dead);
        assertThat(fleet.set(w, "k", "2")).isEqualTo(new Writer.Taken(2));
        long took = fleet.until(
                "in force at all",
                () -> IntStream.range(0, 6).allMatch(p -> fleet.proxy(p).version("c1/a") == 2));
        System.out.println("with the source dead in force after " + took / 1_000 + " ms");
        assertThat(took).isLessThan(11 * S);
        assertThat(fleet.told)
                .anySatisfy(t -> assertThat(t.change())
                        .isEqualTo(new DistributionChange.SourceMoved(
                                "c1/a", dead, fleet.proxy(0).source("c1/a"))));
    }

    /** What a proxy has is not what its source has, at the same version: all of it is got anew, and nothing is out of force meanwhile. */
    @Test
    void aStateThatDiffersIsGotAnew() {
        TestFleet fleet = TestFleet.started(3, 1, 7);
        fleet.create("c1/a");
        fleet.startProxy(0, "c1/a");
        Writer w = fleet.writer("c1/a");
        for (int i = 1; i <= 100; i++) {
            fleet.set(w, "key" + i, "v");
        }
        fleet.until("in force", () -> fleet.equal(0, "c1/a"));
        fleet.run(3 * S);
        // Those machines end, and a fleet begins anew whose scope has come to the same version by other changes.
        for (int m = 0; m < 3; m++) {
            fleet.kill(m);
        }
        for (int m = 0; m < 3; m++) {
            fleet.machine(m);
        }
        fleet.until(
                "all machines know each other",
                () -> IntStream.range(0, 3).allMatch(m -> fleet.holder(m).unheard() == 0));
        fleet.run(9 * S);
        assertThat(fleet.proxy(0).items("c1/a"))
                .as("no such scope erases nothing")
                .hasSize(100);
        assertThat(fleet.told)
                .anySatisfy(t -> assertThat(t.change()).isInstanceOf(DistributionChange.NoSuchScope.class));
        fleet.create("c1/a");
        Writer other = fleet.writer("c1/a");
        int told = fleet.told.size();
        for (int i = 1; i <= 100; i++) {
            fleet.set(other, "key" + i % 50, "w");
        }
        fleet.until("the other state is in force", () -> fleet.equal(0, "c1/a"));
        assertThat(fleet.proxy(0).items("c1/a")).hasSize(50);
        List<DistributionChange> news = fleet.told.subList(told, fleet.told.size()).stream()
                .filter(t -> t.by() == 3)
                .map(TestFleet.Told::change)
                .toList();
        assertThat(news.stream().filter(DistributionChange.Removed.class::isInstance))
                .hasSize(51);
        assertThat(news.stream().filter(DistributionChange.Applied.class::isInstance))
                .hasSize(50);
    }

    /** A removal was forgotten before a proxy that was cut off has heard of it. */
    @Test
    void aForgottenRemovalIsMissedByNobody() {
        var s = DistributionTerms.standard();
        var terms = new DistributionTerms(
                s.machineTickUs(),
                s.proxyTickUs(),
                s.digestUs(),
                s.ackUs(),
                s.retryUs(),
                s.mostRetryUs(),
                s.patience(),
                s.awayUs(),
                s.repairUs(),
                10 * S,
                s.mostTombstones(),
                s.pacePerS(),
                s.burst(),
                s.fillPerS(),
                s.machinePerS(),
                s.mostScopes(),
                s.mostItems());
        var fleet = new TestFleet(3, 1, terms, 8);
        IntStream.range(0, 3).forEach(fleet::machine);
        fleet.until(
                "all machines know each other",
                () -> IntStream.range(0, 3).allMatch(m -> fleet.holder(m).unheard() == 0));
        fleet.create("c1/a");
        fleet.startProxy(0, "c1/a");
        Writer w = fleet.writer("c1/a");
        fleet.set(w, "stays", "1");
        fleet.set(w, "goes", "1");
        fleet.until("in force", () -> fleet.equal(0, "c1/a"));
        fleet.run(3 * S);
        fleet.network = (from, to) -> from == 3 || to == 3;
        fleet.set(w, "goes", null);
        fleet.run(20 * S);
        fleet.set(w, "later", "1");
        fleet.network = (from, to) -> false;
        fleet.until("in force", () -> fleet.equal(0, "c1/a"));
        assertThat(fleet.proxy(0).items("c1/a")).extracting(Item::key).containsExactly("later", "stays");
        assertThat(fleet.told).anySatisfy(t -> assertThat(t.change()).isInstanceOf(DistributionChange.Refilling.class));
    }

    @Test
    void aScopeOfTenThousandItems() {
        TestFleet fleet = TestFleet.started(3, 2, 9);
        fleet.create("fleet");
        Writer w = fleet.writer("fleet");
        for (int i = 1; i <= 10_000; i++) {
            assertThat(fleet.set(w, "tenant" + i, "value" + i)).isEqualTo(new Writer.Taken(i));
        }
        fleet.startProxy(0, "fleet");
        fleet.network = (from, to) -> fleet.random.nextInt(10) == 0;
        long took = fleet.until("in force", () -> fleet.equal(0, "fleet"));
        System.out.println("10,000 items in force after " + took / 1_000 + " ms");
        fleet.kill(0);
        fleet.machine(0);
        long filled = fleet.until("filled", () -> fleet.holder(0).counts("fleet"));
        System.out.println("10,000 items at a machine from nothing after " + filled / 1_000 + " ms");
        assertThat(fleet.holder(0).items("fleet")).isEqualTo(fleet.holder(1).items("fleet"));
        assertThat(fleet.set(w, "tenant5", null)).isEqualTo(new Writer.Taken(10_001));
        fleet.until("in force", () -> fleet.equal(0, "fleet"));
    }

    @Test
    void theGreatestItemAndAKindThatNobodyKnows() {
        TestFleet fleet = TestFleet.started(3, 1, 10);
        String scope = "s".repeat(24);
        fleet.create(scope);
        fleet.startProxy(0, scope);
        Writer w = fleet.writer(scope);
        var value = new byte[96];
        fleet.random.nextBytes(value);
        assertThat(fleet.carry(w, w.change(255, "k".repeat(48), value))).isEqualTo(new Writer.Taken(1));
        fleet.until("in force", () -> fleet.equal(0, scope));
        assertThat(fleet.proxy(0).items(scope)).containsExactly(new Item(255, scope, "k".repeat(48), value, 1));
        assertThat(fleet.sent).allMatch(s -> s.bytes() <= 256);
    }

    /** 600 changes at once: in every 11 s window a proxy gets what it may and no more; the rest comes later. */
    @Test
    void whatAProxyGetsIsPaced() {
        TestFleet fleet = TestFleet.started(3, 1, 11);
        fleet.create("c1/a");
        fleet.startProxy(0, "c1/a");
        Writer w = fleet.writer("c1/a");
        fleet.set(w, "k", "v");
        fleet.run(10 * S);
        long from = fleet.now;
        for (int i = 0; i < 600; i++) {
            fleet.set(w, "key" + i, "a value of some length, as configuration is");
        }
        long took = fleet.until("in force", () -> fleet.equal(0, "c1/a"));
        System.out.println("600 changes at once in force after " + took / 1_000 + " ms");
        long most = 0;
        for (long at = from; at < fleet.now; at += S / 10) {
            long begin = at;
            most = Math.max(
                    most,
                    fleet.sent.stream()
                            .filter(x ->
                                    (x.to() == 3 || x.from() == 3) && x.atUs() >= begin && x.atUs() < begin + 11 * S)
                            .mapToLong(TestFleet.Sent::bytes)
                            .sum());
        }
        System.out.println("most in 11 s: " + most + " bytes");
        assertThat(most).isLessThan(11 * 3_000);
    }

    @Test
    void garbageIsCountedByCauseAndChangesNothing() {
        TestFleet fleet = TestFleet.started(3, 1, 12);
        fleet.create("c1/a");
        fleet.startProxy(0, "c1/a");
        fleet.run(S);
        int m = fleet.proxy(0).source("c1/a");
        for (int i = 0; i < 1_000; i++) {
            var bytes = new byte[fleet.random.nextInt(300)];
            fleet.random.nextBytes(bytes);
            fleet.nodes[m].received(fleet.now, Post.sender(bytes), bytes);
            fleet.nodes[3].received(fleet.now, m, bytes);
            fleet.run(10_000);
        }
        assertThat(fleet.nodes[m].refused().get(Refused.TOO_LONG)).isGreaterThan(50);
        assertThat(fleet.nodes[3].refused().get(Refused.UNREADABLE)).isGreaterThan(500);
        Writer w = fleet.writer("c1/a");
        fleet.set(w, "k", "v");
        fleet.until("in force", () -> fleet.equal(0, "c1/a"));
        assertThat(fleet.nodes[3].unreadable()).isZero();
    }

    /** The dead are not waited for; a late one counts as behind. */
    @Test
    void progressTellsWhoIsBehindAndWhoIsAway() {
        TestFleet fleet = TestFleet.started(1, 4, 13);
        fleet.create("c1/a");
        for (int p = 0; p < 4; p++) {
            fleet.startProxy(p, "c1/a");
        }
        Writer w = fleet.writer("c1/a");
        fleet.set(w, "k", "1");
        fleet.run(5 * S);
        Progress all = fleet.holder(0).progress(fleet.now, "c1/a");
        assertThat(all.known()).isEqualTo(4);
        assertThat(all.inForce()).isEqualTo(4);
        assertThat(all.behind()).isEmpty();
        // One dies, one hears nothing and is heard, one is not heard.
        fleet.kill(1);
        fleet.network = (from, to) -> to == 2 || from == 3;
        fleet.set(w, "k", "2");
        fleet.run(2 * S);
        Progress soon = fleet.holder(0).progress(fleet.now, "c1/a");
        assertThat(soon.version()).isEqualTo(2);
        assertThat(soon.inForce()).isEqualTo(1);
        assertThat(soon.behind()).extracting(Progress.Behind::proxy).containsExactly(1, 2, 3);
        assertThat(soon.behind()).allSatisfy(b -> assertThat(b.forUs()).isBetween(19 * S / 10, 21 * S / 10));
        fleet.run(10 * S);
        Progress later = fleet.holder(0).progress(fleet.now, "c1/a");
        assertThat(later.away())
                .as("the dead one, and the one that isn't heard")
                .isEqualTo(2);
        assertThat(later.known()).isEqualTo(2);
        assertThat(later.behind()).extracting(Progress.Behind::proxy).containsExactly(2);
        fleet.network = (from, to) -> false;
        fleet.run(5 * S);
        Progress again = fleet.holder(0).progress(fleet.now, "c1/a");
        assertThat(again.inForce()).isEqualTo(3);
        assertThat(again.away()).isEqualTo(1);
        assertThat(again.p50Us()).isBetween(1L, 200_000L);
        assertThat(again.worstUs()).as("the late ones count").isGreaterThan(11 * S);
        assertThat(fleet.holder(0).progress(fleet.now, "no/such")).isNull();
    }

    /** What is told is what counts: the version, and the hash of the state with it. */
    @Test
    void whoAcknowledgesAnotherStateIsNotCounted() {
        TestFleet fleet = TestFleet.started(1, 3, 16);
        fleet.create("c1/a");
        fleet.set(fleet.writer("c1/a"), "k", "1");
        Holder holder = fleet.holder(0);
        int hash = Ids.state("k", 1);
        holder.received(
                fleet.now,
                1,
                new Message.Digest(1, 1, List.of(new Message.Have(Ids.of("c1/a"), 1, hash, false, List.of()))));
        holder.received(
                fleet.now,
                2,
                new Message.Digest(1, 1, List.of(new Message.Have(Ids.of("c1/a"), 1, hash + 1, false, List.of()))));
        holder.received(
                fleet.now,
                3,
                new Message.Digest(1, 1, List.of(new Message.Have(Ids.of("c1/a"), 0, 0, true, List.of()))));
        holder.received(
                fleet.now,
                3,
                new Message.Digest(2, 1, List.of(new Message.Have(Ids.of("c9/none"), 0, 0, true, List.of()))));
        Progress p = holder.progress(fleet.now, "c1/a");
        assertThat(p.known()).isEqualTo(3);
        assertThat(p.inForce()).isEqualTo(1);
        assertThat(p.behind()).extracting(Progress.Behind::proxy).containsExactly(2, 3);
        assertThat(p.behind()).extracting(Progress.Behind::version).containsExactly(1L, 0L);
    }

    /** One of three is not reached as a scope is created, and another machine of the fleet is dead: it learns of the scope by its name. */
    @Test
    void aScopeThatWasCreatedElsewhereIsLearnt() {
        TestFleet fleet = TestFleet.started(5, 1, 17);
        List<Integer> holders = fleet.layout.holders("c1/a");
        int late = holders.get(2);
        fleet.kill(IntStream.range(0, 5)
                .filter(m -> !holders.contains(m))
                .findFirst()
                .orElseThrow());
        Writer w = fleet.writer("c1/a");
        for (Call call : w.create(40)) {
            List<Call> more = call.machine() == late
                    ? w.gaveUp(call)
                    : w.answered(call, fleet.holder(call.machine()).answer(fleet.now, call));
            assertThat(more).isEmpty();
        }
        assertThat(w.result()).isEqualTo(new Writer.Taken(40));
        fleet.until(
                "learnt",
                () -> fleet.holder(late).version("c1/a") == 40
                        && fleet.holder(late).counts("c1/a"));
        assertThat(fleet.set(w, "k", "v")).isEqualTo(new Writer.Taken(41));
    }

    @Test
    void aProxySubscribesAndUnsubscribesAsItRuns() {
        TestFleet fleet = TestFleet.started(3, 1, 14);
        fleet.create("c1/a");
        fleet.create("c2/b");
        fleet.startProxy(0);
        fleet.set(fleet.writer("c1/a"), "k", "1");
        fleet.set(fleet.writer("c2/b"), "k", "2");
        assertThat(fleet.proxy(0).subscribe("c1/a")).isNull();
        assertThat(fleet.proxy(0).subscribe("c2/b")).isNull();
        assertThat(fleet.proxy(0).subscribe("a name that is too long for a scope"))
                .contains("35 bytes");
        fleet.until("both in force", () -> fleet.equal(0, "c1/a") && fleet.equal(0, "c2/b"));
        fleet.proxy(0).unsubscribe("c1/a");
        fleet.run(S);
        assertThat(fleet.proxy(0).scopes()).containsExactly("c2/b");
        assertThat(IntStream.range(0, 3)
                        .map(m -> fleet.holder(m).progress(fleet.now, "c1/a").known())
                        .sum())
                .isZero();
        assertThat(fleet.proxy(0).source("c1/a")).isEqualTo(-1);
        assertThat(fleet.proxy(0).ageUs("c1/a", fleet.now)).isEqualTo(-1);
    }

    /** Two thirds of the holders have started anew one after the other: nothing is lost. */
    @Test
    void machinesThatLoseTheirMemoryInTurnsLoseNothing() {
        TestFleet fleet = TestFleet.started(3, 1, 15);
        fleet.create("c1/a");
        fleet.startProxy(0, "c1/a");
        Writer w = fleet.writer("c1/a");
        for (int round = 1; round <= 9; round++) {
            assertThat(fleet.set(w, "k" + round, "v")).isEqualTo(new Writer.Taken(round));
            int m = round % 3;
            fleet.kill(m);
            fleet.machine(m);
            fleet.until("counts", () -> fleet.holder(m).counts("c1/a"));
        }
        fleet.until("in force", () -> fleet.equal(0, "c1/a"));
        assertThat(fleet.proxy(0).items("c1/a")).hasSize(9);
    }
}
