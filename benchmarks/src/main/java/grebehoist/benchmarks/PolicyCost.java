package grebehoist.benchmarks;

import beechfall.Balancer;
import beechfall.Balancer.Action;
import beechfall.Balancer.Outcome;
import beechfall.Policy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/**
 * What the decision module takes for one request, from its arrival to its answer. Four come in a second, as they do to each
 * of hundreds of proxies; with its refreshes, of which one falls on five of them.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class PolicyCost {
    private static final long INTERVAL_US = 250_000;
    private static final long LATENCY_US = 25_000;

    /** How many backends there are. */
    @Param({"10", "69", "1000", "10000"})
    public int backends;

    /** How many balancers there are for each backend. */
    @Param({"1", "6"})
    public int balancersForEach;

    private Policy policy;
    private final List<Action> actions = new ArrayList<>();
    private long now;
    private int next;
    private long refused;

    /** A list, and answers enough for the module to know its backends. */
    @Setup(Level.Trial)
    public void prepare() {
        policy = new Policy(Workload.settings(backends * balancersForEach));
        now = 1_000_000_000L;
        policy.handle(now, new Balancer.Members(Balancer.ListKind.FULL, Workload.backends(backends)), a -> {});
        refused = 0;
        for (int i = 0; i < 20_000; i++) {
            request();
        }
        refused = 0;
    }

    /** One request comes and is answered. */
    @Benchmark
    public long request() {
        now += INTERVAL_US;
        actions.clear();
        String id = Integer.toHexString(++next);
        policy.handle(
                now,
                new Balancer.Arrival(
                        id,
                        Workload.CLASSES.get(next % 3).name(),
                        next % 4 == 0 ? "small" : "large",
                        null,
                        2_000_000,
                        false),
                actions::add);
        String backend = null;
        for (Action a : actions) {
            if (a instanceof Balancer.Send s) {
                backend = s.backend();
            }
        }
        if (backend == null) {
            refused++;
        } else {
            policy.handle(
                    now + LATENCY_US, new Balancer.AttemptEnded(id, 0, backend, Outcome.OK, LATENCY_US, true), a -> {});
        }
        return refused;
    }

    /** Says how many were refused: a figure with many of them is none of a whole request. */
    @TearDown(Level.Trial)
    public void tell() {
        System.out.println("refused " + refused + " of " + next);
    }
}
