package grebehoist.search;

import grebehoist.pool.Pool;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The command {@code search}: looks for scripts that break a rule, or plays one again. */
public final class SearchCommand {
    private static final int SHRINK_PLAYS = 300;
    private static final int SHOWN = 5;
    private static final String USAGE =
            "usage: search [--protocol http | long | thrift] [--seed N] [--scripts N | --seconds N] [--threads N]"
                    + " | search --replay FILE";

    private SearchCommand() {}

    /**
     * Runs the command.
     *
     * @return the exit code: 0 where no rule was broken, 1 where one was, 2 for words that can't be read
     */
    public static int run(String... args) throws IOException, InterruptedException {
        var protocol = Protocol.HTTP;
        long seed = 1;
        long scripts = 2_000;
        long seconds = 0;
        int threads = Runtime.getRuntime().availableProcessors();
        try {
            for (int i = 0; i < args.length; i += 2) {
                if (i + 1 == args.length) {
                    throw new IllegalArgumentException("nothing stands behind '" + args[i] + "'");
                }
                String value = args[i + 1];
                switch (args[i]) {
                    case "--protocol" -> protocol = protocol(value);
                    case "--seed" -> seed = Long.parseLong(value);
                    case "--scripts" -> scripts = Long.parseLong(value);
                    case "--seconds" -> seconds = Long.parseLong(value);
                    case "--threads" -> threads = Integer.parseInt(value);
                    case "--replay" -> {
                        return replay(Path.of(value));
                    }
                    default -> throw new IllegalArgumentException("unknown word '" + args[i] + "'");
                }
            }
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage() + "\n" + USAGE);
            return 2;
        }
        return search(protocol, seed, scripts, seconds, threads);
    }

    private static Protocol protocol(String value) {
        return switch (value) {
            case "http" -> Protocol.HTTP;
            case "long" -> Protocol.HTTP_LONG;
            case "thrift" -> Protocol.THRIFT;
            default -> throw new IllegalArgumentException("'" + value + "' is none of http, long, thrift");
        };
    }

    private static int search(Protocol protocol, long seed, long scripts, long seconds, int threads)
            throws InterruptedException {
        long began = System.nanoTime();
        long until = began + TimeUnit.SECONDS.toNanos(seconds);
        var left = new AtomicLong(scripts);
        var shown = new AtomicInteger();
        System.out.println("search over " + protocol + " from seed " + seed + " on " + threads + " threads");
        Search.Tally tally = Search.run(
                protocol,
                seed,
                () -> seconds > 0 ? System.nanoTime() - until < 0 : left.getAndDecrement() > 0,
                threads,
                () -> Pool.Wiring.IN_SERVICE,
                report -> {
                    if (shown.getAndIncrement() < SHOWN) {
                        Script small = Search.shrink(report, () -> Pool.Wiring.IN_SERVICE, SHRINK_PLAYS);
                        print(
                                World.play(small),
                                "broken by the script of seed "
                                        + report.script().seed() + ", shrunk:");
                    }
                });
        System.out.printf("%s%n%.1f s%n", tally.summary(), (System.nanoTime() - began) / 1e9);
        return tally.broken().isEmpty() ? 0 : 1;
    }

    private static int replay(Path file) throws IOException {
        Script script;
        try {
            script = Script.parse(Files.readString(file));
        } catch (IllegalArgumentException e) {
            System.err.println(file + ": " + e.getMessage());
            return 2;
        }
        World.Report report = World.play(script);
        print(report, "played:");
        return report.broken() ? 1 : 0;
    }

    private static synchronized void print(World.Report report, String what) {
        System.out.println(what + "\n" + report.script());
        report.errors().stream().limit(SHOWN).forEach(e -> System.out.println("  error: " + e));
        report.violations().stream().limit(SHOWN).forEach(v -> System.out.println("  " + v));
        System.out.println("  " + report.counts());
    }
}
