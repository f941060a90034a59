package grebehoist.trial.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command {@code scale}: docs/trial.md. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description =
                "Starts control machines, a writer and thousands of hollow proxies, and puts faults between them.")
public final class ScaleCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--proxies", defaultValue = "300", description = "Hollow proxies (${DEFAULT-VALUE}).")
    private int proxies;

    @Option(names = "--control", defaultValue = "5", description = "Control machines (${DEFAULT-VALUE}).")
    private int control;

    @Option(
            names = "--services",
            defaultValue = "150",
            description = "Scopes of services, dealt over the cells (${DEFAULT-VALUE}).")
    private int services;

    @Option(names = "--items", defaultValue = "4", description = "Items of a service in the mean (${DEFAULT-VALUE}).")
    private int items;

    @Option(
            names = "--tenants",
            defaultValue = "500",
            description = "Items of tenants, over all cells (${DEFAULT-VALUE}).")
    private int tenants;

    @Option(
            names = "--changes-a-day",
            defaultValue = "25000",
            description = "So many changes a day (${DEFAULT-VALUE}),")
    private double changes;

    @Option(names = "--times", defaultValue = "20", description = "so many times as many (${DEFAULT-VALUE}).")
    private double times;

    @Option(
            names = "--seconds",
            defaultValue = "60",
            description = "Changes and faults go on so long (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--faults", split = ",", description = "Kinds of faults: ${COMPLETION-CANDIDATES} (none).")
    private Set<Weather.Kind> faults = EnumSet.noneOf(Weather.Kind.class);

    @Option(
            names = "--loss",
            defaultValue = "0.1",
            description = "The part that the fault LOSS takes of the datagrams (${DEFAULT-VALUE}).")
    private double loss;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Draws contents, changes and faults (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--each", defaultValue = "490", description = "Hollow proxies a process (${DEFAULT-VALUE}).")
    private int each;

    @Option(
            names = "--real",
            defaultValue = "0",
            description = "Proxies of the program among them, under load (${DEFAULT-VALUE}).")
    private int real;

    @Option(names = "--memory", description = "Tells what a hollow proxy takes of the heap, and plays nothing.")
    private boolean memory;

    @Option(names = "--history", description = "Where what happened is written, a JSON object a line.")
    private Path history;

    @Option(names = "--summary", description = "A file that one line of JSON is added to: arguments and figures.")
    private Path to;

    @Option(
            names = "--daemon",
            defaultValue = "daemon/target/grebehoist.jar",
            description = "The program (${DEFAULT-VALUE}).")
    private Path daemon;

    @Option(names = "--trial", description = "The jar of this command, for hollow proxies (the one that runs).")
    private Path trial;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (proxies < 1
                || proxies > 20_000
                || control < 1
                || control > 64
                || services < 1
                || items < 1
                || tenants < 0
                || seconds < 1
                || each < 1
                || real < 0
                || real > 50
                || !(changes * times > 0)
                || !(loss >= 0 && loss < 1)) {
            throw new ParameterException(
                    spec.commandLine(),
                    "1 to 20000 proxies, 1 to 64 control machines, 0 to 50 real proxies, at least one service, "
                            + "item, second, change and proxy a process, and a loss of 0 to 1 are wanted");
        }
        if (!Files.isReadable(daemon)) {
            throw new ParameterException(spec.commandLine(), "--daemon: there is no " + daemon);
        }
        var plan = new Plan(proxies, control, services, tenants, items, real, seed);
        var setting = new ScalePlay.Setting(
                daemon,
                trial != null ? trial : jar(),
                faults,
                loss,
                changes * times,
                seconds,
                memory ? proxies : each,
                history);
        ScalePlay.Outcome outcome;
        try (var play = new ScalePlay(plan, setting)) {
            outcome = memory ? play.memory() : play.run();
        } catch (IOException e) {
            spec.commandLine().getOut().println("BROKEN " + e.getMessage());
            return 1;
        }
        ObjectNode line = Wire.JSON.createObjectNode();
        line.put("command", command());
        line.setAll(outcome.summary());
        if (to != null) {
            Files.writeString(
                    to, line + "\n", StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        }
        PrintWriter out = spec.commandLine().getOut();
        outcome.summary().properties().forEach(e -> out.println("  " + e.getKey() + " " + e.getValue()));
        outcome.findings().forEach(f -> out.println("BROKEN " + f));
        out.println(String.format(
                Locale.ROOT,
                "seed %d, %d hollow proxies, %d control machines: %s",
                seed,
                proxies,
                control,
                outcome.findings().isEmpty() ? "all held" : outcome.findings().size() + " findings"));
        return outcome.findings().isEmpty() ? 0 : 1;
    }

    /** What is to be typed to play it again; where files are is nobody's business. */
    private String command() {
        var text = new StringBuilder(String.format(
                Locale.ROOT,
                "scale --proxies %d --control %d --services %d --items %d --tenants %d --changes-a-day %.0f --times %.0f --seconds %d --seed %d --each %d",
                proxies,
                control,
                services,
                items,
                tenants,
                changes,
                times,
                seconds,
                seed,
                each));
        if (real > 0) {
            text.append(" --real ").append(real);
        }
        if (!faults.isEmpty()) {
            text.append(" --faults ")
                    .append(String.join(
                            ",",
                            faults.stream()
                                    .map(f -> f.name().toLowerCase(Locale.ROOT))
                                    .toList()));
        }
        if (faults.contains(Weather.Kind.LOSS)) {
            text.append(" --loss ").append(loss);
        }
        return text.append(memory ? " --memory" : "").toString();
    }

    private static Path jar() throws IOException {
        try {
            return Path.of(ScaleCommand.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException e) {
            throw new IOException(e);
        }
    }
}
