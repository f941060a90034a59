package grebehoist.trial;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.fleet.lease.Ballot;
import grebehoist.fleet.lease.LeaseTerms;
import grebehoist.fleet.lease.Protocol;
import grebehoist.fleet.membership.Membership;
import grebehoist.fleet.membership.Terms;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Leases among members on virtual time, with seals, losses, cuts, stops, deaths, and clocks that are wrong by as much as is allowed. */
class VirtualLeasesTest {
    private static final long S = 1_000_000;
    private static final int TASKS = 4;

    private static Script script(long seed, int members) {
        return Script.draw(seed, members, 3, 5 * S, 40 * S, EnumSet.allOf(Fault.Kind.class), 6);
    }

    private static List<String> broken(int members, int scripts, VirtualFleet.Tasks tasks, String... what) {
        var found = Collections.synchronizedList(new ArrayList<String>());
        LongStream.range(0, scripts).parallel().forEach(s -> {
            List<String> findings = VirtualFleet.play(script(s, members), Terms.standard(), tasks)
                    .referee()
                    .findings();
            findings.stream()
                    .filter(f -> List.of(what).stream().anyMatch(f::startsWith))
                    .findFirst()
                    .ifPresent(f -> found.add("seed " + s + ": " + f));
        });
        return found;
    }

    /** A seed replays: search with the same numbers. */
    @Test
    void noTwoHoldersInTwoThousandScripts() {
        assertThat(broken(5, 1_400, VirtualFleet.Tasks.standard(TASKS), "two holders", "token", "idle"))
                .isEmpty();
        assertThat(broken(12, 600, VirtualFleet.Tasks.standard(TASKS), "two holders", "token", "idle"))
                .isEmpty();
    }

    /** One member is cut off, and at once all other voters begin again: four members, of which three grant. */
    private static Script forgetting(long seed) {
        int cut = (int) (seed % 4);
        List<Integer> rest = IntStream.range(0, 4).filter(m -> m != cut).boxed().toList();
        List<Integer> voters = rest.stream().filter(m -> m < 3).toList();
        return new Script(
                seed,
                4,
                2,
                5 * S,
                12 * S,
                List.of(
                        new Fault(Fault.Kind.SPLIT, 5 * S, 6 * S, List.of(cut), rest, 0),
                        new Fault(Fault.Kind.RESTART, 5 * S + 200_000, 100_000, voters, List.of(), 0)));
    }

    @Test
    void votersThatForgetAreSilentForLongEnough() {
        var loud = new VirtualFleet.Tasks(
                TASKS,
                n -> new Protocol(LeaseTerms.standard(), n) {
                    @Override
                    public long silenceUs() {
                        return 0;
                    }
                },
                LeaseTerms.standard().drift());
        int found = 0;
        for (long seed = 0; seed < 40; seed++) {
            assertThat(VirtualFleet.play(forgetting(seed), Terms.standard(), VirtualFleet.Tasks.standard(TASKS))
                            .referee()
                            .findings())
                    .as("seed " + seed)
                    .isEmpty();
            found += VirtualFleet.play(forgetting(seed), Terms.standard(), loud).referee().findings().stream()
                            .anyMatch(f -> f.startsWith("two holders"))
                    ? 1
                    : 0;
        }
        System.out.println("no silence: found in " + found + " of 40 scripts");
        assertThat(found).isPositive();
    }

    @Test
    void brokenOnesAreFound() {
        LeaseTerms terms = LeaseTerms.standard();
        record Broken(String name, IntFunction<Protocol> protocol, double drift) {}
        for (Broken b : List.of(
                new Broken(
                        "a majority of those thought alive",
                        n -> new Protocol(terms, n) {
                            @Override
                            protected boolean enough(int answers) {
                                return answers >= 1;
                            }
                        },
                        terms.drift()),
                new Broken(
                        "a grant stands in nobody's way",
                        n -> new Protocol(terms, n) {
                            @Override
                            protected boolean own(Ballot accepted, Ballot asking) {
                                return true;
                            }
                        },
                        terms.drift()),
                new Broken("clocks beyond the bound", n -> new Protocol(terms, n), 0.3))) {
            List<String> found = broken(5, 200, new VirtualFleet.Tasks(TASKS, b.protocol(), b.drift()), "two holders");
            System.out.println(b.name() + ": found in " + found.size() + " of 200 scripts");
            assertThat(found).as(b.name()).isNotEmpty();
        }
    }

    /** What a hundred tasks of a hundred members cost, beside membership: within its bound of 4 kB a second for each. */
    @Test
    void aHundredTasksAreCheap() {
        var bytes = new long[2];
        for (int i = 0; i < 2; i++) {
            VirtualFleet fleet = new VirtualFleet(
                    new Script(5, 100, 3, 5 * S, 20 * S, List.of()),
                    Terms.standard(),
                    Membership::new,
                    (at, by, change) -> {},
                    VirtualFleet.Tasks.standard(100 * i));
            fleet.begin();
            fleet.run(10 * S);
            VirtualFleet.Traffic before = fleet.traffic();
            fleet.run(30 * S);
            bytes[i] = (fleet.traffic().bytes() - before.bytes()) / 100 / 20;
            System.out.println(100 * i + " tasks: " + bytes[i] + " bytes and "
                    + (fleet.traffic().datagrams() - before.datagrams()) / 100 / 20.0
                    + " datagrams a second for a member");
        }
        assertThat(bytes[1] - bytes[0]).isLessThan(4_000);
    }

    /** Of thirty members, and with one in ten datagrams lost: the time without a holder after a kill. */
    @Test
    void aDeadHoldersTaskIsTakenOverInTime() {
        var waits = new ArrayList<Long>();
        for (double loss : new double[] {0, 0.1}) {
            var kills = new ArrayList<Fault>();
            IntStream.range(5, 25)
                    .forEach(m ->
                            kills.add(new Fault(Fault.Kind.KILL, (m - 4) * 4 * S, 8 * S, List.of(m), List.of(), 0)));
            if (loss > 0) {
                kills.add(new Fault(Fault.Kind.LOSS, 0, 100 * S, List.of(), List.of(), loss));
            }
            VirtualFleet fleet = VirtualFleet.play(
                    new Script(3, 30, 3, 5 * S, 100 * S, kills), Terms.standard(), VirtualFleet.Tasks.standard(30));
            assertThat(fleet.referee().findings()).isEmpty();
            waits.addAll(fleet.waits());
            System.out.println("loss " + loss + ": waits "
                    + fleet.waits().stream().sorted().map(w -> w / 1_000).toList() + " ms, " + fleet.traffic());
        }
        waits.sort(null);
        assertThat(waits).hasSizeGreaterThan(10);
        assertThat(waits.get(waits.size() / 2)).isLessThan(3 * S);
    }
}
