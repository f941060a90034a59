package grebehoist.trial;

import grebehoist.fleet.lease.Protocol;
import grebehoist.fleet.membership.Membership;
import grebehoist.fleet.membership.Terms;
import grebehoist.trial.distribution.DistributionSearch;
import grebehoist.trial.scale.HollowCommand;
import grebehoist.trial.scale.ScaleCommand;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The trial's command line; docs/trial.md is its page. Exits with 0 where all held, 1 where something broke, 2 on wrong arguments. */
@Command(
        name = "trial",
        version = "grebehoist trial 0.2.0",
        mixinStandardHelpOptions = true,
        description = "Several processes of the program, and faults between them.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Trial.Run.class,
            Trial.Search.class,
            Trial.Explore.class,
            Trial.Leases.class,
            Trial.Check.class,
            FiguresCommand.class,
            ScaleCommand.class,
            HollowCommand.class,
            DistributionSearch.class,
            SoakCommand.class
        })
public final class Trial implements Runnable {
    private static final long S = 1_000_000;

    @Spec
    private CommandSpec spec;

    /** Runs a command. */
    public static void main(String[] args) {
        System.exit(execute(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args));
    }

    static int execute(PrintWriter out, PrintWriter err, String... args) {
        return new CommandLine(new Trial())
                .setOut(out)
                .setErr(err)
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(args);
    }

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** What commands that play scripts have in common. */
    private abstract static class Playing implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Option(
                names = "--zones",
                defaultValue = "3",
                description = "Zones that they are in, in turn (${DEFAULT-VALUE}).")
        int zones;

        @Option(
                names = "--seconds",
                defaultValue = "60",
                description = "Until the last fault is over (${DEFAULT-VALUE}).")
        int seconds;

        @Option(names = "--seed", defaultValue = "1", description = "Draws the faults (${DEFAULT-VALUE}).")
        long seed;

        @Option(names = "--faults", split = ",", description = "Kinds of faults: ${COMPLETION-CANDIDATES} (all).")
        Set<Fault.Kind> faults = EnumSet.allOf(Fault.Kind.class);

        @Option(names = "--number", description = "So many faults (one in six seconds).")
        Integer number;

        @Option(names = "--shrink", description = "Takes faults away from a script that fails.")
        boolean shrink;

        Script script(long of, int members) {
            if (members < 2 || zones < 1 || zones > members || seconds < 5) {
                throw new ParameterException(
                        spec.commandLine(), "at least 2 processes, 1 zone and 5 seconds are wanted");
            }
            return Script.draw(
                    of,
                    members,
                    zones,
                    Terms.standard().pauseUs(),
                    seconds * S,
                    faults,
                    number != null ? number : Math.max(1, seconds / 6));
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        int tell(Script script, Play.Verdict verdict) {
            new TreeMap<>(verdict.counts()).forEach((what, n) -> out().println("  " + n + " " + what));
            out().println("  " + verdict.traffic());
            out().println("  " + verdict.tasks());
            verdict.findings().forEach(f -> out().println("BROKEN " + f));
            out().println(String.format(
                    Locale.ROOT,
                    "seed %d, %d members, %d zones: %s",
                    script.seed(),
                    script.members(),
                    script.zones(),
                    verdict.held() ? "all held" : verdict.findings().size() + " findings"));
            return verdict.held() ? 0 : 1;
        }
    }

    /** Plays a script on processes. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Starts processes of the program and puts faults between them.")
    static final class Run extends Playing {
        @Option(names = "--processes", defaultValue = "12", description = "So many (${DEFAULT-VALUE}).")
        int processes;

        @Option(names = "--history", description = "Where what happened is written, a JSON object a line.")
        Path history;

        @Option(
                names = "--daemon",
                defaultValue = "daemon/target/grebehoist.jar",
                description = "The program (${DEFAULT-VALUE}).")
        Path daemon;

        @Option(names = "--backends", defaultValue = "12", description = "Stand-ins (${DEFAULT-VALUE}).")
        int backends;

        @Option(
                names = "--load",
                defaultValue = "0.4",
                description = "What clients ask for, as a part of the backends' capacity (${DEFAULT-VALUE}).")
        double load;

        @Option(
                names = "--tasks",
                defaultValue = "0",
                description = "Tasks of the fleet that one process at a time is to do (${DEFAULT-VALUE}).")
        int tasks;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Script script = script(seed, processes);
            if (!Files.isReadable(daemon)) {
                throw new ParameterException(spec.commandLine(), "--daemon: there is no " + daemon);
            }
            if (tasks < 0 || tasks > 200 || tasks > 0 && processes < 3) {
                throw new ParameterException(
                        spec.commandLine(), "--tasks: 0 to 200, and at least 3 processes to grant them");
            }
            script.faults().forEach(f -> out().println("  " + f));
            int code = tell(script, play(script, history));
            if (code != 0 && shrink) {
                Script smallest =
                        Shrinker.shrink(script, this::fails, 2 * script.faults().size());
                out().println("with fewest faults:");
                smallest.faults().forEach(f -> out().println("  " + f));
            }
            return code;
        }

        private Play.Verdict play(Script script, Path to) throws IOException, InterruptedException {
            try (var play = new Play(script, new Play.Setting(daemon, backends, load, to, tasks))) {
                return play.run();
            }
        }

        private boolean fails(Script script) {
            try {
                return !play(script, null).held();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
    }

    /** Plays many scripts on virtual time. */
    @Command(
            name = "search",
            mixinStandardHelpOptions = true,
            description = "Plays scripts on virtual time: the same machines, no processes.")
    static final class Search extends Playing {
        @Option(names = "--members", defaultValue = "5", description = "So many (${DEFAULT-VALUE}).")
        int members;

