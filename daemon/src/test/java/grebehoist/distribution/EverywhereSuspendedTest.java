package grebehoist.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.fleet.distribution.Item;
import org.junit.jupiter.api.Test;

class EverywhereSuspendedTest {
    private final EverywhereSuspended suspended = new EverywhereSuspended();

    private static Item item(int kind, String scope, String key) {
        return new Item(kind, scope, key, new byte[0], 1);
    }

    @Test
    void whoIsSuspendedByTwoScopesIsBackWithTheSecond() {
        assertThat(suspended.applied(item(Item.SUSPENSION, "fleet", "a"))).isTrue();
        assertThat(suspended.applied(item(Item.SUSPENSION, "fleet", "a")))
                .as("again")
                .isFalse();
        assertThat(suspended.applied(item(Item.SUSPENSION, "c1/x", "a"))).isFalse();
        assertThat(suspended.removed(item(Item.SUSPENSION, "fleet", "a"))).isFalse();
        assertThat(suspended.ids()).containsExactly("a");
        assertThat(suspended.removed(item(Item.SUSPENSION, "fleet", "a")))
                .as("twice")
                .isFalse();
        assertThat(suspended.removed(item(Item.SUSPENSION, "c1/x", "a"))).isTrue();
        assertThat(suspended.ids()).isEmpty();
    }

    @Test
    void otherKindsSuspendNobody() {
        assertThat(suspended.applied(item(2, "fleet", "a"))).isFalse();
        assertThat(suspended.ids()).isEmpty();
        suspended.applied(item(Item.SUSPENSION, "fleet", "a"));
        assertThat(suspended.applied(item(2, "fleet", "a")))
                .as("it takes the suspension's place")
                .isTrue();
        assertThat(suspended.holds("a")).isFalse();
    }
}
