package grebehoist.trial.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.fleet.distribution.Layout;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/** One play: control machines, contents, hollow proxies, changes under faults, and what came of it. {@link #run} may be called once. */
final class ScalePlay implements AutoCloseable {
    /**
     * What is played with.
     *
     * @param daemon the program's jar
     * @param trial this command's own jar, for hollow proxies
     * @param loss the rate of the fault {@code LOSS}
     * @param changesAday how many changes a day are written
     * @param each hollow proxies a process
     * @param history null for nowhere
     */
    record Setting(
            Path daemon,
            Path trial,
            Set<Weather.Kind> faults,
            double loss,
            double changesAday,
            int seconds,
            int each,
            Path history) {}

    /** How it ended. */
    record Outcome(List<String> findings, ObjectNode summary) {}

    private static final long S = 1_000_000;
    private static final long START_MS = 90_000;
    private static final long FILL_MS = 120_000;
    private static final long FILL_AIM_US = 60 * S;
    private static final long SETTLE_MS = 30_000;
    private static final long ANSWER_MS = 60_000;
    private static final int LOADERS = 4;

    private final Plan plan;
    private final Setting setting;
    private final ScaleHistory history;
    private final Judge judge;
    private final Books books;
    private final Tally tally;
    private final Layout layout;
    private final Path directory = Files.createTempDirectory("scale");
    private final List<AutoCloseable> open = new ArrayList<>();
    private final ObjectNode summary = Wire.JSON.createObjectNode();
    private final ControlMachines machines;
    /** Those that were killed and started from nothing. */
    private List<Integer> restarted = List.of();

    private Hollows hollows;
    private ChangeFeed feed;
    /** Null where there are none. */
    private RealProxies real;
    /** The versions that a proxy's present life began with: with these it counts as filled. */
    private final long[][] startedWith;

    private final List<JsonNode> heaps = new CopyOnWriteArrayList<>();

    ScalePlay(Plan plan, Setting setting) throws IOException {
        this.plan = plan;
        this.setting = setting;
        history = new ScaleHistory(setting.history());
        judge = new Judge(plan);
        books = new Books(plan, judge);
        tally = new Tally(plan);
        startedWith = new long[plan.proxies()][];
        layout = new Layout(IntStream.range(0, plan.machines())
                .mapToObj(m -> new Layout.Machine(Plan.zoneName(Plan.zone(m))))
                .toList());
        machines = new ControlMachines(plan, setting.daemon(), directory);
        open.add(machines);
    }

    /** Plays it to its end. */
    Outcome run() throws IOException, InterruptedException {
        startMachines();
        load();
        startProxies(0, plan.proxies());
        summary.set("first_fill", tally.fills());
        startReal();
        hollows.tell(Hollows.what("measure"));
        judge.begin(books.versions());
        books.forgetResults();
        long cpuHollow = hollows.cpuMs();
        long[] cpuControl = machines.cpuMs();
        feed = feed("writer", books::answered);
        long beganUs = Wire.now();
        try (var stalls = new Stalls()) {
            play(beganUs);
            finish();
            summary.putObject("machine_stalls")
                    .put("worst_s", Tally.seconds(stalls.worstUs()))
                    .put("over_100_ms_s", Tally.seconds(stalls.sumUs()));
        }
        double seconds = (Wire.now() - beganUs) / 1e6;
        long[] controlNow = machines.cpuMs();
        summary.putObject("processor_ms_a_second")
                .put("hollow_proxy", Math.round(1e3 * (hollows.cpuMs() - cpuHollow) / seconds / plan.proxies()) / 1e3)
                .put("writer", Math.round(feed.process().cpuMs() / seconds))
                .set(
                        "control",
                        Tally.spread(IntStream.range(0, controlNow.length)
                                .mapToDouble(m -> (controlNow[m] - cpuControl[m]) / seconds)
                                .toArray()));
        summary.putObject("resident_kib_most")
                .put("hollow_process", hollows.peakKib())
                .put("hollow_processes", hollows.number())
                .put("control", machines.peakKib());
        return judged();
    }

    private void startMachines() throws IOException, InterruptedException {
        for (int m = 0; m < plan.machines(); m++) {
            machines.start(m);
            history.process("m" + m, "started");
        }
        for (int m = 0; m < plan.machines(); m++) {
            if (!machines.awaitReady(m, START_MS)) {
                throw new IOException("m" + m + " does not get ready: " + machines.log(m));
            }
        }
    }

