package grebehoist.trial;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.fleet.lease.Ballot;
import grebehoist.fleet.lease.Claim;
import grebehoist.fleet.lease.LeaseTerms;
import grebehoist.fleet.lease.Protocol;
import grebehoist.fleet.lease.Vote;
import grebehoist.trial.LeaseExplorer.Bounds;
import grebehoist.trial.LeaseExplorer.Result;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Every state of the functions that leases are safe by, and what is found when one of them is broken on purpose. */
class LeaseExplorerTest {
    private static final LeaseTerms TERMS = LeaseExplorer.TERMS;

    /** All states of so many voters, two members, and so many tries and crashes, at any length of time. */
    @Test
    void nothingIsFound() {
        for (Bounds b : List.of(new Bounds(1, 3, 0, 1, 3_000_000), new Bounds(3, 2, 1, 0, 3_000_000))) {
            Result r = LeaseExplorer.explore(new Protocol(TERMS, b.voters()), b);
            System.out.println(b + ": " + r);
            assertThat(r.found()).isEmpty();
            assertThat(r.complete()).isTrue();
            assertThat(r.states()).isGreaterThan(10_000);
        }
    }

    static Map<String, Protocol> broken(int voters) {
        var all = new LinkedHashMap<String, Protocol>();
        all.put("no silence after a start", new Protocol(TERMS, voters) {
            @Override
            public long silenceUs() {
                return 0;
            }
        });
        all.put("a majority of those thought alive", new Protocol(TERMS, voters) {
            @Override
            protected boolean enough(int answers) {
                return answers >= 1;
            }
        });
        all.put("old ballots are granted", new Protocol(TERMS, voters) {
            @Override
            protected boolean below(Ballot ballot, Ballot promised) {
                return false;
            }
        });
        all.put("the lease counts from the answer", new Protocol(TERMS, voters) {
            @Override
            protected long countsFrom(long askedUs, long nowUs) {
                return nowUs;
            }
        });
        all.put("drift is left out", new Protocol(TERMS, voters) {
            @Override
            protected long heldUs() {
                return TERMS.leaseUs();
            }
        });
        all.put("the token is the wall clock", new Protocol(TERMS, voters) {
            @Override
            protected long token(Ballot ballot, long nowUs) {
                return nowUs + 1;
            }
        });
        all.put("a release without its ballot", new Protocol(TERMS, voters) {
            @Override
            protected boolean isOf(Ballot accepted, Ballot released) {
                return true;
            }
        });
        all.put("a grant stands in nobody's way", new Protocol(TERMS, voters) {
            @Override
            protected boolean own(Ballot accepted, Ballot asking) {
                return true;
            }
        });
        all.put("a holder goes on after it has given back", new Protocol(TERMS, voters) {
            @Override
            public Claim give(Claim claim) {
                return claim;
            }
        });
        all.put("a voter begins without what others have heard", new Protocol(TERMS, voters) {
            @Override
            public Vote fresh(long highest) {
                return super.fresh(0);
            }
        });
        return all;
    }

    /** Each is found by the shortest way to it, with as few voters, tries and crashes as show it. */
    @Test
    void eachBrokenOneIsFound() {
        broken(1)
                .forEach((name, protocol) -> find(
                        name,
                        protocol,
                        new Bounds(1, 3, 0, 0, 3_000_000),
                        "release",
                        "wall clock",
                        "answer",
                        "drift",
                        "way",
                        "given back"));
        broken(3)
                .forEach((name, protocol) ->
                        find(name, protocol, new Bounds(3, 2, 0, 0, 3_000_000), "majority", "old ballots"));
        broken(3).forEach((name, protocol) -> find(name, protocol, new Bounds(3, 2, 1, 0, 3_000_000), "silence"));
        broken(3)
                .forEach((name, protocol) -> find(name, protocol, new Bounds(3, 2, 1, 0, 6_000_000), "begins without"));
    }

    private static void find(String name, Protocol protocol, Bounds bounds, String... those) {
        if (Arrays.stream(those).anyMatch(name::contains)) {
            Result r = LeaseExplorer.explore(protocol, bounds);
            System.out.println(
                    name + ": " + r.states() + " states, " + r.depth() + " steps: " + String.join("; ", r.found()));
            assertThat(r.found()).as(name).isNotEmpty();
        }
    }
}
