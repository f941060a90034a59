package grebehoist.fleet.distribution;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** What holders answer a writer, and what a writer makes of it. */
class WriterTest {
    private static final String SCOPE = "c1/billing";
    private final TestFleet fleet = TestFleet.started(3, 1, 3);
    private final List<Integer> holders = fleet.layout.holders(SCOPE);
    private final int a = holders.get(0);
    private final int b = holders.get(1);
    private final int c = holders.get(2);

    private static byte[] bytes(String value) {
        return value.getBytes(StandardCharsets.UTF_8);
    }

    /** Carries only some calls; the rest is never answered. */
    private Writer.Result some(Writer writer, List<Call> first, Predicate<Call> carried) {
        Deque<Call> calls = new ArrayDeque<>(first);
        while (!calls.isEmpty()) {
            Call call = calls.poll();
            calls.addAll(
                    carried.test(call)
                            ? writer.answered(call, fleet.holder(call.machine()).answer(fleet.now, call))
                            : writer.gaveUp(call));
        }
        return writer.result();
    }

    @Test
    void anUnknownScopeIsRefusedAndSaid() {
        Writer.Result r = fleet.set(fleet.writer(SCOPE), "k", "v");
        assertThat(r).isInstanceOf(Writer.Refused.class);
        assertThat(r.toString()).contains("unknown scope c1/billing");
    }

    @Test
    void whatIsTooLargeIsRefusedWithWhatAndWhere() {
        fleet.create(SCOPE);
        Writer w = fleet.writer(SCOPE);
        assertThat(w.change(1, "k", new byte[97])).isEmpty();
        assertThat(w.result())
                .isEqualTo(new Writer.Refused("value of k in c1/billing has 97 bytes: at most 96 are wanted"));
        assertThat(w.change(1, "k".repeat(49), new byte[0])).isEmpty();
        assertThat(w.result().toString()).contains("in c1/billing has 49 bytes");
        assertThat(fleet.set(w, "k", "v")).as("the next one goes on").isEqualTo(new Writer.Taken(1));
        assertThatThrownBy(() -> new Writer(fleet.layout, SCOPE, Item.MOST_VERSION))
                .hasMessageContaining("epoch");
    }

    @Test
    void aScopeIsCreatedOnceAndMayBeginLater() {
        Writer w = fleet.writer(SCOPE);
        assertThat(fleet.carry(w, w.create(700))).isEqualTo(new Writer.Taken(700));
        assertThat(fleet.carry(w, w.create(3))).as("it is there").isEqualTo(new Writer.Taken(700));
        assertThat(fleet.set(w, "k", "v")).isEqualTo(new Writer.Taken(701));
        Writer other = fleet.writer("a scope with a long name");
        assertThat(fleet.carry(other, other.create(-1)).toString()).contains("out of bounds");
    }

    @Test
    void anOlderEpochIsRefusedForGood() {
        fleet.create(SCOPE);
        Writer old = fleet.writer(SCOPE);
        Writer young = fleet.writer(SCOPE);
        assertThat(fleet.set(old, "k", "old")).isEqualTo(new Writer.Taken(1));
        assertThat(fleet.set(young, "k", "young")).isEqualTo(new Writer.Taken(2));
        assertThat(fleet.set(old, "k", "old again"))
                .isEqualTo(new Writer.Refused("version 2 of c1/billing is another change: another writer has begun"));
        Writer.Result r = fleet.set(old, "k", "old again");
        assertThat(r).isInstanceOf(Writer.Refused.class);
        assertThat(r.toString()).contains("is older than").contains(SCOPE);
        assertThat(fleet.set(young, "k", "younger")).isEqualTo(new Writer.Taken(3));
        assertThat(TestFleet.text(fleet.holder(a).items(SCOPE).get(0))).isEqualTo("younger");
    }

    @Test
    void aGapIsRefusedAndMendedFromTheOthers() {
        fleet.create(SCOPE);
        fleet.network = (from, to) -> from == c || to == c;
        Writer w = fleet.writer(SCOPE);
        for (int i = 1; i <= 5; i++) {
            assertThat(some(w, w.change(2, "k" + i, bytes("v")), call -> call.machine() != c))
                    .isEqualTo(new Writer.Taken(i));
        }
        Answer gap =
                fleet.holder(c).answer(fleet.now, new Call.Offer(c, 1L << 50, new Item(2, SCOPE, "k", bytes("v"), 6)));
        assertThat(gap).isEqualTo(new Answer.Refusal("gap in c1/billing: head is 0, offered is 6", 0, false));
        fleet.network = (from, to) -> false;
        fleet.until("the third has all", () -> fleet.holder(c).version(SCOPE) == 5);
        assertThat(fleet.holder(c).items(SCOPE)).isEqualTo(fleet.holder(a).items(SCOPE));
    }

