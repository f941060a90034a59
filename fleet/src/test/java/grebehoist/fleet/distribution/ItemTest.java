package grebehoist.fleet.distribution;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** What can't be an item, and that this is told with what and where. */
class ItemTest {
    private static final byte[] NONE = {};

    @Test
    void boundsAreToldByWhatAndWhere() {
        assertThat(Item.flaw(256, "s", "k", NONE, 1)).isEqualTo("kind 256 of k in s: 0 to 255 is wanted");
        assertThat(Item.flaw(-1, "s", "k", NONE, 1)).contains("kind -1");
        assertThat(Item.flaw(1, "a scope with a name too long", "k", NONE, 1))
                .isEqualTo("scope a scope with a name too long has 28 bytes: 1 to 24 are wanted");
        assertThat(Item.flaw(1, "", "k", NONE, 1)).contains("has 0 bytes");
        assertThat(Item.flaw(1, null, "k", NONE, 1)).contains("scope null");
        assertThat(Item.flaw(1, "s", "k".repeat(49), NONE, 1)).contains("in s has 49 bytes: 1 to 48 are wanted");
        assertThat(Item.flaw(1, "s", "ä".repeat(25), NONE, 1))
                .as("bytes, not letters")
                .contains("has 50 bytes");
        assertThat(Item.flaw(1, "s", "", NONE, 1)).contains("has 0 bytes");
        assertThat(Item.flaw(1, "s", null, NONE, 1)).contains("key null in s");
        assertThat(Item.flaw(1, "s", "k", new byte[97], 1))
                .isEqualTo("value of k in s has 97 bytes: at most 96 are wanted");
        assertThat(Item.flaw(1, "s", "k", NONE, 0)).contains("version 0 of k in s");
        assertThat(Item.flaw(1, "s", "k", NONE, Item.MOST_VERSION + 1)).contains("version");
        assertThat(Item.flaw(255, "s".repeat(24), "k".repeat(48), new byte[96], Item.MOST_VERSION))
                .isNull();
        assertThatThrownBy(() -> new Item(300, "s", "k", NONE, 1)).hasMessageContaining("kind 300 of k in s");
    }

    @Test
    void itemsAreComparedByTheirValues() {
        assertThat(new Item(1, "s", "k", new byte[] {1}, 2))
                .isEqualTo(new Item(1, "s", "k", new byte[] {1}, 2))
                .hasSameHashCodeAs(new Item(1, "s", "k", new byte[] {1}, 2))
                .isNotEqualTo(new Item(1, "s", "k", null, 2))
                .isNotEqualTo(new Item(1, "s", "k", new byte[] {2}, 2));
        assertThat(new Item(1, "s", "k", null, 2).removed()).isTrue();
        assertThat(new Item(1, "s", "k", null, 2)).hasToString("s#2 k removed");
    }
}
