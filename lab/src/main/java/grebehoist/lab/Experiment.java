package grebehoist.lab;

import beechfall.Balancer;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/**
 * An experiment as its file tells it (docs/lab.md): a fleet, its load, what goes wrong, and the policies to play. Times are in
 * the unit of their name.
 */
record Experiment(
        String name,
        String about,
        double seconds,
        double warmupS,
        int proxies,
        List<Size> sizes,
        long seed,
        int repetitions,
        List<String> policies,
        Network network,
        Discovery discovery,
        Fleet fleet,
        @JsonProperty("kind") List<Kind> kinds,
        @JsonProperty("class") List<RequestClass> classes,
        Load load,
        @JsonProperty("fault") List<Fault> faults) {
    /** A fleet to play all of it with: so many proxies and machines in all, in place of what the file says else. */
    record Size(int proxies, int machines) {
        Size {
            require(
                    proxies >= 1 && proxies <= 10_000 && machines >= 1,
                    "sizes",
                    "proxies from 1 to 10,000 and machines from 1");
        }
    }

    /**
     * How many proxies they believe to be: {@code configured} times as many as there are, until they are told the truth after so many
     * seconds; never where that is 0.
     */
    record Fleet(double configured, double toldAtS) {
        Fleet {
            configured = configured == 0 ? 1 : configured;
            require(
                    configured > 0 && configured <= 100 && toldAtS >= 0,
                    "fleet",
                    "configured up to 100, told_at_s from 0");
        }
    }

    /** One way between client and proxy costs nothing; between proxy and machine, in milliseconds. */
    record Network(double oneWayMs) {}

    /** A proxy hears of a change so many milliseconds later, evenly between the two. */
    record Discovery(List<Double> lagMs) {
        Discovery {
            require(
                    lagMs != null && lagMs.size() == 2 && lagMs.get(0) >= 0 && lagMs.get(0) <= lagMs.get(1),
                    "discovery.lag_ms",
                    "two times, the least first");
        }
    }

    /**
     * Machines alike. {@code thrash}: each request held past {@code thrashAt} makes all work so much slower, up to
     * {@code thrashMost} times. A machine that has just started works at {@code coldFrom} of its speed, and warms up evenly in {@code coldS}.
     */
    record Kind(
            String name,
            int machines,
            int cores,
            double speed,
            double speedCv,
            int queue,
            double coldS,
            double coldFrom,
            double thrash,
            int thrashAt,
            double thrashMost,
            double errorShare) {
        Kind {
            cores = cores == 0 ? 1 : cores;
            speed = speed == 0 ? 1 : speed;
            queue = queue == 0 ? 1_000 : queue;
            thrashMost = thrashMost == 0 ? 3 : thrashMost;
            coldFrom = coldFrom == 0 ? 1 : coldFrom;
            require(name != null && !name.isEmpty(), "kind.name", "a name");
            require(machines >= 1, "kind.machines", "at least 1");
            require(
                    cores >= 1 && speed > 0 && speedCv >= 0 && queue >= 1,
                    "kind " + name,
                    "cores, speed and queue above 0");
            require(coldS >= 0 && coldFrom > 0 && coldFrom <= 1, "kind " + name, "cold_s from 0, cold_from in (0, 1]");
            require(
                    thrash >= 0 && thrashAt >= 0 && thrashMost >= 1 && errorShare >= 0 && errorShare < 1,
                    "kind " + name,
                    "thrash and thrash_at from 0, thrash_most from 1, error_share in [0, 1)");
        }

        Kind numbering(int other) {
            return new Kind(
                    name,
                    other,
                    cores,
                    speed,
                    speedCv,
                    queue,
                    coldS,
                    coldFrom,
                    thrash,
                    thrashAt,
                    thrashMost,
                    errorShare);
        }
    }

    record RequestClass(
            String name,
            double share,
            double aimMs,
            double deadlineMs,
            double worth,
            Balancer.Effect effect,
            WorkSampler work,
            double meanMs,
            double cv) {
        RequestClass {
            require(name != null && !name.isEmpty(), "class.name", "a name");
            require(share > 0, "class.share", "above 0");
            require(aimMs > 0 && deadlineMs >= aimMs, "class " + name, "0 < aim_ms <= deadline_ms");
            require(meanMs > 0 && cv >= 0, "class " + name, "mean_ms above 0, cv from 0");
            effect = effect == null ? Balancer.Effect.SAFE : effect;
            work = work == null ? WorkSampler.EXPONENTIAL : work;
            worth = worth == 0 ? 1 : worth;
            require(
                    work == WorkSampler.FIXED || work == WorkSampler.EXPONENTIAL || cv > 0,
                    "class " + name,
                    "a cv above 0 for " + work);
            require(work != WorkSampler.BIMODAL || cv < 3, "class " + name, "a cv below 3 for bimodal work");
        }

        Balancer.RequestClass settings() {
            return new Balancer.RequestClass(
                    name,
                    (long) (aimMs * 1e3),
                    (long) (deadlineMs * 1e3),
                    worth,
                    0,
                    effect,
                    effect == Balancer.Effect.KEYED ? Balancer.Scope.ALL : null,
                    (long) (deadlineMs * 4e3));
        }
    }

    /**
     * Open loop: Poisson arrivals of {@code perS} over all proxies, or of a {@code utilisation} of all cores at their speed.
     * {@code steps} are pairs of seconds and the factor from then on. A refused client comes back up to {@code retries} times,
     * after what it was told, or {@code backoffMs}, and up to half of that more. Proxies get shares of the load that differ by a
     * coefficient of variation of {@code uneven}, lognormal: the front deals out connections, not requests.
     */
    record Load(
            double perS, double utilisation, List<List<Double>> steps, int retries, double backoffMs, double uneven) {
        Load {
            require(perS > 0 != utilisation > 0, "load", "either per_s or utilisation, above 0");
            require(retries >= 0 && backoffMs >= 0, "load", "retries and backoff_ms from 0");
            require(uneven >= 0 && uneven <= 10, "load", "uneven from 0 to 10");
            steps = steps == null ? List.of() : steps;
            steps.forEach(s -> require(
                    s.size() == 2 && s.get(0) >= 0 && s.get(1) >= 0, "load.steps", "pairs of seconds and a factor"));
        }

        double factor(double second) {
            double factor = 1;
            for (List<Double> step : steps) {
                factor = second >= step.get(0) ? step.get(1) : factor;
            }
            return factor;
        }
    }

    enum FaultKind {
        HANG,
        SLOW,
        CRASH,
        DRAIN,
        REPLACE
    }

    /** What happens to {@code machines} of all, or a {@code share}: one after the other over {@code overS}, each for {@code forS}. */
    record Fault(FaultKind kind, double atS, double forS, double overS, int machines, double share, double factor) {
        Fault {
            require(kind != null, "fault.kind", "one of hang, slow, crash, drain, replace");
            require(atS >= 0 && forS >= 0 && overS >= 0, "fault " + kind, "at_s, for_s and over_s from 0");
            require(machines > 0 != share > 0 && share <= 1, "fault " + kind, "either machines or a share of up to 1");
            require(kind != FaultKind.SLOW || factor > 0, "fault slow", "a factor above 0");
        }
    }

    Experiment {
        require(name != null && !name.isEmpty(), "name", "a name");
        require(seconds > 0 && seconds <= 86_400, "seconds", "above 0, up to a day");
        require(warmupS >= 0 && warmupS < seconds, "warmup_s", "less than seconds");
        require(proxies >= 1 && proxies <= 10_000, "proxies", "1 to 10,000");
        repetitions = repetitions == 0 ? 1 : repetitions;
        require(repetitions >= 1 && repetitions <= 1_000, "repetitions", "1 to 1,000");
        require(policies != null && !policies.isEmpty(), "policies", "at least one of " + Policies.names());
        policies.forEach(Policies::check);
        network = network == null ? new Network(0.3) : network;
        discovery = discovery == null ? new Discovery(List.of(100.0, 500.0)) : discovery;
        fleet = fleet == null ? new Fleet(1, 0) : fleet;
        require(kinds != null && !kinds.isEmpty(), "kind", "at least one [[kind]]");
        require(classes != null && !classes.isEmpty(), "class", "at least one [[class]]");
        require(load != null, "load", "a [load]");
        faults = faults == null ? List.of() : faults;
        sizes = sizes == null ? List.of() : sizes;
    }

    Experiment withSeed(long other) {
        return new Experiment(
                name,
                about,
                seconds,
                warmupS,
                proxies,
                sizes,
                other,
                repetitions,
                policies,
                network,
                discovery,
                fleet,
                kinds,
                classes,
                load,
                faults);
    }

    /** Returns this experiment at each of its sizes, or as it is where it names none; machines of each kind keep their part. */
    List<Experiment> atEachSize() {
        return sizes.isEmpty()
                ? List.of(this)
                : sizes.stream()
                        .map(s -> new Experiment(
                                name,
                                about,
                                seconds,
                                warmupS,
                                s.proxies,
                                List.of(),
                                seed,
                                repetitions,
                                policies,
                                network,
                                discovery,
                                fleet,
                                kinds.stream()
                                        .map(k -> k.numbering(Math.max(
                                                1, (int) Math.round(1.0 * s.machines * k.machines / machines()))))
                                        .toList(),
                                classes,
                                load,
                                faults))
                        .toList();
    }

    int machines() {
        return kinds.stream().mapToInt(Kind::machines).sum();
    }

    /** Requests a second at a factor of 1. */
    double ratePerS() {
        if (load.perS > 0) {
            return load.perS;
        }
        double shares = classes.stream().mapToDouble(RequestClass::share).sum();
        double workMs = classes.stream().mapToDouble(c -> c.share * c.meanMs).sum() / shares;
        return load.utilisation
                * kinds.stream()
                        .mapToDouble(k -> k.machines * k.cores * k.speed)
                        .sum()
                * 1e3
                / workMs;
    }

    /**
     * Reads an experiment.
     *
     * @throws LabException with the file and the place in it
     */
    static Experiment read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new LabException(file + ": cannot be read (" + e.getMessage() + ")");
        }
    }

    static Experiment parse(String source, String text) {
        var mapper = TomlMapper.builder()
                .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .build();
        try {
            return mapper.readValue(text, Experiment.class);
        } catch (JsonMappingException e) {
            String path = e.getPath().stream()
                    .map(r -> r.getFieldName() != null ? "." + r.getFieldName() : "[" + r.getIndex() + "]")
                    .collect(Collectors.joining());
            String what = e.getCause() instanceof LabException bad
                    ? bad.getMessage()
                    : path.replaceFirst("^\\.", "") + ": " + e.getOriginalMessage();
            throw new LabException(source + ": " + what);
        } catch (JacksonException e) {
            throw new LabException(source + ": line " + e.getLocation().getLineNr() + ": " + e.getOriginalMessage());
        }
    }

    private static void require(boolean holds, String where, String what) {
        if (!holds) {
            throw new LabException(where + ": expected " + what);
        }
    }
}
