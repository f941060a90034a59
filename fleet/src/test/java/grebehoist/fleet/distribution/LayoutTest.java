package grebehoist.fleet.distribution;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Who holds what. */
class LayoutTest {
    private static Layout of(int machines, int zones) {
        return new Layout(IntStream.range(0, machines)
                .mapToObj(m -> new Layout.Machine("zone" + m % zones))
                .toList());
    }

    private static List<String> scopes(int n) {
        return IntStream.range(0, n).mapToObj(i -> "c" + i + "/s").toList();
    }

    @Test
    void eachScopeIsHeldInThreeZones() {
        Layout layout = of(35, 13);
        for (String scope : scopes(2_000)) {
            List<Integer> holders = layout.holders(scope);
            assertThat(holders).hasSize(3).doesNotHaveDuplicates();
            assertThat(holders.stream().map(m -> m % 13).distinct()).hasSize(3);
        }
        assertThat(of(3, 1).holders("x")).as("one zone only").containsExactlyInAnyOrder(0, 1, 2);
        assertThat(of(2, 2).holders("x")).containsExactlyInAnyOrder(0, 1);
        assertThat(of(1, 1).holders("x")).containsExactly(0);
    }

    /** These came out once; every program that ever joins has to have the same. */
    @Test
    void itIsTheSameEverywhere() {
        Layout layout = of(35, 13);
        assertThat(layout.holders("fleet")).containsExactly(17, 34, 24);
        assertThat(layout.holders("c17/billing"))
                .isEqualTo(layout.holders("c17/mail"))
                .containsExactly(13, 8, 23);
        assertThat(layout.sources("c17/billing", 4_000)).containsExactly(13, 8, 23);
    }

    @Test
    void theScopesOfACellAreTogether() {
        assertThat(Layout.placement("c17/billing")).isEqualTo("c17");
        assertThat(Layout.placement("a/b/c")).isEqualTo("a/b");
        assertThat(Layout.placement("fleet")).isEqualTo("fleet");
    }

    @Test
    void machinesHoldAboutTheSameShare() {
        Layout layout = of(35, 13);
        int[] held = new int[35];
        scopes(20_000).forEach(s -> layout.holders(s).forEach(m -> held[m]++));
        // 13 zones of two or three machines: those of small zones have a little more.
        System.out.println("held by each: " + Arrays.toString(held));
        assertThat(Arrays.stream(held).min().orElse(0)).isGreaterThan(20_000 * 3 / 35 * 3 / 4);
        assertThat(Arrays.stream(held).max().orElse(0)).isLessThan(20_000 * 3 / 35 * 5 / 4);
    }

    @Test
    void proxiesShareTheHoldersOfAScope() {
        Layout layout = of(35, 13);
        int[] first = new int[35];
        IntStream.range(35, 4_935).forEach(p -> first[layout.sources("fleet", p).get(0)]++);
        assertThat(layout.sources("fleet", 77)).containsExactlyInAnyOrderElementsOf(layout.holders("fleet"));
        for (int m : layout.holders("fleet")) {
            assertThat(first[m]).isBetween(1_400, 1_900);
        }
    }

    /** Without the last machine, or with it again: nothing moves but what it holds. */
    @Test
    void aMachineThatIsLostMovesOnlyItsOwn() {
        Layout before = of(34, 13);
        Layout after = of(35, 13);
        int moved = 0;
        for (String scope : scopes(3_000)) {
            var was = new HashSet<>(before.holders(scope));
            var is = new ArrayList<>(after.holders(scope));
            if (!is.contains(34)) {
                assertThat(new HashSet<>(is)).isEqualTo(was);
            } else {
                moved++;
                is.removeAll(was);
                // Another one of the new one's zone gives way, and then perhaps the next best zone's.
                assertThat(is.size()).isLessThanOrEqualTo(2);
            }
        }
        assertThat(moved).isBetween(150, 400);
    }

    @Test
    void badLayoutsAreRefused() {
        assertThatThrownBy(() -> new Layout(List.of())).hasMessageContaining("0 control machines");
        assertThatThrownBy(() -> of(65, 3)).hasMessageContaining("65 control machines");
        assertThat(of(64, 3).machines().stream().map(Layout.Machine::zone).collect(Collectors.toSet()))
                .hasSize(3);
    }
}
