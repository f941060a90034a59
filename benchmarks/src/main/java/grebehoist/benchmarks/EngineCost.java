package grebehoist.benchmarks;

import beechfall.Balancer;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Outcome;
import beechfall.Policy;
import grebehoist.engine.Attempt;
import grebehoist.engine.Engine;
import grebehoist.engine.Listed;
import grebehoist.engine.Log;
import grebehoist.engine.MemberSource;
import grebehoist.engine.Payload;
import grebehoist.engine.Request;
import grebehoist.engine.Responder;
import grebehoist.engine.Timers;
import grebehoist.engine.Transport;
import java.util.ArrayDeque;
import java.util.Deque;
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

/** What a request takes in the engine and the module together, without sockets: the transport answers when asked. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class EngineCost {
    private static final long INTERVAL_US = 250_000;
    private static final long LATENCY_US = 25_000;

    /** How many backends there are. */
    @Param({"10", "69"})
    public int backends;

    private final Deque<Sent> sent = new ArrayDeque<>();
    private Engine engine;
    private long now;
    private int next;
    private int answers;
    private int others;

    private record Sent(Attempt.End end) implements Attempt {
        @Override
        public void start() {}

        @Override
        public boolean mayHaveRun() {
            return true;
        }

        @Override
        public void abort(Outcome outcome) {
            end.ended(outcome, null);
        }
    }

    /** An engine with the module that is in service. */
    @Setup(Level.Trial)
    public void prepare() {
        Balancer.Settings settings = Workload.settings(backends);
        now = 1_000_000_000L;
        engine = new Engine(
                settings,
                new Policy(settings),
                new Timers() {
                    @Override
                    public long now() {
                        return now;
                    }

                    @Override
                    public Timer at(long atUs, Runnable action) {
                        return () -> {};
                    }

                    @Override
                    public boolean settling() {
                        return false;
                    }
                },
                new Transport() {
                    @Override
                    public List<? extends Attempt> members(ListKind kind, List<Listed> listed) {
                        return List.of();
                    }

                    @Override
                    public boolean anyReady() {
                        return true;
                    }

                    @Override
                    public Attempt attempt(String backend, Payload request, long deadlineUs, Attempt.End end) {
                        var attempt = new Sent(end);
                        sent.add(attempt);
                        return attempt;
                    }

                    @Override
                    public void release(String backend) {}
                },
                new Log() {
                    @Override
                    public void line(String text) {}

                    @Override
                    public void failure(String what, Throwable cause) {
                        throw new IllegalStateException(what, cause);
                    }
                });
        engine.source(new MemberSource() {
            @Override
            public void watch(boolean on) {}

            @Override
            public void fetch() {}
        });
        engine.members(
                ListKind.FULL,
                Workload.backends(backends).stream()
                        .map(b -> new Listed(b, "127.0.0.1:1"))
                        .toList());
        for (int i = 0; i < 20_000; i++) {
            request();
        }
    }

    /** An answer with nothing in it, but one that came back. */
    private static final Payload ANSWER = new Payload() {
        @Override
        public void retain() {}

        @Override
        public void release() {}
    };

    /** One request comes and is answered. */
    @Benchmark
    public int request() {
        now += INTERVAL_US - LATENCY_US;
        engine.arrived(
                new Request(
                        Integer.toHexString(++next),
                        Workload.CLASSES.get(next % 3).name(),
                        next % 4 == 0 ? "small" : "large",
                        null,
                        false,
                        now + 2_000_000,
                        Payload.NONE),
                new Responder() {
                    @Override
                    public void served(Payload answer) {
                        answers++;
                    }

                    @Override
                    public void refused(long retryAfterUs) {
                        others++;
                    }

                    @Override
                    public void failed() {
                        others++;
                    }
                });
        now += LATENCY_US;
        for (Sent attempt = sent.poll(); attempt != null; attempt = sent.poll()) {
            attempt.end().ended(Outcome.OK, ANSWER);
        }
        return answers;
    }

    /** Says how many were not served: a figure with many of them is none of a whole request. */
    @TearDown(Level.Trial)
    public void tell() {
        System.out.println("not served " + others + " of " + next);
    }
}
