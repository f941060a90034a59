package grebehoist.trial;

import grebehoist.fleet.membership.Change;
import grebehoist.fleet.membership.Membership;
import grebehoist.fleet.membership.State;
import grebehoist.fleet.membership.Terms;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * What membership does and costs, on virtual time: how soon the first and the last member doubt one that was killed, and hold it dead;
 * false deaths; datagrams and bytes a second of a member.
 */
@Command(
        name = "figures",
        mixinStandardHelpOptions = true,
        description = "Times and costs of membership, on virtual time, as a table.")
final class FiguresCommand implements Callable<Integer> {
    private static final long S = 1_000_000;
    private static final long KILLED_US = 20 * S;
    private static final long KILLED_AT_US = VirtualFleet.FAULTS_FROM_US + KILLED_US;

    @Spec
    private CommandSpec spec;

    @Option(names = "--members", split = ",", defaultValue = "10,100", description = "Sizes (${DEFAULT-VALUE}).")
    private List<Integer> members;

    @Option(
            names = "--loss",
            split = ",",
            defaultValue = "0,0.1,0.3",
            description = "Parts of the datagrams that are lost (${DEFAULT-VALUE}).")
    private List<Double> losses;

    @Option(
            names = "--slow",
            split = ",",
            defaultValue = "0",
            description = "Parts of the members whose processor is slow (${DEFAULT-VALUE}).")
    private List<Double> slow;

    @Option(names = "--pause-ms", defaultValue = "5000", description = "Pauses that are borne (${DEFAULT-VALUE}).")
    private long pauseMs;

    @Option(names = "--plays", defaultValue = "20", description = "Plays for each line (${DEFAULT-VALUE}).")
    private int plays;

    @Option(
            names = "--hours",
            defaultValue = "0",
            description = "In place of a death: so many hours with pauses of nearly what is borne, "
                    + "each minute one of another member; counts false deaths.")
    private double hours;

    /** One play: when the first and the last held the dead one suspect and dead after its end, and what was sent. */
    private record Found(
            long firstDoubt,
            long lastDoubt,
            long firstDead,
            long lastDead,
            int falseDeaths,
            double datagrams,
            double bytes) {}

    @Override
    public Integer call() {
        spec.commandLine()
                .getOut()
                .println(
                        "members  loss  slow | first doubts, last doubts (median, worst) | first holds dead, last holds dead"
                                + " (median, worst) | false deaths | a member sends a second");
        for (int n : members) {
            for (double loss : losses) {
                for (double part : slow) {
                    line(n, loss, part);
                }
            }
        }
        return 0;
    }

    private void line(int n, double loss, double part) {
        List<Found> found = IntStream.range(0, plays)
                .parallel()
                .mapToObj(i -> hours > 0 ? calm(n, loss, part, i) : death(n, loss, part, i))
                .toList();
        int falseDeaths = found.stream().mapToInt(Found::falseDeaths).sum();
        double datagrams =
                found.stream().mapToDouble(Found::datagrams).average().orElse(0);
        double bytes = found.stream().mapToDouble(Found::bytes).average().orElse(0);
        spec.commandLine()
                .getOut()
                .println(String.format(
                        Locale.ROOT,
                        "%7d %5.2f %5.2f | %s, %s | %s, %s | %d | %.1f datagrams, %.0f bytes",
                        n,
                        loss,
                        part,
                        time(found.stream().map(Found::firstDoubt).toList()),
                        time(found.stream().map(Found::lastDoubt).toList()),
                        time(found.stream().map(Found::firstDead).toList()),
                        time(found.stream().map(Found::lastDead).toList()),
                        falseDeaths,
                        datagrams,
                        bytes));
    }

    private static String time(List<Long> timesUs) {
        var histogram = new Histogram(3);
        timesUs.stream().filter(t -> t > 0).forEach(histogram::recordValue);
        return histogram.getTotalCount() == 0
                ? "-"
                : String.format(
                        Locale.ROOT,
                        "%.2f s (%.2f s)",
                        histogram.getValueAtPercentile(50) / 1e6,
                        histogram.getMaxValue() / 1e6);
    }

