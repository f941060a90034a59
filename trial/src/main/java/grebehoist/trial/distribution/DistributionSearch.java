package grebehoist.trial.distribution;

import grebehoist.fleet.distribution.Rules;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Plays many scripts of the distribution on virtual time. */
@Command(
        name = "distribution",
        mixinStandardHelpOptions = true,
        description =
                "Plays scripts of the distribution of configuration on virtual time: the same machines, no processes.")
public final class DistributionSearch implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--scripts", defaultValue = "1000", description = "So many, from the seed on (${DEFAULT-VALUE}).")
    private int scripts;

    @Option(names = "--seed", defaultValue = "1", description = "Draws the first script (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--shrink", description = "Takes faults away from the first script that fails.")
    private boolean shrink;

    /** What many scripts came to. */
    record Outcome(Map<String, Integer> counts, Map<Long, List<DistributionReferee.Finding>> failed) {}

    /** Plays scripts, as many at a time as there are processors. */
    static Outcome play(long from, int scripts, Rules rules) {
        Map<String, Integer> counts = new TreeMap<>();
        Map<Long, List<DistributionReferee.Finding>> failed = new TreeMap<>();
        LongStream.range(from, from + scripts).parallel().forEach(s -> {
            DistributionReferee referee = VirtualDistribution.play(DistributionScript.draw(s), rules);
            synchronized (counts) {
                referee.counts().forEach((what, n) -> counts.merge(what, n, Integer::sum));
                if (!referee.findings().isEmpty()) {
                    failed.put(s, referee.findings());
                }
            }
        });
        return new Outcome(counts, failed);
    }

    @Override
    public Integer call() {
        if (scripts < 1) {
            throw new ParameterException(spec.commandLine(), "--scripts: 1 at least is wanted, not " + scripts);
        }
        PrintWriter out = spec.commandLine().getOut();
        Outcome outcome = play(seed, scripts, new Rules());
        outcome.counts().forEach((what, n) -> out.println("  " + n + " " + what));
        outcome.failed().forEach((s, findings) -> findings.forEach(f -> out.println("BROKEN seed " + s + ": " + f)));
        out.println(scripts + " scripts from seed " + seed + ": "
                + (outcome.failed().isEmpty() ? "all held" : outcome.failed().size() + " failed"));
        if (shrink && !outcome.failed().isEmpty()) {
            DistributionScript smallest = shrink(
                    DistributionScript.draw(outcome.failed().keySet().iterator().next()));
            out.println("seed " + smallest.seed() + " with fewest faults:");
            smallest.faults().forEach(f -> out.println("  " + f));
            VirtualDistribution.play(smallest, new Rules()).findings().forEach(f -> out.println("  " + f));
        }
        return outcome.failed().isEmpty() ? 0 : 1;
    }

    private static DistributionScript shrink(DistributionScript script) {
        DistributionScript smallest = script;
        for (int i = 0; i < smallest.faults().size(); ) {
            List<Fault> fewer = new ArrayList<>(smallest.faults());
            fewer.remove(i);
            DistributionScript candidate = smallest.with(fewer);
            if (VirtualDistribution.play(candidate, new Rules()).findings().isEmpty()) {
                i++;
            } else {
                smallest = candidate;
            }
        }
        return smallest;
    }
}