    @Test
    void theSameChangeTwiceIsOne() {
        fleet.create(SCOPE);
        var item = new Item(2, SCOPE, "k", bytes("v"), 1);
        Answer first = fleet.holder(a).answer(fleet.now, new Call.Offer(a, 8, item));
        assertThat(first).isInstanceOf(Answer.Held.class);
        assertThat(fleet.holder(a).answer(fleet.now, new Call.Offer(a, 8, item)))
                .isEqualTo(first);
        fleet.holder(b).answer(fleet.now, new Call.Offer(b, 8, item));
        fleet.until(
                "taken",
                () -> fleet.holder(a).version(SCOPE) == 1 && fleet.holder(c).version(SCOPE) == 1);
        Answer again = fleet.holder(a).answer(fleet.now, new Call.Offer(a, 8, item));
        assertThat(again).isInstanceOf(Answer.Held.class);
        assertThat(((Answer.Held) again).taken()).isTrue();
        assertThat(fleet.holder(a).version(SCOPE)).isEqualTo(1);
        var another = new Item(2, SCOPE, "k", bytes("w"), 1);
        assertThat(fleet.holder(a).answer(fleet.now, new Call.Offer(a, 9, another)))
                .as("another one has its place")
                .isEqualTo(new Answer.Refusal(
                        "version 1 of c1/billing is another change: another writer has begun", 1, true));
        assertThat(fleet.holder(a).answer(fleet.now, new Call.Offer(a, 0, new Item(2, SCOPE, "k", bytes("w"), 2))))
                .as("only a question")
                .isInstanceOf(Answer.Refusal.class);
    }

    @Test
    void twoHoldersCommitWithoutTheWriter() {
        fleet.create(SCOPE);
        Writer w = fleet.writer(SCOPE);
        // Nobody is told that it was taken, and the writer hears of one only.
        Writer.Result r = some(w, w.change(2, "k", bytes("v")), call -> {
            if (call instanceof Call.Offer o) {
                fleet.holder(o.machine()).answer(fleet.now, o);
                return o.machine() == a;
            }
            return call instanceof Call.Open;
        });
        assertThat(r).isInstanceOf(Writer.Unknown.class);
        fleet.until(
                "taken", () -> holders.stream().allMatch(h -> fleet.holder(h).version(SCOPE) == 1));
        assertThat(fleet.carry(w, w.retry())).as("the same number").isEqualTo(new Writer.Taken(1));
        assertThat(fleet.holder(b).version(SCOPE)).isEqualTo(1);
    }

    @Test
    void whatOneHolderHasIsUnknownAndANewWriterTakesItUp() {
        fleet.create(SCOPE);
        fleet.network = (from, to) -> true;
        Writer w = fleet.writer(SCOPE);
        Writer.Result r =
                some(w, w.change(2, "k", bytes("first")), call -> call instanceof Call.Open || call.machine() == a);
        assertThat(r).isInstanceOf(Writer.Unknown.class);
        assertThat(fleet.holder(a).version(SCOPE)).isZero();
        Writer next = fleet.writer(SCOPE);
        assertThat(fleet.set(next, "other", "second")).isEqualTo(new Writer.Taken(2));
        assertThat(fleet.holder(a).items(SCOPE)).extracting(TestFleet::text).containsExactly("first", "second");
        assertThat(fleet.carry(w, w.retry()))
                .as("the older writer learns what became of it")
                .isEqualTo(new Writer.Taken(1));
    }

    @Test
    void whatLostItsPlaceIsRefused() {
        fleet.create(SCOPE);
        fleet.network = (from, to) -> true;
        Writer w = fleet.writer(SCOPE);
        assertThat(some(w, w.change(2, "k", bytes("first")), call -> call instanceof Call.Open || call.machine() == a))
                .isInstanceOf(Writer.Unknown.class);
        Writer next = fleet.writer(SCOPE);
        // It does not reach the one that has it.
        assertThat(some(next, next.change(2, "other", bytes("second")), call -> call.machine() != a))
                .isEqualTo(new Writer.Taken(1));
        assertThat(fleet.carry(w, w.retry())).isInstanceOf(Writer.Refused.class);
        fleet.network = (from, to) -> false;
        fleet.until(
                "all have the same",
                () -> holders.stream().allMatch(h -> fleet.holder(h).version(SCOPE) == 1));
        fleet.run(3 * TestFleet.S);
        assertThat(fleet.holder(a).items(SCOPE)).extracting(TestFleet::text).containsExactly("second");
    }

    /** Its own change, that only one has, has lost its place to another writer's that only one has: which is not settled either. */
    @Test
    void aWriterWhoseChangeMayStillComeNeverSaysRefused() {
        fleet.create(SCOPE);
        fleet.network = (from, to) -> true;
        Writer w = fleet.writer(SCOPE);
        assertThat(some(w, w.change(2, "k", bytes("first")), call -> call instanceof Call.Open || call.machine() == a))
                .isInstanceOf(Writer.Unknown.class);
        assertThat(some(w, w.retry(), call -> false)).isInstanceOf(Writer.Unknown.class);
        assertThat(some(w, w.retry(), call -> call instanceof Call.Open)).isInstanceOf(Writer.Unknown.class);
        assertThat(some(w, w.retry(), call -> call instanceof Call.Open || call.machine() == c))
                .isInstanceOf(Writer.Unknown.class);
        assertThat(fleet.carry(w, w.retry())).isEqualTo(new Writer.Taken(1));
    }

