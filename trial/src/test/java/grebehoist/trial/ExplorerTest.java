package grebehoist.trial;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.fleet.membership.Membership;
import grebehoist.fleet.membership.News;
import grebehoist.fleet.membership.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Everything that can go wrong, to a depth: docs/membership.md tells the command that goes deeper. */
class ExplorerTest {
    @ParameterizedTest
    @CsvSource({"2, 10, 2, true", "2, 6, 2, false", "3, 7, 2, true", "3, 4, 2, false"})
    void nothingIsFoundInAnyWay(int members, int steps, int wrong, boolean converged) {
        Explorer.Result result = Explorer.explore(members, steps, wrong, converged, Membership::new);
        System.out.println(members + " members, " + steps + " steps, " + wrong + " wrong: " + result.plays() + " ways, "
                + result.states() + " states");
        assertThat(result.found()).isEmpty();
        assertThat(result.plays()).isGreaterThan(500);
    }

    @Test
    void aMachineThatBuriesAtOnceIsFoundOut() {
        Explorer.Result result = Explorer.explore(
                3,
                6,
                2,
                true,
                (t, self, members, name, zone, random, out) ->
                        new Membership(t, self, members, name, zone, random, out) {
                            @Override
                            protected boolean isOver(long ageUs, int doubters, int buriers) {
                                return true;
                            }

                            @Override
                            protected boolean looksItself() {
                                return false;
                            }
                        });
        System.out.println("buries at once: " + result.found().get(0));
        assertThat(result.found()).anyMatch(f -> f.contains("dead, which ran all the time"));
    }

    @Test
    void aMachineThatTakesAnyRumourIsFoundOut() {
        Explorer.Result result = Explorer.explore(
                3,
                24,
                1,
                true,
                (t, self, members, name, zone, random, out) ->
                        new Membership(t, self, members, name, zone, random, out) {
                            @Override
                            protected boolean outdates(News.Rumour r, State held, long heldIncarnation) {
                                return r.state() != held && r.incarnation() >= heldIncarnation;
                            }
                        });
        System.out.println("takes any rumour: " + result.found().get(0));
        assertThat(result.found()).isNotEmpty();
    }
}
