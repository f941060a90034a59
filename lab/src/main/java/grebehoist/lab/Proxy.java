package grebehoist.lab;

import beechfall.Balancer;
import beechfall.Balancer.Backend;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.State;
import grebehoist.engine.Attempt;
import grebehoist.engine.Engine;
import grebehoist.engine.Intake;
import grebehoist.engine.Listed;
import grebehoist.engine.Log;
import grebehoist.engine.MemberSource;
import grebehoist.engine.Payload;
import grebehoist.engine.Transport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One proxy of the fleet: the real engine with a module, on channels in this process. It also watches rules 2 and 3 for what its
 * module sends: one attempt out at a time, and nothing new to a backend later than 250 ms after this proxy was told.
 */
final class Proxy implements Transport {
    private static final long DRAIN_GRACE_US = 250_000;
    private static final long READY = Long.MAX_VALUE;

    private final VirtualTime time;
    private final Map<String, Machine> machines;
    private final long oneWayUs;
    private final Figures figures;
    private final Engine engine;
    /** When this proxy was told that a backend wants nothing new, or {@link #READY}. */
    private final Map<String, Long> leavingSince = new HashMap<>();

    private final Map<Job, Integer> out = new HashMap<>();
    private long newsAt;

    Proxy(
            Balancer.Settings settings,
            Balancer module,
            VirtualTime time,
            Map<String, Machine> machines,
            long oneWayUs,
            Figures figures) {
        this.time = time;
        this.machines = machines;
        this.oneWayUs = oneWayUs;
        this.figures = figures;
        this.engine = new Engine(settings, module, time, this, new Log() {
            @Override
            public void line(String text) {}

            @Override
            public void failure(String what, Throwable cause) {
                // The engine goes on without it, as in service; here it is a result.
                throw new LabException("a policy has thrown: " + what + ": " + cause);
            }
        });
        engine.source(new MemberSource() {
            @Override
            public void watch(boolean on) {}

            @Override
            public void fetch() {}
        });
    }

    Intake intake() {
        return engine;
    }

    /** Returns how much it keeps of requests. */
    int remembered() {
        return engine.open() + out.size();
    }

    /** It hears how many there are, and which one it is. */
    void share(int balancers, int rank) {
        engine.share(balancers, rank);
    }

    /** It hears of this at a time, but not before what was told it earlier. */
    void tell(long atUs, ListKind kind, List<Backend> backends) {
        newsAt = Math.max(newsAt, atUs);
        time.at(
                newsAt,
                () -> engine.members(
                        kind, backends.stream().map(b -> new Listed(b, b.id())).toList()));
    }

    @Override
    public List<? extends Attempt> members(ListKind kind, List<Listed> listed) {
        for (Listed line : listed) {
            Backend b = line.backend();
            if (b.state() == State.READY) {
                leavingSince.put(b.id(), READY);
            } else {
                leavingSince.merge(b.id(), time.now(), Math::min);
            }
        }
        return List.of();
    }

    @Override
    public boolean anyReady() {
        return leavingSince.containsValue(READY);
    }

    @Override
    public Attempt attempt(String backend, Payload request, long deadlineUs, Attempt.End end) {
        Long leaving = leavingSince.get(backend);
        if (leaving != null && leaving == READY) {
            return new OnWire(machines.get(backend), (Job) request, end);
        }
        if (leaving != null && time.now() > leaving + DRAIN_GRACE_US) {
            figures.broken("3: asked to send to a backend that drains or is gone");
        }
        return null;
    }

    @Override
    public void release(String backend) {}

    private final class OnWire implements Attempt {
        private final Machine machine;
        private final Job job;
        private final End end;
        private boolean started;
        private boolean ended;

        OnWire(Machine machine, Job job, End end) {
            this.machine = machine;
            this.job = job;
            this.end = end;
        }

        @Override
        public void start() {
            started = true;
            figures.attempt();
            if (out.merge(job, 1, Integer::sum) > 1) {
                figures.broken("2: two attempts of a request out at once");
            }
            time.at(time.now() + oneWayUs, () -> machine.offer(job, this::done));
        }

        /** The machine has ended with it; this proxy hears of that a way later. */
        private void done(Outcome outcome) {
            if (outcome == Outcome.OK && job.ran() > 1 && job.unsafe()) {
                figures.broken("2: an unsafe request has taken effect twice");
            }
            time.at(time.now() + oneWayUs, () -> end(outcome));
        }

        private void end(Outcome outcome) {
            if (!ended) {
                ended = true;
                out.computeIfPresent(job, (j, n) -> n > 1 ? n - 1 : null);
                end.ended(outcome, outcome == Outcome.OK ? job : null);
            }
        }

        @Override
        public boolean mayHaveRun() {
            return started;
        }

        @Override
        public void abort(Outcome outcome) {
            end(outcome);
        }
    }
}