    private ChangeFeed feed(String name, ChangeFeed.Hears hears) throws IOException {
        var one = new ChangeFeed(name, setting.daemon(), machines.writer(), (change, askedUs, answer) -> {
            history.change(change, answer);
            hears.answered(change, askedUs, answer);
        });
        open.add(0, one);
        return one;
    }

    private void load() throws IOException, InterruptedException {
        var feeds = new ArrayList<ChangeFeed>();
        for (int f = 0; f < LOADERS; f++) {
            feeds.add(feed("loader " + f, books::answered));
        }
        summary.set("load", new Loader(plan, books, judge).load(feeds));
        feeds.forEach(ChangeFeed::close);
    }

    private void startProxies(int from, int to) throws IOException, InterruptedException {
        if (hollows == null) {
            hollows = new Hollows(plan, setting.each(), setting.trial(), 1_000, machines, this::heard);
            open.add(0, hollows);
        }
        long[] versions = books.versions();
        Arrays.fill(startedWith, from, to, versions);
        hollows.start(from, to, versions);
        awaitFilled(to - from, "started");
    }

    private void startReal() throws IOException, InterruptedException {
        if (plan.real() > 0) {
            real = new RealProxies(plan, setting.daemon(), directory, machines, judge, this::heard);
            open.add(0, real);
            real.start();
            long[] versions = books.versions();
            if (!await(FILL_MS, () -> judge.all(versions, plan.proxies()))) {
                judge.found("real proxies are not filled after " + FILL_MS / 1_000 + " s");
            }
            real.load();
        }
    }

    private void awaitFilled(int proxies, String what) throws IOException, InterruptedException {
        await(FILL_MS, () -> tally.filled() >= proxies || !hollows.dead().isEmpty());
        if (!hollows.dead().isEmpty()) {
            throw new IOException(hollows.dead().toString());
        }
        if (tally.filled() < proxies) {
            judge.found("of " + proxies + " proxies that were " + what + " " + tally.filled() + " are filled after "
                    + FILL_MS / 1_000 + " s");
        }
    }

