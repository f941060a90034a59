package grebehoist.members;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.State;
import grebehoist.engine.Listed;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SuspensionsTest {
    private final List<String> told = new ArrayList<>();
    private final Suspensions suspensions = new Suspensions((kind, listed) -> told.add(kind + " "
            + String.join(
                    " ",
                    listed.stream()
                            .map(l -> l.backend().id() + ":" + l.backend().state() + "@"
                                    + l.backend().startedAtUs())
                            .toList())));

    private static Listed line(String id, State state, long started) {
        return new Listed(new Balancer.Backend(id, state, "k", "z", 0, started, 1), "127.0.0.1:1");
    }

    private String last() {
        return told.get(told.size() - 1);
    }

    @Test
    void aSuspendedBackendDrainsWhateverIsListed() {
        suspensions.members(ListKind.FULL, List.of(line("a", State.READY, 0), line("b", State.READY, 0)));
        suspensions.set(Set.of("a"), 100);
        assertThat(last()).isEqualTo("CACHED a:DRAINING@0 b:READY@0");
        suspensions.members(ListKind.DELTA, List.of(line("a", State.READY, 50)));
        assertThat(last()).isEqualTo("DELTA a:DRAINING@50");
        suspensions.members(ListKind.FULL, List.of(line("a", State.READY, 50)));
        assertThat(last()).isEqualTo("FULL a:DRAINING@50");
        // It leaves and comes back under its id: the operators have not put it back.
        suspensions.members(ListKind.DELTA, List.of(line("a", State.GONE, 50)));
        assertThat(last()).isEqualTo("DELTA a:GONE@50");
        assertThat(suspensions.suspendedOfList()).isZero();
        suspensions.members(ListKind.DELTA, List.of(line("a", State.READY, 60)));
        assertThat(last()).isEqualTo("DELTA a:DRAINING@60");
        assertThat(suspensions.suspendedOfList()).isEqualTo(1);
    }

    @Test
    void oneThatIsPutBackCountsAsColdUntilItsStartIsListed() {
        suspensions.members(ListKind.FULL, List.of(line("a", State.READY, 7)));
        suspensions.set(Set.of("a"), 100);
        suspensions.set(Set.of(), 500);
        assertThat(last()).isEqualTo("CACHED a:READY@500");
        suspensions.members(ListKind.FULL, List.of(line("a", State.READY, 7)));
        assertThat(last()).as("discovery has not heard of the restart yet").isEqualTo("FULL a:READY@500");
        suspensions.members(ListKind.DELTA, List.of(line("a", State.READY, 450)));
        assertThat(last()).isEqualTo("DELTA a:READY@450");
    }

    @Test
    void aRestartThatIsListedInTheMeantimeIsBelieved() {
        suspensions.members(ListKind.FULL, List.of(line("a", State.READY, 7)));
        suspensions.set(Set.of("a"), 100);
        suspensions.members(ListKind.DELTA, List.of(line("a", State.READY, 300)));
        suspensions.set(Set.of(), 500);
        assertThat(last()).isEqualTo("CACHED a:READY@300");
    }

    @Test
    void nothingIsToldWhereNothingChanges() {
        suspensions.members(ListKind.FULL, List.of(line("a", State.READY, 7)));
        suspensions.set(Set.of("a"), 100);
        int before = told.size();
        suspensions.set(Set.of("a"), 200);
        assertThat(told).hasSize(before);
    }

    @Test
    void nothingIsKeptOfWhatIsResumedAndGone() {
        for (int i = 0; i < 1_000; i++) {
            String id = "b" + i;
            suspensions.members(ListKind.FULL, List.of(line(id, State.READY, 7)));
            suspensions.set(Set.of(id), 100 + i);
            suspensions.set(Set.of(), 101 + i);
        }
        suspensions.members(ListKind.FULL, List.of());
        assertThat(suspensions)
                .hasFieldOrPropertyWithValue("list", java.util.Map.of())
                .hasFieldOrPropertyWithValue("suspended", java.util.Map.of())
                .hasFieldOrPropertyWithValue("resumed", java.util.Map.of());
    }

    /** The operators of one proxy and whoever tells the fleet don't know of each other: both must put it back. */
    @Test
    void whoIsSuspendedByTwoIsBackWithTheSecond() {
        suspensions.members(ListKind.FULL, List.of(line("a", State.READY, 7)));
        suspensions.set(Set.of("a"), 100);
        int before = told.size();
        suspensions.setEverywhere(Set.of("a"), 200);
        suspensions.set(Set.of(), 300);
        assertThat(told).as("nothing changes for the module").hasSize(before);
        assertThat(suspensions.holds("a")).isTrue();
        suspensions.setEverywhere(Set.of(), 400);
        assertThat(last()).as("it may have been restarted until then").isEqualTo("CACHED a:READY@400");
        assertThat(suspensions.holds("a")).isFalse();
    }

    @Test
    void whatHoldsInAllPoolsHoldsInThoseThatComeLater() {
        var common = new CommonSuspensions();
        var early = new ArrayList<String>();
        var late = new ArrayList<String>();
        Suspensions one = common.merge((kind, listed) -> listed.forEach(
                l -> early.add(l.backend().id() + ":" + l.backend().state())));
        common.join(one, 0);
        one.members(ListKind.FULL, List.of(line("a", State.READY, 0), line("b", State.READY, 0)));
        common.set(Set.of("a", "elsewhere"), 100);
        assertThat(early).endsWith("a:DRAINING", "b:READY");
        Suspensions other = common.merge((kind, listed) -> listed.forEach(
                l -> late.add(l.backend().id() + ":" + l.backend().state())));
        common.join(other, 200);
        other.members(ListKind.FULL, List.of(line("a", State.READY, 0), line("c", State.READY, 0)));
        assertThat(late).containsExactly("a:DRAINING", "c:READY");
        common.set(Set.of(), 300);
        assertThat(early).endsWith("a:READY", "b:READY");
        assertThat(late).endsWith("a:READY", "c:READY");
        assertThat(common.ids()).isEmpty();
    }
}