        @Option(
                names = "--scripts",
                defaultValue = "100",
                description = "So many, from the seed on (${DEFAULT-VALUE}).")
        int scripts;

        @Override
        public Integer call() {
            List<Script> failed = new ArrayList<>();
            var counts = new TreeMap<String, Integer>();
            LongStream.range(seed, seed + scripts).parallel().forEach(s -> {
                Script script = script(s, members);
                Referee referee = VirtualFleet.play(script, Terms.standard());
                synchronized (counts) {
                    referee.counts().forEach((what, n) -> counts.merge(what, n, Integer::sum));
                    if (!referee.findings().isEmpty()) {
                        failed.add(script);
                    }
                }
            });
            for (Script f : failed) {
                Script told = shrink
                        ? Shrinker.shrink(
                                f,
                                s -> !VirtualFleet.play(s, Terms.standard())
                                        .findings()
                                        .isEmpty(),
                                200)
                        : f;
                out().println("seed " + f.seed() + ": "
                        + VirtualFleet.play(told, Terms.standard()).findings().get(0));
                told.faults().forEach(fault -> out().println("  " + fault));
            }
            for (Map.Entry<String, Integer> c : counts.entrySet()) {
                out().println("  " + c.getValue() + " " + c.getKey());
            }
            out().println(failed.size() + " of " + scripts + " scripts broke something");
            return failed.isEmpty() ? 0 : 1;
        }
    }

    /** Goes through all that can happen to a few members. */
    @Command(
            name = "explore",
            mixinStandardHelpOptions = true,
            description = "Goes through every way in which so many things can go wrong in so many steps.")
    static final class Explore implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--members", defaultValue = "3", description = "So many (${DEFAULT-VALUE}).")
        private int members;

        @Option(names = "--steps", defaultValue = "8", description = "Of 250 ms (${DEFAULT-VALUE}).")
        private int steps;

        @Option(
                names = "--wrong",
                defaultValue = "2",
                description = "So many things go wrong at most (${DEFAULT-VALUE}).")
        private int wrong;

        @Override
        public Integer call() {
            int code = 0;
            for (boolean converged : new boolean[] {true, false}) {
                Explorer.Result r = Explorer.explore(members, steps, wrong, converged, Membership::new);
                spec.commandLine()
                        .getOut()
                        .println(String.format(
                                Locale.ROOT,
                                "%s: %d ways, %d states, %d findings",
                                converged ? "members that know each other" : "members that begin",
                                r.plays(),
                                r.states(),
                                r.found().size()));
                r.found().forEach(spec.commandLine().getOut()::println);
                code |= r.found().isEmpty() ? 0 : 1;
            }
            return code;
        }
    }

    /** Goes through all states of the functions that leases are safe by. */
    @Command(
            name = "leases",
            mixinStandardHelpOptions = true,
            description = "Goes through every state of voters and of two members that want one task.")
    static final class Leases implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--voters", defaultValue = "3", description = "So many (${DEFAULT-VALUE}).")
        private int voters;

        @Option(
                names = "--ballots",
                defaultValue = "3",
                description = "Tries of both members at most (${DEFAULT-VALUE}).")
        private int ballots;

        @Option(
                names = "--crashes",
                defaultValue = "1",
                description = "Of voters, and as many of members (${DEFAULT-VALUE}).")
        private int crashes;

        @Option(
                names = "--states",
                defaultValue = "20000000",
                description = "It stops after so many (${DEFAULT-VALUE}).")
        private int states;

        @Override
        public Integer call() {
            if (voters < 1 || voters > 7 || ballots < 1 || crashes < 0) {
                throw new ParameterException(
                        spec.commandLine(), "1 to 7 voters, at least one ballot, no negative numbers");
            }
            LeaseExplorer.Result r = LeaseExplorer.explore(
                    new Protocol(LeaseExplorer.TERMS, voters),
                    new LeaseExplorer.Bounds(voters, ballots, crashes, crashes, states));
            spec.commandLine()
                    .getOut()
                    .println(String.format(
                            Locale.ROOT,
                            "%d states, %d steps deep, %s",
                            r.states(),
                            r.depth(),
                            !r.found().isEmpty()
                                    ? "BROKEN:"
                                    : r.complete() ? "all of them, none broken" : "not all of them, none broken"));
            r.found().forEach(step -> spec.commandLine().getOut().println("  " + step));
            return r.found().isEmpty() ? 0 : 1;
        }
    }

    /** Judges a history that was written before. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Judges what a history says of tasks; it knows no protocol.")
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "A history, one JSON object a line.")
        private Path file;

        @Override
        public Integer call() throws IOException {
            var checker = new LeaseChecker();
            try (Stream<String> lines = Files.lines(file)) {
                for (String line : (Iterable<String>) lines::iterator) {
                    checker.line(History.JSON.readTree(line));
                }
            } catch (NoSuchFileException e) {
                throw new ParameterException(spec.commandLine(), "there is no " + file);
            }
            LeaseChecker.Judgement judgement = checker.judge();
            judgement.explained().forEach(e -> spec.commandLine().getOut().println("explained " + e));
            judgement.findings().forEach(f -> spec.commandLine().getOut().println("BROKEN " + f));
            spec.commandLine().getOut().println(judgement);
            return judgement.findings().isEmpty() ? 0 : 1;
        }
    }
}
