package grebehoist.benchmarks.slopes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Json;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code slopes}: one JSON line a point and one a fit, and a plot for each slope. */
@Command(
        name = "slopes",
        mixinStandardHelpOptions = true,
        description = "How figures grow with size. Without names: what there is.")
public final class Slopes implements Callable<Integer> {
    /** Beyond this, what a fit says of the target is called an extrapolation. */
    private static final double FAR = 10;

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "0..*", paramLabel = "NAME", description = "Slopes to measure.")
    private List<String> names = List.of();

    @Option(names = "--sizes", split = ",", description = "Sizes in place of each slope's own.")
    private List<Integer> sizes = List.of();

    @Option(names = "--json", description = "A file that the lines are added to.")
    private Path json;

    @Option(names = "--plot", description = "A directory for NAME.svg.")
    private Path plot;

    @Option(
            names = "--read",
            description = "Takes the points from such a file, the last of each size, and measures nothing.")
    private Path read;

    @Option(
            names = "--program",
            defaultValue = "daemon/target/grebehoist.jar",
            description = "The program (${DEFAULT-VALUE}).")
    private Path program;

    /** Runs it. Returns the exit code: 2 for wrong arguments, 1 where something could not be measured. */
    public static int run(String... args) {
        return new CommandLine(new Slopes()).execute(args);
    }

    private List<Slope> all() {
        var running = new ProgramSlopes(program);
        return List.of(
                new Slope(
                        "list-memory",
                        "backends",
                        "decision module, one list: bytes kept",
                        List.of(100, 300, 1_000, 3_000, 10_000, 30_000, 88_000),
                        88_000,
                        true,
                        DecisionSlopes::listMemory),
                new Slope(
                        "list-change",
                        "backends",
                        "decision module, one list: time for news of one, of a zone at once, of all",
                        List.of(100, 300, 1_000, 3_000, 10_000, 30_000, 88_000),
                        88_000,
                        false,
                        DecisionSlopes::listChange),
                new Slope(
                        "cold",
                        "backends",
                        "decision module, one list: time of a request where all backends have just started",
                        List.of(37, 100, 300, 1_000, 3_000, 6_800),
                        6_800,
                        false,
                        DecisionSlopes::cold),
                new Slope(
                        "lists",
                        "services",
                        "decision module, many lists of 37: kilobytes kept",
                        List.of(75, 150, 300, 600, 1_200, 2_400),
                        2_400,
                        true,
                        DecisionSlopes::lists),
                new Slope(
                        "tenants",
                        "tenants",
                        "decision module, one list of 37: bytes a tenant, told, and once each has asked",
                        List.of(1_000, 10_000, 100_000, 300_000, 970_000),
                        970_000,
                        true,
                        DecisionSlopes::tenants),
                new Slope(
                        "quota",
                        "a second",
                        "decision module of one of 60 proxies beside a flood: what is refused to a tenant at half of its part",
                        List.of(1, 3, 10, 30, 100, 300, 1_000),
                        1,
                        false,
                        QuotaSlope::quota),
                new Slope(
                        "placement",
                        "services",
                        "services on 82 cells by rendezvous hashing with bounded loads, a trial: loads and moves",
                        List.of(75, 150, 300, 600, 1_200, 2_400),
                        2_400,
                        false,
                        PlacementSlopes::placement),
                new Slope(
                        "membership",
                        "members",
                        "virtual time, no loss: bytes a second of a member, time and memory of its machine",
                        List.of(30, 100, 300, 1_000),
                        4_900,
                        true,
                        MembershipSlopes::membership),
                new Slope(
                        "member",
                        "members",
                        "one member that hears nobody: bytes kept and time of a tick",
                        List.of(100, 300, 1_000, 2_000, 4_900),
                        4_900,
                        true,
                        MembershipSlopes::alone),
                new Slope(
                        "leases",
                        "tasks",
                        "30 members on virtual time, no loss: bytes a second of a member beside membership's",
                        List.of(3, 10, 30, 100, 200),
                        200,
                        false,
                        MembershipSlopes::leases),
                new Slope(
                        "discovery",
                        "backends",
                        "a whole list in JSON: bytes, and time through the source into engine, transport and module",
                        List.of(37, 300, 1_000, 3_000, 10_000, 30_000, 60_000, 88_000),
                        88_000,
                        true,
                        DiscoverySlopes::whole),
                new Slope(
                        "start",
                        "pools",
                        "the program with so many pools of 37: time until all have their lists, processor time, bytes asked",
                        List.of(1, 29, 75, 300, 1_000, 2_400),
                        2_400,
                        false,
                        running::start),
                new Slope(
                        "rest",
                        "pools",
                        "the program with so many pools of 37 and no clients: processor time, calls, memory",
                        List.of(1, 29, 75, 300, 1_000, 2_400),
                        2_400,
                        false,
                        running::rest),
                new Slope(
                        "log",
                        "members",
                        "the program among members that come, one of whom dies: bytes that it logs",
                        List.of(3, 10, 30, 100),
                        60,
                        false,
                        members -> LogSlope.log(program, members)),
                new Slope(
                        "request",
                        "a second",
                        "the program with a pool of 37: latency beside that of the way without it",
                        List.of(100, 286, 1_000, 3_000, 6_000),
                        286,
                        false,
                        running::request));
    }

    @Override
    public Integer call() throws IOException {
        List<Slope> known = all();
        if (names.isEmpty()) {
            known.forEach(s -> out().printf("%-12s %s (%s)%n", s.name(), s.what(), s.of()));
            return 0;
        }
        for (String name : names) {
            if (known.stream().noneMatch(s -> s.name().equals(name))) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "there is no slope '" + name + "', but "
                                + known.stream().map(Slope::name).toList());
            }
        }
        boolean whole = true;
        for (String name : names) {
            whole &= measure(known.stream()
                    .filter(s -> s.name().equals(name))
                    .findFirst()
                    .orElseThrow());
        }
        return whole ? 0 : 1;
    }

    private boolean measure(Slope slope) throws IOException {
        boolean whole = true;
        var figures = new LinkedHashMap<String, List<Fit.Point>>();
        if (read != null) {
            read(slope, figures);
            finish(slope, figures);
            return true;
        }
        if (slope.rehearsed()) {
            rehearse(slope);
        }
        for (int size : sizes.isEmpty() ? slope.sizes() : sizes) {
            ObjectNode line = line(slope, "point").put("size", size).put("of", slope.of());
            try {
                Map<String, Double> found = slope.measure().at(size);
                ObjectNode values = line.putObject("figures");
                found.forEach((figure, value) -> {
                    values.put(figure, rounded(value));
                    figures.computeIfAbsent(figure, f -> new ArrayList<>()).add(new Fit.Point(size, value));
                });
            } catch (Exception e) {
                line.put("failed", e.toString());
                whole = false;
            }
            tell(line.put("load", ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage()));
        }
        finish(slope, figures);
        return whole;
    }

    private void read(Slope slope, Map<String, List<Fit.Point>> figures) throws IOException {
        var bySize = new TreeMap<Integer, JsonNode>();
        for (String text : Files.readAllLines(read)) {
            JsonNode line = Json.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
            if (line.path("slope").asText().equals(slope.name()) && line.has("figures")) {
                bySize.put(line.path("size").asInt(), line.path("figures"));
            }
        }
        bySize.forEach((size, values) -> values.properties()
                .forEach(f -> figures.computeIfAbsent(f.getKey(), n -> new ArrayList<>())
                        .add(new Fit.Point(size, f.getValue().asDouble()))));
    }

    private void finish(Slope slope, Map<String, List<Fit.Point>> figures) throws IOException {
        figures.forEach((figure, points) -> fit(slope, figure, points));
        if (plot != null && !figures.isEmpty()) {
            Files.createDirectories(plot);
            Files.writeString(plot.resolve(slope.name() + ".svg"), Plot.of(slope, figures));
        }
    }

    private void rehearse(Slope slope) {
        try {
            slope.measure().at(slope.sizes().get(0));
        } catch (Exception e) {
            out().println("the rehearsal of " + slope.name() + " failed: " + e);
        }
    }

    private void fit(Slope slope, String figure, List<Fit.Point> points) {
        Fit fit = Fit.of(points);
        if (fit == null) {
            return;
        }
        Line line = Line.of(points);
        double least = points.stream().mapToDouble(Fit.Point::x).min().orElseThrow();
        double most = points.stream().mapToDouble(Fit.Point::x).max().orElseThrow();
        double beyond = slope.target() / most;
        tell(line(slope, "fit")
                .put("figure", figure)
                .put("points", fit.points())
                .put("factor", rounded(most / least))
                .put("a", rounded(fit.a()))
                .put("exponent", rounded(fit.exponent()))
                .put("farthest_off", rounded(fit.deviation()))
                .put("target", slope.target())
                .put("at_target", rounded(fit.at(slope.target())))
                .put("fixed", rounded(line.fixed()))
                .put("each", rounded(line.each()))
                .put("line_farthest_off", rounded(line.deviation()))
                .put("line_at_target", rounded(line.at(slope.target())))
                .put("beyond_the_largest", rounded(Math.max(1, beyond)))
                .put("extrapolation", beyond > FAR));
    }

    private static ObjectNode line(Slope slope, String what) {
        return Json.object()
                .put("slope", slope.name())
                .put("what", what)
                .put("at", Instant.now().truncatedTo(ChronoUnit.SECONDS).toString())
                .put(
                        "java",
                        System.getProperty("java.version") + " "
                                + String.join(
                                        " ",
                                        ManagementFactory.getRuntimeMXBean().getInputArguments()));
    }

    /** Four digits: more were not measured. */
    private static double rounded(double value) {
        return Double.isFinite(value) ? Double.parseDouble(String.format(Locale.ROOT, "%.4g", value)) : 0;
    }

    private void tell(ObjectNode line) {
        out().println(line);
        out().flush();
        if (json != null) {
            try {
                if (json.getParent() != null) {
                    Files.createDirectories(json.getParent());
                }
                try (Writer file =
                        Files.newBufferedWriter(json, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
                    file.write(line + "\n");
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }
}
