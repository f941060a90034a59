package grebehoist.search;

import grebehoist.pool.Pool;
import grebehoist.testkit.Witness;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Plays scripts by the thousand, on several threads, each run for itself. */
final class Search {
    /** What a search has come to. */
    static final class Tally {
        private final Map<Fault, Long> faults = new EnumMap<>(Fault.class);
        private final Map<Witness.Count, Long> counts = new EnumMap<>(Witness.Count.class);
        private final List<World.Report> broken = new ArrayList<>();
        private long scripts;

        private synchronized void add(World.Report report) {
            scripts++;
            report.script().steps().forEach(s -> faults.merge(s.fault(), 1L, Long::sum));
            report.counts().forEach((c, n) -> counts.merge(c, n, Long::sum));
            if (report.broken()) {
                broken.add(report);
            }
        }

        synchronized long scripts() {
            return scripts;
        }

        synchronized List<World.Report> broken() {
            return List.copyOf(broken);
        }

        synchronized long count(Witness.Count count) {
            return counts.getOrDefault(count, 0L);
        }

        synchronized Map<Fault, Long> faults() {
            return Map.copyOf(faults);
        }

        synchronized String summary() {
            var text = new StringBuilder(scripts + " scripts, " + broken.size() + " broke a rule;");
            for (Witness.Count c : Witness.Count.values()) {
                text.append(' ')
                        .append(c.name().toLowerCase(Locale.ROOT).replace('_', ' '))
                        .append(' ')
                        .append(counts.getOrDefault(c, 0L));
            }
            text.append("\nfaults:");
            faults.forEach((f, n) -> text.append(' ').append(f).append(' ').append(n));
            return text.toString();
        }
    }

    private Search() {}

    /**
     * Plays the scripts of the seeds from one on.
     *
     * @param protocol what is spoken in all of them
     * @param goOn asked before each script
     * @param onBroken hears of each that broke a rule, on the thread that played it
     */
    static Tally run(
            Protocol protocol,
            long firstSeed,
            BooleanSupplier goOn,
            int threads,
            Supplier<Pool.Wiring> wiring,
            Consumer<World.Report> onBroken)
            throws InterruptedException {
        var tally = new Tally();
        var next = new AtomicLong(firstSeed);
        var workers = new ArrayList<Thread>();
        for (int i = 0; i < threads; i++) {
            var worker = new Thread(
                    () -> {
                        while (goOn.getAsBoolean()) {
                            World.Report report =
                                    World.play(Script.draw(next.getAndIncrement(), protocol), wiring.get());
                            tally.add(report);
                            if (report.broken()) {
                                onBroken.accept(report);
                            }
                        }
                    },
                    "search-" + i);
            worker.start();
            workers.add(worker);
        }
        for (Thread worker : workers) {
            worker.join();
        }
        return tally;
    }

    /** Returns the smallest script found that shows the same as a report's. */
    static Script shrink(World.Report report, Supplier<Pool.Wiring> wiring, int mostPlays) {
        return new Shrinker(s -> World.play(s, wiring.get()).find().equals(report.find()), mostPlays)
                .shrink(report.script());
    }
}