    @Test
    void withoutAMajorityNothingIsSentAndARefusalIsFinal() {
        fleet.create(SCOPE);
        Writer w = fleet.writer(SCOPE);
        assertThat(some(w, w.change(2, "k", bytes("v")), call -> call.machine() == a))
                .isInstanceOf(Writer.Refused.class)
                .hasToString("Refused[why=2 of 3 holders did not answer]");
        assertThat(fleet.set(w, "l", "v")).isEqualTo(new Writer.Taken(1));
        assertThat(fleet.holder(a).items(SCOPE)).extracting(Item::key).containsExactly("l");
    }

    /** What a holder said before it lost its memory counts for nothing. */
    @Test
    void answersOfAFormerLifeDoNotCount() {
        Writer w = heldByOneThatStartsAnewAndByAnother();
        assertThat(w.result())
                .as("the second's answer shows that the first one's is of a former life")
                .isInstanceOf(Writer.Unknown.class);
        assertThat(fleet.carry(w, w.retry())).isEqualTo(new Writer.Taken(1));
    }

    /** The same where that rule is broken: one holder only has what is said to be taken. */
    @Test
    void ifTheyDidATakenChangeWouldBeHeldByOne() {
        fleet.rules = new Rules() {
            @Override
            protected boolean together(int x, Lives ofX, int y, Lives ofY) {
                return true;
            }
        };
        Writer w = heldByOneThatStartsAnewAndByAnother();
        assertThat(w.result()).isEqualTo(new Writer.Taken(1));
        var change = new Item(2, SCOPE, "k", bytes("v"), 1);
        assertThat(holders.stream().filter(h -> fleet.holder(h).knows(change))).containsExactly(b);
    }

    /** The first holder accepts, and starts anew; the second one accepts then; the third is not reached. */
    private Writer heldByOneThatStartsAnewAndByAnother() {
        fleet.create(SCOPE);
        Writer w = fleet.writer(SCOPE);
        var calls = new ArrayDeque<>(w.change(2, "k", bytes("v")));
        while (!(calls.peek() instanceof Call.Offer)) {
            Call call = calls.poll();
            calls.addAll(w.answered(call, fleet.holder(call.machine()).answer(fleet.now, call)));
        }
        Call offer = calls.stream().filter(o -> o.machine() == a).findFirst().orElseThrow();
        Answer held = fleet.holder(a).answer(fleet.now, offer);
        assertThat(held).isInstanceOf(Answer.Held.class);
        fleet.kill(a);
        fleet.run(TestFleet.S / 10);
        fleet.machine(a);
        fleet.until("it counts again", () -> fleet.holder(a).counts(SCOPE));
        w.answered(offer, held);
        Call second = calls.stream().filter(o -> o.machine() == b).findFirst().orElseThrow();
        w.answered(second, fleet.holder(b).answer(fleet.now, second));
        w.gaveUp(calls.stream().filter(o -> o.machine() == c).findFirst().orElseThrow());
        return w;
    }

    @Test
    void aScopeHasABound() {
        var few = new DistributionTerms(
                20_000,
                50_000,
                2_000_000,
                50_000,
                400_000,
                2_000_000,
                3,
                8_000_000,
                1_000_000,
                7_200_000_000L,
                100,
                1_500,
                6_000,
                24_000,
                2_000_000,
                2,
                3);
        var small = new TestFleet(1, 1, few, 4);
        small.machine(0);
        Writer w = small.writer("s");
        assertThat(small.carry(w, w.create(0))).isEqualTo(new Writer.Taken(0));
        for (int i = 0; i < 3; i++) {
            assertThat(small.set(w, "k" + i, "v")).isEqualTo(new Writer.Taken(i + 1));
        }
        assertThat(small.set(w, "k3", "v").toString())
                .contains("s has 3 items, and no more than that: k3 is one too many");
        assertThat(small.set(w, "k2", "w")).as("another value").isEqualTo(new Writer.Taken(4));
        assertThat(small.set(w, "k2", null)).isEqualTo(new Writer.Taken(5));
        assertThat(small.set(w, "k3", "v")).isEqualTo(new Writer.Taken(6));
        small.create("t");
        Writer u = small.writer("u");
        assertThat(small.carry(u, u.create(0)).toString()).contains("machine 0 holds 2 scopes, and no more than that");
        assertThat(small.holder(0).answer(0, new Call.Open(1, "s", 3)).toString())
                .contains("machine 0 does not hold s: [0] do");
    }
}
