package grebehoist.trial;

import grebehoist.trial.FaultLibrary.SystemCall;
import grebehoist.trial.SoakFault.Kind;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The randomized fault soak. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Plays real processes under load while system calls, processes, backends, discovery and clients fail.")
final class SoakCommand implements Callable<Integer> {
    private static final int MOST_AGAIN = 2;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seeds", defaultValue = "1", description = "So many plays, from the seed on (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--seed", defaultValue = "1", description = "The first seed (${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--processes",
            defaultValue = "10..40",
            description = "So many, or drawn from a range (${DEFAULT-VALUE}).")
    private String processes;

    @Option(names = "--seconds", defaultValue = "60", description = "How long faults begin (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--faults",
            split = ",",
            defaultValue = "all",
            description = "Kinds of faults, or all (${DEFAULT-VALUE}).")
    private List<String> faults;

    @Option(names = "--parallel", defaultValue = "1", description = "So many plays side by side (${DEFAULT-VALUE}).")
    private int parallel;

    @Option(names = "--report", description = "Where the table is written, too.")
    private Path report;

    @Option(
            names = "--daemon",
            defaultValue = "daemon/target/grebehoist.jar",
            description = "The program (${DEFAULT-VALUE}).")
    private Path daemon;

    @Option(names = "--shrink", description = "Takes faults away from a schedule that fails.")
    private boolean shrink;

    private final Map<Kind, Integer> played = new EnumMap<>(Kind.class);
    private final Map<SystemCall, Long> injected = new EnumMap<>(SystemCall.class);
    private final StringBuilder lines = new StringBuilder();
    private long requests;
    private int voids;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!Files.isReadable(daemon)) {
            throw new ParameterException(spec.commandLine(), "--daemon: there is no " + daemon);
        }
        if (seeds < 1 || seconds < 5 || parallel < 1) {
            throw new ParameterException(
                    spec.commandLine(), "at least 1 seed, 5 seconds and 1 play at a time are wanted");
        }
        int failed = 0;
        ExecutorService plays = Executors.newFixedThreadPool(parallel);
        try {
            var verdicts = new ArrayList<Future<SoakPlay.Verdict>>();
            var schedules = new ArrayList<SoakSchedule>();
            for (long s = seed; s < seed + seeds; s++) {
                SoakSchedule schedule = schedule(s);
                schedules.add(schedule);
                verdicts.add(plays.submit(() -> play(schedule)));
            }
            for (int i = 0; i < seeds; i++) {
                failed += tell(schedules.get(i), verdicts.get(i).get()) ? 0 : 1;
            }
        } catch (ExecutionException e) {
            throw new IOException("a play could not be played to its end", e.getCause());
        } finally {
            plays.shutdownNow();
        }
        summary(failed);
        if (report != null) {
            Files.writeString(report, lines);
        }
        return failed == 0 ? 0 : 1;
    }

    private SoakSchedule schedule(long of) {
        String[] range = processes.split("\\.\\.");
        try {
            int least = Integer.parseInt(range[0]);
            return SoakSchedule.draw(of, least, Integer.parseInt(range[range.length - 1]), seconds, kinds());
        } catch (IllegalArgumentException e) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--processes: '" + processes + "' is neither a number nor a range such as 10..40");
        }
    }

    private Set<Kind> kinds() {
        if (faults.equals(List.of("all"))) {
            return EnumSet.allOf(Kind.class);
        }
        var kinds = EnumSet.noneOf(Kind.class);
        for (String word : faults) {
            kinds.add(EnumSet.allOf(Kind.class).stream()
                    .filter(k -> k.word().equals(word))
                    .findFirst()
                    .orElseThrow(
                            () -> new ParameterException(spec.commandLine(), "--faults: there is no '" + word + "'")));
        }
        return kinds;
    }

    /** A play on a machine that was too busy is played again, and that is told. */
    private SoakPlay.Verdict play(SoakSchedule schedule) throws IOException, InterruptedException {
        SoakPlay.Verdict verdict = playOnce(schedule);
        for (int again = 0; again < MOST_AGAIN && verdict.isVoid(); again++) {
            synchronized (lines) {
                voids++;
                line("seed " + schedule.seed() + ": void, the stand-ins were " + verdict.lagUs() / 1_000
                        + " ms late; played again. " + verdict.findings().size() + " findings, the first: "
                        + verdict.findings().get(0));
            }
            verdict = playOnce(schedule);
        }
        return verdict;
    }

    private SoakPlay.Verdict playOnce(SoakSchedule schedule) throws IOException, InterruptedException {
        try (var play = new SoakPlay(schedule, new SoakProgram(daemon.toAbsolutePath()), SoakPlay.CORES_FOR_EACH)) {
            return play.run();
        }
    }

    private boolean tell(SoakSchedule schedule, SoakPlay.Verdict verdict) throws IOException, InterruptedException {
        verdict.played().forEach((kind, n) -> played.merge(kind, n, Integer::sum));
        verdict.injected().forEach((call, n) -> injected.merge(call, n, Long::sum));
        requests += verdict.requests();
        line("seed " + schedule.seed() + ", " + schedule.processes() + " processes, "
                + schedule.faults().size() + " faults: "
                + (verdict.held() ? "held" : verdict.findings().size() + " findings") + "; stand-ins late by "
                + verdict.lagUs() / 1_000 + " ms; " + verdict.summary());
        verdict.findings().forEach(f -> line("  BROKEN " + f));
        if (!verdict.held()) {
            line("  again: java -jar trial/target/trial.jar soak --seeds 1 --seed " + schedule.seed() + " --processes "
                    + processes + " --seconds " + seconds + " --faults " + String.join(",", faults));
            if (shrink) {
                shrink(schedule);
            }
        }
        return verdict.held();
    }

    /** Leaves out a half, a quarter, and so on, as long as it still fails: at most a play for each two faults. */
    private void shrink(SoakSchedule failing) throws IOException, InterruptedException {
        SoakSchedule smallest = failing;
        int plays = failing.faults().size() / 2;
        for (int part = smallest.faults().size() / 2; part >= 1 && plays > 0; part /= 2) {
            for (int from = 0; from < smallest.faults().size() && plays > 0; plays--) {
                var fewer = new ArrayList<>(smallest.faults());
                fewer.subList(from, Math.min(from + part, fewer.size())).clear();
                SoakSchedule next = smallest.with(fewer);
                if (play(next).held()) {
                    from += part;
                } else {
                    smallest = next;
                }
            }
        }
        line("  with fewest faults:");
        smallest.faults().forEach(f -> line("    " + f));
    }

    private void summary(int failed) {
        line(seeds + " plays, " + failed + " with findings, " + requests + " requests; " + voids
                + " plays void and played again");
        line("faults played: " + played);
        line("system calls that failed: " + injected);
    }

    private void line(String text) {
        PrintWriter out = spec.commandLine().getOut();
        synchronized (lines) {
            out.println(text);
            out.flush();
            lines.append(text).append('\n');
        }
    }
}
