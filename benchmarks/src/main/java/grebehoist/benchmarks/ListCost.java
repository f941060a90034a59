package grebehoist.benchmarks;

import beechfall.Balancer.Backend;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Members;
import beechfall.Balancer.State;
import beechfall.Policy;
import java.lang.management.ManagementFactory;
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
import org.openjdk.jmh.annotations.Warmup;

/** What news of the list takes: one backend that comes or goes, and the whole list again. Says what a backend keeps in bytes. */
@org.openjdk.jmh.annotations.State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class ListCost {
    /** How many backends there are, and as many balancers. */
    @Param({"69", "1000", "10000"})
    public int backends;

    private Policy policy;
    private List<Backend> list;
    private long now = 1_000_000_000L;
    private boolean here;

    /** A list that is known. */
    @Setup(Level.Trial)
    public void prepare() {
        list = Workload.backends(backends);
        long before = heap();
        policy = new Policy(Workload.settings(backends));
        policy.handle(now, new Members(ListKind.FULL, list), a -> {});
        System.out.println("bytes kept for each of " + backends + " backends: " + (heap() - before) / backends);
    }

    private static long heap() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** A backend comes, and goes the next time. */
    @Benchmark
    public void one() {
        now += 1_000;
        here = !here;
        policy.handle(
                now,
                new Members(
                        ListKind.DELTA,
                        List.of(new Backend("new", here ? State.READY : State.GONE, "std", "a", 1, 0, 1))),
                a -> {});
    }

    /** All of it is told again. */
    @Benchmark
    public void whole() {
        now += 1_000;
        policy.handle(now, new Members(ListKind.FULL, list), a -> {});
    }
}