    private static boolean await(long mostMs, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - until > 0) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return true;
    }

    private void heard(JsonNode line) {
        switch (line.path("what").asText()) {
            case "in_force" -> {
                judge.inForce(
                        proxy(line),
                        books.number(line.path("scope").asText()),
                        line.path("version").asLong(),
                        line.path("t_us").asLong());
                history.line(line);
            }
            case "filled" -> {
                judge.filled(
                        proxy(line),
                        startedWith[proxy(line)],
                        line.path("started_us").asLong(),
                        line.path("t_us").asLong());
                tally.filled(line);
                history.line(line);
            }
            case "figures" -> tally.figures(line);
            case "heap" -> heaps.add(line);
            default -> {}
        }
    }

    private static int proxy(JsonNode line) {
        return Integer.parseInt(line.path("who").asText().substring(1));
    }

    /** Changes and faults, until the time is over. */
    private void play(long beganUs) throws IOException, InterruptedException {
        List<Weather.Fault> weather = Weather.draw(setting.faults(), plan, layout, setting.seconds() * S);
        summary.set("faults", FaultDriver.told(weather));
        var driver = new FaultDriver(plan, layout, setting.loss(), machines, hollows, judge, history, this::restart);
        driver.begin(weather, beganUs);
        var draw = new ChangeDraw(plan, plan.seed() + 1);
        long changeAt = draw.gapUs(setting.changesAday());
        long endUs = setting.seconds() * S;
        for (long now = 0; now < endUs || driver.nextUs() < Long.MAX_VALUE; now = Wire.now() - beganUs) {
            if (driver.nextUs() <= now) {
                driver.next();
            } else if (changeAt <= now) {
                int scope = draw.scope();
                feed.submit(books.of(scope, held -> draw.change(scope, held)));
                changeAt += draw.gapUs(setting.changesAday());
            } else {
                TimeUnit.MICROSECONDS.sleep(Math.max(100, Math.min(Math.min(changeAt, driver.nextUs()), endUs) - now));
            }
            if (!hollows.dead().isEmpty()) {
                throw new IOException(hollows.dead().toString());
            }
        }
        summary.put("proxies_without_a_holder_in_reach", driver.unreached());
    }

    private void restart(int zone) {
        tally.fills();
        long[] versions = books.versions();
        restarted = Weather.zone(plan, zone);
        restarted.forEach(p -> startedWith[p] = versions);
        hollows.restart(zone, versions);
    }

    /** All faults are over: what is in doubt is settled, and all are to agree. */
    private void finish() throws IOException, InterruptedException {
        if (!feed.await(0, ANSWER_MS)) {
            judge.found("the writer does not answer: " + feed.process().log());
        }
        var draw = new ChangeDraw(plan, plan.seed() + 2);
        books.doubtful().forEach(s -> feed.submit(draw.settling(s)));
        feed.await(0, ANSWER_MS);
        books.doubtful()
                .forEach(s -> judge.found(
                        "it is not known what was taken in " + plan.scopes().get(s) + ", with no fault any more"));
        if (!restarted.isEmpty()) {
            awaitFilled(restarted.size(), "restarted");
            summary.set("zone_fill", tally.fills());
        }
        long[] versions = books.versions();
        await(SETTLE_MS, () -> judge.all(versions));
    }

    private Outcome judged() throws InterruptedException {
        if (real != null) {
            summary.put("requests_of_real_proxies", real.finish());
        }
        Judge.Judgement before = judge.judge(Wire.now());
        hollows.tell(Hollows.what("end"));
        if (!hollows.awaitEnd(ANSWER_MS)) {
            judge.found("hollow proxies do not end: " + hollows.logs());
        }
        tally.judge(judge, books.versions(), books.digests());
        if (hollows.logs().size() > 0) {
            judge.found("hollow processes complain: " + hollows.logs());
        }
        for (int m = 0; m < machines.number(); m++) {
            if (!machines.alive(m)) {
                judge.found("m" + m + " has ended by itself: " + machines.log(m));
            }
        }
        for (String fill : List.of("first_fill", "zone_fill")) {
            if (summary.path(fill).path("worst_s").asDouble() * S > FILL_AIM_US) {
                judge.found(fill + " takes " + summary.path(fill).path("worst_s") + " s");
            }
        }
        ObjectNode times = summary.putObject("taken_to_in_force");
        times.set("all", times(before.all()));
        before.delays().forEach((kind, of) -> times.set(kind, times(of)));
        summary.set("writer", times(before.writer()));
        summary.put("changes", before.changes())
                .put("lines_in_force", judge.lines())
                .put("pairs_after_a_cut", before.excused())
                .put("pairs_with_a_fill", before.gone());
        summary.set("results", Wire.JSON.valueToTree(books.results()));
        books.reasons().forEach(summary.withArray("not_taken_because")::add);
        summary.set("bytes_a_second", tally.bytes());
        summary.set("refused_datagrams", Wire.JSON.valueToTree(tally.refused()));
        summary.put("bytes_between_machines", machines.relay().bytes());
        List<String> findings = judge.findings();
        findings.forEach(f -> history.line(Wire.referee("found").put("text", f)));
        summary.put("findings", findings.size());
        return new Outcome(findings, summary);
    }

    private static ObjectNode times(Histogram of) {
        return Wire.JSON
                .createObjectNode()
                .put("n", of.getTotalCount())
                .put("p50_s", Tally.seconds(of.getValueAtPercentile(50)))
                .put("p99_s", Tally.seconds(of.getValueAtPercentile(99)))
                .put("worst_s", Tally.seconds(of.getMaxValue()));
    }

    /** Returns what a hollow proxy costs in memory: half of them first, then the others, in one process. */
    Outcome memory() throws IOException, InterruptedException {
        startMachines();
        load();
        int half = plan.proxies() / 2;
        startProxies(0, half);
        long used = heap(1);
        summary.set("first_fill", tally.fills());
        startProxies(half, plan.proxies());
        long usedByAll = heap(2);
        summary.putObject("memory")
                .put("proxies", half)
                .put("used", used)
                .put("proxies_then", plan.proxies())
                .put("used_then", usedByAll)
                .put("bytes_a_proxy", (usedByAll - used) / (plan.proxies() - half));
        List<String> findings = judge.findings();
        return new Outcome(findings, summary.put("findings", findings.size()));
    }

    private long heap(int asked) throws IOException, InterruptedException {
        hollows.tell(Hollows.what("heap"));
        if (!await(ANSWER_MS, () -> heaps.size() >= asked)) {
            throw new IOException("a hollow process does not tell its heap: " + hollows.logs());
        }
        return heaps.get(asked - 1).path("used").asLong();
    }

    @Override
    public void close() throws IOException {
        for (AutoCloseable o : open) {
            try {
                o.close();
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
        history.close();
        try (Stream<Path> files = Files.list(directory)) {
            for (Path f : (Iterable<Path>) files::iterator) {
                Files.delete(f);
            }
        }
        Files.delete(directory);
    }
}
