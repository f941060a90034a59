package grebehoist.members;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Backend;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.State;
import grebehoist.engine.Listed;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DrainNewsTest {
    private long nowMs = 1_000_000;
    private final List<ListKind> passed = new ArrayList<>();
    private final List<Map<String, Long>> published = new ArrayList<>();
    private final DrainNews news =
            new DrainNews((kind, listed) -> passed.add(kind), () -> nowMs, told -> published.add(told));

    private static Listed listed(String id, State state) {
        return new Listed(new Backend(id, state, "k", "a", 0, 0, 1), "x");
    }

    @Test
    void whatItIsToldIsPublishedUntilTheBackendIsBack() {
        news.members(ListKind.FULL, List.of(listed("a", State.READY), listed("b", State.READY)));
        assertThat(published).isEmpty();
        news.members(ListKind.DELTA, List.of(listed("a", State.DRAINING)));
        news.members(ListKind.DELTA, List.of(listed("b", State.GONE)));
        assertThat(published.get(1)).containsOnlyKeys("a", "b");
        news.members(ListKind.DELTA, List.of(listed("a", State.READY)));
        assertThat(published.get(2)).containsOnlyKeys("b");
        assertThat(passed).containsExactly(ListKind.FULL, ListKind.DELTA, ListKind.DELTA, ListKind.DELTA);
    }

    @Test
    void whatAWholeListLacksIsGone() {
        news.members(ListKind.CACHED, List.of(listed("a", State.READY), listed("b", State.READY)));
        news.members(ListKind.FULL, List.of(listed("a", State.READY)));
        assertThat(published.get(0)).containsOnlyKeys("b");
    }

    /** Guards against soak 5203: the new process of an upgrade, which discovery did not answer, sent to what the old one knew to drain. */
    @Test
    void whatAnotherWasToldHoldsUntilItsOwnSourceTells() {
        news.members(ListKind.CACHED, List.of(listed("a", State.READY), listed("b", State.READY)));
        news.toldElsewhere(Map.of("a", nowMs));
        assertThat(news.held()).containsExactly("a");
        nowMs += 100;
        news.members(ListKind.DELTA, List.of(listed("b", State.DRAINING)));
        assertThat(news.held()).as("of a nothing was told here").containsExactly("a");
        news.members(ListKind.DELTA, List.of(listed("a", State.READY)));
        assertThat(news.held()).isEmpty();
        news.toldElsewhere(Map.of("a", nowMs + 1));
        assertThat(news.held()).as("it drains again").containsExactly("a");
        news.toldElsewhere(Map.of());
        assertThat(news.held()).as("the other was told that it is back").isEmpty();
    }

    /** A whole list that was on its way as the other was told may be the older of the two. */
    @Test
    void aWholeListCountsOnceItCanBeNoOlder() {
        news.toldElsewhere(Map.of("a", nowMs));
        news.members(ListKind.CACHED, List.of(listed("a", State.READY)));
        nowMs += 500;
        news.members(ListKind.FULL, List.of(listed("a", State.READY)));
        assertThat(news.held()).containsExactly("a");
        nowMs += 1_000;
        news.members(ListKind.FULL, List.of(listed("a", State.READY)));
        assertThat(news.held()).isEmpty();
    }

    @Test
    void nothingHoldsForEver() {
        news.members(ListKind.CACHED, List.of(listed("a", State.READY)));
        news.toldElsewhere(Map.of("a", nowMs));
        nowMs += DrainNews.KEPT_MS - 1;
        assertThat(news.held()).containsExactly("a");
        nowMs++;
        assertThat(news.held()).isEmpty();
    }

    @Test
    void soManyAreToldAtMost() {
        var all = new ArrayList<Listed>();
        for (int i = 0; i <= DrainNews.MOST_TOLD; i++) {
            all.add(listed("b" + i, State.DRAINING));
        }
        news.members(ListKind.DELTA, all);
        assertThat(published.get(0)).hasSize(DrainNews.MOST_TOLD);
    }
}
