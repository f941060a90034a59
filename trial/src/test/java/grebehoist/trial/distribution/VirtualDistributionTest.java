package grebehoist.trial.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.fleet.distribution.Rules;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class VirtualDistributionTest {
    @Test
    void nothingIsFound() {
        Map<String, Integer> counts = new TreeMap<>();
        List<String> failed = new ArrayList<>();
        LongStream.range(1, 101).parallel().forEach(seed -> {
            DistributionReferee referee = VirtualDistribution.play(DistributionScript.draw(seed), new Rules());
            synchronized (counts) {
                referee.counts().forEach((what, n) -> counts.merge(what, n, Integer::sum));
                if (!referee.findings().isEmpty()) {
                    failed.add("seed " + seed + ": " + referee.findings());
                }
            }
        });
        System.out.println(counts);
        failed.forEach(System.out::println);
        assertThat(failed).isEmpty();
    }
}
