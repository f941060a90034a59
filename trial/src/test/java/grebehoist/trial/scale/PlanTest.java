package grebehoist.trial.scale;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.fleet.distribution.Layout;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PlanTest {
    private static final long S = 1_000_000;

    /** The fleet that is aimed at: 81 cells, 13 zones of 377 at most, each proxy some 30 services. */
    @Test
    void thePlanOfTheWholeFleet() {
        var plan = new Plan(4_900, 35, 2_400, 970_000, 10, 0, 7);
        assertThat(plan.cells()).isEqualTo(81);
        assertThat(plan.scopes())
                .hasSize(1 + 2_400 + 81)
                .doesNotHaveDuplicates()
                .allMatch(s -> s.length() <= 24);
        var served = new HashSet<Integer>();
        for (int p = 0; p < plan.proxies(); p++) {
            assertThat(plan.scopesOf(p))
                    .isSorted()
                    .hasSizeBetween(31, 32)
                    .startsWith(0)
                    .endsWith(2_401 + plan.cell(p));
            served.addAll(plan.scopesOf(p));
        }
        assertThat(served).as("no scope is nobody's").hasSize(plan.scopes().size());
        assertThat(Weather.zone(plan, 3)).hasSize(377);
        assertThat(IntStream.of(plan.sizes()).skip(2_401).sum()).isEqualTo(970_000);
        assertThat(IntStream.of(plan.sizes()).skip(1).limit(2_400).average().orElseThrow())
                .isBetween(9.0, 11.0);
    }

    @Test
    void scopesBelongToTheirCell() {
        var plan = new Plan(300, 5, 30, 50, 3, 0, 1);
        List<String> scopes = plan.scopes();
        for (int p = 0; p < 300; p++) {
            String cell = "c" + plan.cell(p) + "/";
            assertThat(plan.scopesOf(p).stream().skip(1).map(scopes::get)).allMatch(s -> s.startsWith(cell));
        }
    }

    @Test
    void equalSeedsGiveEqualChanges() {
        var plan = new Plan(300, 5, 30, 50, 3, 0, 1);
        var held = new Contents();
        var one = new ChangeDraw(plan, 4);
        var other = new ChangeDraw(plan, 4);
        var scopes = new HashSet<Integer>();
        for (int i = 0; i < 2_000; i++) {
            assertThat(one.gapUs(25_000)).isEqualTo(other.gapUs(25_000));
            int scope = one.scope();
            scopes.add(scope);
            assertThat(scope).isEqualTo(other.scope());
            assertThat(one.change(scope, held)).isEqualTo(other.change(scope, held));
        }
        assertThat(scopes)
                .as("each scope changes some time")
                .hasSize(plan.scopes().size());
    }

    @Test
    void oneFaultOfEachKindWithinThePlayAndOfHoldersOfTheFleetsScope() {
        var plan = new Plan(300, 35, 30, 50, 3, 0, 5);
        var layout = new Layout(IntStream.range(0, 35)
                .mapToObj(m -> new Layout.Machine(Plan.zoneName(Plan.zone(m))))
                .toList());
        List<Weather.Fault> faults = Weather.draw(EnumSet.allOf(Weather.Kind.class), plan, layout, 100 * S);
        assertThat(faults)
                .hasSize(Weather.Kind.values().length)
                .allMatch(f -> f.fromUs() < f.untilUs() && f.untilUs() <= 100 * S)
                .isEqualTo(Weather.draw(EnumSet.allOf(Weather.Kind.class), plan, layout, 100 * S));
        assertThat(faults.stream()
                        .filter(f -> f.kind() == Weather.Kind.KILL
                                || f.kind() == Weather.Kind.PAUSE
                                || f.kind() == Weather.Kind.ONEWAY)
                        .map(Weather.Fault::who))
                .doesNotHaveDuplicates()
                .isSubsetOf(layout.holders(Plan.FLEET));
    }

    @Test
    void aRegionIsReachedFromWithinAlone() {
        // Machine 4 is in zone 4, so in region 0, as machine 0 is.
        assertThat(Weather.reaches(0, List.of(1, 4), 0)).isTrue();
        assertThat(Weather.reaches(0, List.of(1, 2), 0)).isFalse();
        assertThat(Weather.reaches(1, List.of(0, 4), 0)).isFalse();
        assertThat(Weather.reaches(1, List.of(0, 2), 0)).isTrue();
    }
}
