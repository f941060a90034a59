package grebehoist.trial.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.fleet.distribution.Answer;
import grebehoist.fleet.distribution.Item;
import grebehoist.fleet.distribution.Rules;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * A thousand drawn scripts, and what is found when one of the rules is broken on purpose. That answers of former lives do not count is shown by
 * {@code WriterTest}: it takes more than drawn scripts come to.
 */
class VirtualDistributionTest {
    private static final int SCRIPTS = 1_000;
    private static final int MOST_FOR_A_BROKEN_ONE = 300;

    @Test
    void nothingIsFound() {
        DistributionSearch.Outcome outcome = DistributionSearch.play(1, SCRIPTS, new Rules());
        System.out.println(SCRIPTS + " scripts: " + outcome.counts());
        outcome.failed().forEach((seed, findings) -> System.out.println("seed " + seed + ": " + findings));
        assertThat(outcome.failed()).isEmpty();
        assertThat(outcome.counts().get("taken")).isGreaterThan(10 * SCRIPTS);
    }

    private static Map<String, Rules> broken() {
        var all = new LinkedHashMap<String, Rules>();
        all.put("no epoch is too old", new Rules() {
            @Override
            protected boolean older(long epoch, long promised) {
                return false;
            }
        });
        all.put("gaps are not repaired", new Rules() {
            @Override
            protected boolean repairs() {
                return false;
            }
        });
        all.put("a removal is forgotten at once", new Rules() {
            @Override
            protected boolean remembers(Item removal) {
                return false;
            }
        });
        all.put("told before it is held", new Rules() {
            @Override
            protected int enough(int holders) {
                return 1;
            }
        });
        all.put("acknowledged and not kept", new Rules() {
            @Override
            protected Item kept(Item offered) {
                return null;
            }
        });
        all.put("not paced", new Rules() {
            @Override
            protected double allowance(double tokens) {
                return 1;
            }
        });
        all.put("the order of arrival is trusted", new Rules() {
            @Override
            protected boolean follows(long have, long prev, long version) {
                return have < version;
            }
        });
        all.put("counts before it is filled", new Rules() {
            @Override
            protected boolean counts(boolean allListed, long have, long listed) {
                return true;
            }
        });
        all.put("what may have been taken is not adopted", new Rules() {
            @Override
            protected Answer.Opened toAdopt(Collection<Answer.Opened> answers, long head) {
                return null;
            }
        });
        return all;
    }

    /** Scripts are drawn from the first seed on until one shows it. */
    @Test
    void eachBrokenRuleIsFound() {
        broken().forEach((name, rules) -> {
            var found = LongStream.rangeClosed(1, MOST_FOR_A_BROKEN_ONE)
                    .mapToObj(seed -> VirtualDistribution.play(DistributionScript.draw(seed), rules))
                    .peek(r -> plays++)
                    .filter(r -> !r.findings().isEmpty())
                    .findFirst();
            System.out.println(name + ", script " + plays + ": "
                    + found.map(r -> r.findings().get(0)));
            plays = 0;
            assertThat(found).as(name).isPresent();
        });
    }

    private int plays;
}