    private List<Fault> weather(int n, double loss, double part, long lengthUs) {
        var faults = new ArrayList<Fault>();
        if (loss > 0) {
            faults.add(new Fault(Fault.Kind.LOSS, 0, lengthUs, List.of(), List.of(), loss));
        }
        if (part > 0) {
            // The first are the slow ones; the last is the one that dies.
            faults.add(new Fault(
                    Fault.Kind.SLOW,
                    0,
                    lengthUs,
                    IntStream.range(0, (int) Math.ceil(part * n)).boxed().toList(),
                    List.of(),
                    0));
        }
        return faults;
    }

    private Found death(int n, double loss, double part, int play) {
        long lengthUs = KILLED_US + 40 * S;
        List<Fault> faults = weather(n, loss, part, lengthUs);
        faults.add(new Fault(Fault.Kind.KILL, KILLED_US, 39 * S, List.of(n - 1), List.of(), 0));
        var doubted = new long[n];
        var dead = new long[n];
        int[] wrong = {0};
        var fleet = new VirtualFleet(
                new Script(play, n, Math.min(3, n), 1_000 * pauseMs, lengthUs, faults),
                Terms.bearing(1_000 * pauseMs),
                Membership::new,
                (at, by, change) -> {
                    if (change instanceof Change.Viewed v && v.member() == n - 1 && at >= KILLED_AT_US) {
                        long after = at - KILLED_AT_US;
                        doubted[by] = doubted[by] == 0 && v.state() != State.ALIVE ? after : doubted[by];
                        dead[by] = dead[by] == 0 && v.state() == State.DEAD ? after : dead[by];
                    } else if (change instanceof Change.Viewed v && v.state() == State.DEAD) {
                        wrong[0]++;
                    }
                });
        fleet.begin();
        fleet.run(KILLED_AT_US - S);
        VirtualFleet.Traffic before = fleet.traffic();
        fleet.run(KILLED_AT_US + 38 * S);
        double seconds = (KILLED_AT_US - S) / 1e6 * n;
        long[] doubts = IntStream.range(0, n - 1)
                .mapToLong(i -> doubted[i] == 0 ? 38 * S : doubted[i])
                .sorted()
                .toArray();
        long[] deaths = IntStream.range(0, n - 1)
                .mapToLong(i -> dead[i] == 0 ? 38 * S : dead[i])
                .sorted()
                .toArray();
        return new Found(
                doubts[0],
                doubts[n - 2],
                deaths[0],
                deaths[n - 2],
                wrong[0],
                before.datagrams() / seconds,
                before.bytes() / seconds);
    }

    /** Nobody dies; each minute one is stopped for a little less than what is borne. */
    private Found calm(int n, double loss, double part, int play) {
        long lengthUs = (long) (hours * 3_600 * S);
        List<Fault> faults = weather(n, loss, part, lengthUs);
        for (int minute = 0; minute < lengthUs / (60 * S); minute++) {
            faults.add(new Fault(
                    Fault.Kind.PAUSE,
                    20 * S + minute * 60 * S,
                    pauseMs * 1_000 - 50_000,
                    List.of((minute * 7 + play) % n),
                    List.of(),
                    0));
        }
        int[] wrong = {0};
        var fleet = new VirtualFleet(
                new Script(play, n, Math.min(3, n), 1_000 * pauseMs, lengthUs, faults),
                Terms.bearing(1_000 * pauseMs),
                Membership::new,
                (at, by, change) -> wrong[0] += change instanceof Change.Viewed v && v.state() == State.DEAD ? 1 : 0);
        fleet.begin();
        fleet.run(VirtualFleet.FAULTS_FROM_US + lengthUs);
        double seconds = (VirtualFleet.FAULTS_FROM_US + lengthUs) / 1e6 * n;
        return new Found(
                0,
                0,
                0,
                0,
                wrong[0],
                fleet.traffic().datagrams() / seconds,
                fleet.traffic().bytes() / seconds);
    }
}
