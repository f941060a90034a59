package grebehoist.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The laboratory's command line; docs/lab.md is its page. Exits with 0, with 1 where a play broke a rule or failed, with 2 on bad input. */
@Command(
        name = "lab",
        version = "grebehoist lab 0.2.0",
        mixinStandardHelpOptions = true,
        description = "Whole fleets on virtual time.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {Lab.Run.class, Lab.Compare.class, Lab.Show.class, Lab.ListAll.class})
public final class Lab implements Runnable {
    @Spec
    private CommandSpec spec;

    /** Runs a command. */
    public static void main(String[] args) {
        System.exit(execute(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args));
    }

    static int execute(PrintWriter out, PrintWriter err, String... args) {
        return new CommandLine(new Lab())
                .setOut(out)
                .setErr(err)
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    if (e instanceof LabException) {
                        err.println("lab: " + e.getMessage());
                        return CommandLine.ExitCode.USAGE;
                    }
                    throw e;
                })
                .execute(args);
    }

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** What commands that play have in common. */
    private abstract static class Playing implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FILE", description = "The experiment, TOML.")
        Path file;

        @Option(names = "--seed", description = "The first seed, in place of the file's.")
        Long seed;

        @Option(names = "--repetitions", description = "So many seeds, in place of the file's.")
        Integer repetitions;

        @Option(
                names = "--threads",
                defaultValue = "0",
                description = "So many plays at once; 0 for one a core. Figures do not depend on it.")
        int threads;

        List<Play> play(Experiment e, List<String> policies, int times) {
            int most = threads > 0 ? threads : Runtime.getRuntime().availableProcessors();
            return Play.all(e, policies, times, most);
        }

        Experiment read() {
            Experiment e = Experiment.read(file);
            return seed == null ? e : e.withSeed(seed);
        }

        int times(Experiment e) {
            if (repetitions != null && repetitions < 1) {
                throw new LabException("--repetitions: expected at least 1");
            }
            return repetitions == null ? e.repetitions() : repetitions;
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Plays an experiment's policies and prints their figures.")
    static final class Run extends Playing {
        @Option(names = "--policy", description = "These policies, in place of the file's.")
        List<String> policies;

        @Option(names = "--json", paramLabel = "FILE", description = "Writes the figures there, one row each play.")
        Path json;

        @Override
        public Integer call() throws IOException {
            var plays = new ArrayList<Play>();
            boolean bad = false;
            for (Experiment e : read().atEachSize()) {
                bad |= playAndPrint(e, plays);
            }
            if (json != null) {
                new ObjectMapper()
                        .writerWithDefaultPrettyPrinter()
                        .writeValue(json.toFile(), plays.stream().map(Lab::row).toList());
            }
            return bad ? 1 : 0;
        }

        /** Plays one size and prints its figures; returns whether a play broke a rule or could not be ended. */
        private boolean playAndPrint(Experiment e, List<Play> all) {
            List<String> which = policies == null ? e.policies() : policies;
            which.forEach(Policies::check);
            long began = System.nanoTime();
            List<Play> plays = play(e, which, times(e));
            all.addAll(plays);
            double took = (System.nanoTime() - began) / 1e9;
            out().printf(
                            Locale.ROOT,
                            "%s: %d proxies, %d machines, %.0f requests a second, %.0f s, seeds %d to %d%n",
                            e.name(),
                            e.proxies(),
                            e.machines(),
                            e.ratePerS(),
                            e.seconds(),
                            e.seed(),
                            e.seed() + times(e) - 1);
            out().printf(
                            "%-26s %8s %8s %8s %8s %8s %8s %8s %7s%n",
                            "policy", "goodput", "refused", "failed", "p50 ms", "p99 ms", "wasted", "att/req",
                            "broken");
            boolean bad = false;
            for (String policy : which) {
                List<Play> mine =
                        plays.stream().filter(p -> p.policy().equals(policy)).toList();
                List<Figures> f = mine.stream()
                        .filter(p -> p.problem() == null)
                        .map(Play::figures)
                        .toList();
                mine.stream()
                        .filter(p -> p.problem() != null)
                        .forEach(p -> out().printf("%-26s seed %d: %s%n", policy, p.seed(), p.problem()));
                bad |= f.size() < mine.size();
                if (!f.isEmpty()) {
                    out().printf(
                                    Locale.ROOT,
                                    "%-26s %8.4f %8.4f %8.4f %8.1f %8.1f %8.4f %8.3f %7d%n",
                                    policy,
                                    mean(f, Figures::goodput),
                                    mean(f, Figures::refused),
                                    mean(f, Figures::failed),
                                    mean(f, x -> x.percentileMs(50)),
                                    mean(f, x -> x.percentileMs(99)),
                                    mean(f, Figures::wasted),
                                    mean(f, Figures::attemptsARequest),
                                    f.stream().mapToLong(Figures::brokenRules).sum());
                    for (Figures x : f) {
                        x.broken().forEach((rule, n) -> out().printf("    rule %s: %d%n", rule, n));
                        bad |= x.brokenRules() > 0;
                    }
                }
            }
            long requests = plays.stream()
                    .filter(p -> p.figures() != null)
                    .mapToLong(p -> p.figures().offered())
                    .sum();
            out().printf(Locale.ROOT, "%d requests in %.1f s: %.0f a second%n", requests, took, requests / took);
            return bad;
        }
    }

    private static double mean(List<Figures> all, ToDoubleFunction<Figures> figure) {
        return all.stream().mapToDouble(figure).average().orElse(0);
    }

    /** One play as JSON: its figures, and good, late, refused, failed and offered for each row of time. */
    private static Map<String, Object> row(Play p) {
        var row = new LinkedHashMap<String, Object>();
        row.put("policy", p.policy());
        row.put("seed", p.seed());
        row.put("events", p.events());
        if (p.problem() != null) {
            row.put("problem", p.problem());
            return row;
        }
        Figures f = p.figures();
        row.put("offered", f.offered());
        row.put("goodput", f.goodput());
        row.put("refused", f.refused());
        row.put("failed", f.count(Figures.End.FAILED));
        row.put("late", f.count(Figures.End.LATE));
        row.put("mean_ms", f.meanMs());
        row.put("p50_ms", f.percentileMs(50));
        row.put("p99_ms", f.percentileMs(99));
        row.put("wasted", f.wasted());
        row.put("attempts", f.attempts());
        row.put("broken", f.broken());
        row.put("row_seconds", f.rowSeconds());
        var rows = new ArrayList<long[]>();
        for (int i = 0; i < Figures.ROWS && f.atRow(i)[Figures.OFFERED] + rows.size() > 0; i++) {
            rows.add(f.atRow(i));
        }
        row.put("rows", rows);
        return row;
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "Plays two policies on the same days and tells whether their goodput differs.")
    static final class Compare extends Playing {
        @Parameters(index = "1", paramLabel = "POLICY")
        String one;

        @Parameters(index = "2", paramLabel = "POLICY")
        String other;

        @Override
        public Integer call() {
            Experiment e = read();
            Policies.check(one);
            Policies.check(other);
            int n = Math.max(2, times(e));
            List<Play> plays = play(e, List.of(one, other), n);
            plays.stream().filter(p -> p.problem() != null).findFirst().ifPresent(p -> {
                throw new LabException(p.policy() + " with seed " + p.seed() + ": " + p.problem());
            });
            double[] differences = new double[n];
            for (int i = 0; i < n; i++) {
                differences[i] = plays.get(i).figures().goodput()
                        - plays.get(n + i).figures().goodput();
            }
            Comparison c = Comparison.of(differences, e.seed());
            out().printf(
                            Locale.ROOT,
                            "%s: goodput of %s less that of %s, %d paired seeds: %+.4f, 95%% interval %+.4f to %+.4f: %s%n",
                            e.name(),
                            one,
                            other,
                            n,
                            c.mean(),
                            c.low(),
                            c.high(),
                            c.shown()
                                    ? c.mean() > 0 ? one + " is better" : other + " is better"
                                    : "no difference shown");
            return 0;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Checks an experiment and tells what it plays.")
    static final class Show extends Playing {
        @Override
        public Integer call() {
            Experiment e = read();
            out().printf(
                            Locale.ROOT,
                            "%s%n%s%n%d proxies, %d machines, %.0f requests a second for %.0f s, %d faults; %s, %d times%n",
                            e.name(),
                            e.about(),
                            e.proxies(),
                            e.machines(),
                            e.ratePerS(),
                            e.seconds(),
                            e.faults().size(),
                            e.policies(),
                            times(e));
            return 0;
        }
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the experiments of a folder.")
    static final class ListAll implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FOLDER", defaultValue = "lab/experiments")
        private Path folder;

        @Override
        public Integer call() {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.filter(f -> f.toString().endsWith(".toml"))
                        .sorted()
                        .toList()) {
                    Experiment e = Experiment.read(file);
                    spec.commandLine().getOut().printf("%-28s %s%n", file.getFileName(), e.about());
                }
                return 0;
            } catch (IOException e) {
                throw new LabException(folder + ": cannot be read (" + e.getMessage() + ")");
            }
        }
    }
}
