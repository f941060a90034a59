package grebehoist.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;

class WorldTest {
    private static final String TROUBLE = """
            [[fault]]
            kind = "hang"
            at_s = 4
            for_s = 5
            machines = 1
            [[fault]]
            kind = "replace"
            at_s = 6
            over_s = 4
            for_s = 3
            share = 0.5
            [[fault]]
            kind = "crash"
            at_s = 8
            for_s = 4
            machines = 2
            [[fault]]
            kind = "slow"
            at_s = 3
            for_s = 9
            machines = 1
            factor = 4
            """;

    private static String figures(Play p) {
        return p.policy() + p.seed() + " " + p.events() + " " + p.figures().offered() + " "
                + p.figures().goodput() + " " + p.figures().attempts() + " "
                + p.figures().percentileMs(99) + " " + p.figures().wasted() + " "
                + p.figures().broken();
    }

    @Test
    void equalSeedsGiveEqualFiguresOnAnyNumberOfThreads() {
        Experiment e = Text.experiment(Text.fleet(20, 8, 0.6, TROUBLE));
        List<String> policies = List.copyOf(Policies.names());
        List<String> one =
                Play.all(e, policies, 2, 1).stream().map(WorldTest::figures).toList();
        List<String> many =
                Play.all(e, policies, 2, 5).stream().map(WorldTest::figures).toList();
        assertThat(many).isEqualTo(one);
        assertThat(one).doesNotHaveDuplicates();
    }

    @Test
    void ourPolicyKeepsTheRulesThroughTroubleAndForgetsItsRequests() {
        for (long seed = 0; seed < 5; seed++) {
            var world = new World(Text.experiment(Text.fleet(20, 8, 0.6, TROUBLE)), Policies.OURS, seed);
            Figures f = world.play();
            assertThat(f.broken()).as("seed " + seed).isEmpty();
            assertThat(f.offered())
                    .isEqualTo(f.count(Figures.End.GOOD)
                            + f.count(Figures.End.LATE)
                            + f.count(Figures.End.REFUSED)
                            + f.count(Figures.End.FAILED));
            assertThat(world.remembered()).as("seed " + seed).isZero();
            assertThat(f.goodput()).as("seed " + seed).isBetween(0.5, 1.0);
        }
    }

    @Test
    void policiesWithOneSeedMeetTheSameDay() {
        Experiment e = Text.experiment(Text.fleet(5, 8, 0.3, ""));
        Figures oracle = new World(e, "oracle", 3).play();
        Figures ours = new World(e, Policies.OURS, 3).play();
        assertThat(ours.offered()).isEqualTo(oracle.offered());
        assertThat(oracle.goodput()).isGreaterThan(0.999);
        assertThat(oracle.meanMs()).isLessThan(ours.meanMs());
    }

    @Test
    void aColdAndASlowMachineDoLess() {
        String slow = """
                [[fault]]
                kind = "slow"
                at_s = 0
                for_s = 20
                share = 1
                factor = 3
                """;
        Experiment plain = Text.experiment(Text.fleet(1, 4, 0.2, ""));
        Experiment slowed = Text.experiment(Text.fleet(1, 4, 0.2, slow));
        assertThat(new World(slowed, "oracle", 1).play().meanMs())
                .isGreaterThan(2.5 * new World(plain, "oracle", 1).play().meanMs());
    }

    @Test
    void whatIsLostInACrashIsSeenAndAnUnsafeRequestIsNotSentAgain() {
        String crash = """
                [[fault]]
                kind = "crash"
                at_s = 5
                for_s = 10
                share = 1
                """;
        Figures f = new World(Text.experiment(Text.fleet(3, 12, 0.7, crash)), "random+budget", 1).play();
        assertThat(f.broken()).isEmpty();
        assertThat(f.count(Figures.End.REFUSED)).isGreaterThan(f.offered() / 4);
        assertThat(f.count(Figures.End.FAILED)).isBetween(1L, 40L);
    }

    @Test
    void aFleetThatCannotBearItsLoadIsToldApart() {
        var time = new VirtualTime(0, 100);
        for (int i = 0; i < 100; i++) {
            time.at(i, () -> {}).cancel();
        }
        for (int i = 0; i < 100; i++) {
            time.at(i, () -> {});
        }
        assertThatThrownBy(() -> time.at(1, () -> {})).hasMessageContaining("cannot bear this load");
        assertThat(time.waiting()).isEqualTo(100);
        time.runTo(1_000);
        assertThat(time.waiting()).isZero();
        assertThat(time.played()).isEqualTo(100);
    }

    @Test
    void eventsOfOneTimeComeInTheOrderInWhichTheyWereAskedFor() {
        var time = new VirtualTime(0, 100);
        var seen = new StringBuilder();
        time.at(20, () -> seen.append('c'));
        time.at(10, () -> {
            seen.append('a');
            time.at(5, () -> seen.append('b'));
        });
        time.at(20, () -> seen.append('d'));
        time.runTo(30);
        assertThat(seen).hasToString("abcd");
        assertThat(time.now()).isEqualTo(30);
    }
}
