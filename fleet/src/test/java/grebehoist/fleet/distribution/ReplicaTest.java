package grebehoist.fleet.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** In which order, how often and by which ways changes come makes no difference. */
class ReplicaTest {
    private static final Replica.Sink NOBODY = (item, before) -> {};
    private final Rules rules = new Rules();

    private static Link set(long prev, long version, String key) {
        return new Link(prev, version, 7, key, new byte[] {(byte) version});
    }

    private static Link remove(long prev, long version, String key) {
        return new Link(prev, version, 7, key, null);
    }

    /** Changes, removals and new items under removed keys; what is told is the same too, as it is told in turn. */
    @Test
    void shuffledRepeatedDeliveriesGiveTheSameState() {
        var drawn = new Random(4);
        for (int round = 0; round < 300; round++) {
            var book = new Book("s", rules);
            var whole = new ArrayList<Link>();
            for (int v = 1; v <= 40; v++) {
                String key = "k" + drawn.nextInt(8);
                Link link = drawn.nextInt(3) == 0 ? remove(v - 1, v, key) : set(v - 1, v, key);
                book.take(0, link, 100, NOBODY);
                whole.add(link);
            }
            var deliveries = new ArrayList<>(whole);
            // The surviving chain of a late source says the same in fewer words.
            for (Link link = book.after(0); link != null; link = book.after(link.version())) {
                deliveries.add(link);
            }
            deliveries.addAll(whole.subList(drawn.nextInt(20), 20));
            Collections.shuffle(deliveries, drawn);
            var replica = new Replica("s", rules);
            var versions = new ArrayList<Long>();
            deliveries.forEach(l -> replica.take(l, (item, before) -> versions.add(item.version())));
            assertThat(replica.have()).isEqualTo(40);
            assertThat(replica.sorted()).isEqualTo(book.replica().sorted());
            assertThat(replica.hash()).isEqualTo(book.replica().hash());
            assertThat(replica.waiting()).isZero();
            assertThat(versions).as("versions only grow").isSorted().doesNotHaveDuplicates();
        }
    }

    @Test
    void aRemovalAndANewItemUnderTheSameKeyInTheWrongOrder() {
        var replica = new Replica("s", rules);
        replica.take(set(0, 1, "k"), NOBODY);
        replica.take(set(2, 3, "k"), NOBODY);
        assertThat(replica.gaps()).containsExactly(new Message.Gap(1, 2));
        assertThat(replica.have()).isEqualTo(1);
        replica.take(remove(1, 2, "k"), NOBODY);
        assertThat(replica.item("k").version()).isEqualTo(3);
        replica.take(remove(1, 2, "k"), NOBODY);
        assertThat(replica.item("k").version())
                .as("a late removal removes nothing")
                .isEqualTo(3);
        assertThat(replica.have()).isEqualTo(3);
    }

    @Test
    void whatIsMissingIsWaitedForWithABound() {
        var replica = new Replica("s", rules);
        for (int v = 2; v < 2_000; v++) {
            replica.take(set(v - 1, v, "k" + v), NOBODY);
        }
        assertThat(replica.have()).isZero();
        assertThat(replica.gaps()).containsExactly(new Message.Gap(0, 1));
        assertThat(replica.waiting()).isEqualTo(Replica.MOST_EARLY);
        replica.take(set(0, 1, "k"), NOBODY);
        assertThat(replica.have()).as("the first of those that waited").isEqualTo(1 + Replica.MOST_EARLY);
    }

    @Test
    void nothingIsKeptOfAStateButItsItems() {
        var replica = new Replica("s", rules);
        replica.take(set(0, 1, "k"), NOBODY);
        replica.take(remove(1, 2, "k"), NOBODY);
        assertThat(replica.items()).isEmpty();
        assertThat(replica.hash()).isZero();
        replica.take(Link.nothing(2, 9), NOBODY);
        assertThat(replica.have()).isEqualTo(9);
        assertThat(List.copyOf(replica.items())).isEmpty();
    }
}
