package grebehoist.operations;

import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Json;
import grebehoist.engine.Counter;
import grebehoist.engine.LogEvent;
import grebehoist.engine.MemberSource;
import grebehoist.engine.RequestClaims;
import grebehoist.engine.RuleGuard.Rule;
import grebehoist.engine.Tally;
import grebehoist.engine.Wait;
import grebehoist.members.DrainNews;
import grebehoist.members.Suspensions;
import grebehoist.net.LoopTimers;
import grebehoist.net.StderrLog;
import grebehoist.net.WaitHistograms;
import java.io.IOException;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * What the operators have asked of one pool and its listener, applied as it changes. Used by the loop's thread, but for the
 * constructor and {@link #begin}.
 */
public final class Operations implements Door.Calls {
    /**
     * What it looks at and acts on.
     *
     * @param ready whether the process can serve
     * @param tally what has become of requests
     * @param active how many requests want an answer
     * @param avoided how many of the listed backends that are not suspended the module now avoids
     * @param sendAway sends clients elsewhere, or no longer
     * @param otherProcesses hears how many other processes of this proxy live
     * @param log counts what the metrics show
     */
    public record Target(
            BooleanSupplier ready,
            Supplier<Tally> tally,
            IntSupplier active,
            IntSupplier avoided,
            Consumer<Boolean> sendAway,
            Consumer<StateDirectory.Shared> otherProcesses,
            StderrLog log) {}

    /** A caller waits for 1 s. */
    private static final long ANSWER_US = 800_000;

    private static final long DRAINS_LOOK_US = 50_000;

    private final StateDirectory state;
    private Suspensions suspensions;
    private DrainNews drains;
    private Target target;
    private LoopTimers timers;
    /** Set once, before a call can come. */
    private volatile Supplier<ObjectNode> members;
    /** What the operators have asked, as it was applied last; null before that. */
    private StateDirectory.Shared inForce;

    /** Whether what other processes were told of drains is looked at again soon. */
    private boolean looksAgain;

    private int applied;
    private int rejected;

    /** Makes one on a directory. */
    public Operations(StateDirectory state) {
        this.state = state;
    }

    /** Returns whether another process of this proxy lived when this one began: this is an upgrade. */
    public boolean besideAnother() {
        return state.atStart().others() > 0;
    }

    /**
     * Tells the other processes of this proxy that this one is about to serve.
     *
     * @param afterMs in so many milliseconds
     */
    public void announce(long afterMs) {
        state.announce(afterMs);
    }

    /**
     * Tells the other processes of this proxy that this one has given up its place, and only finishes what has begun.
     *
     * @param sockets descriptors that it holds for that
     */
    public void finishing(int sockets) {
        state.finishing(sockets);
    }

    /** Returns what the processes of this proxy have sent on of one pool. */
    public RequestClaims claims(String pool) {
        return state.claims(pool);
    }

    /** Puts itself between the source of backends and the pool. */
    public MemberSource.Sink merge(MemberSource.Sink next) {
        suspensions = new Suspensions(next);
        drains = new DrainNews(suspensions, StateDirectory::clockMs, state::tellDrains);
        return drains;
    }

    /** Returns what stands there, for others who suspend. */
    public Suspensions suspensions() {
        return suspensions;
    }

    /** Begins to apply what is asked. What was asked before this process began holds before the first list is told. */
    public void begin(Target actsOn, LoopTimers clock, Executor loop) {
        loop.execute(() -> {
            target = actsOn;
            timers = clock;
            inForce = state.atStart();
            suspend();
        });
        state.watch(loop, this::apply);
    }

    private void apply(StateDirectory.Shared shared) {
        if (inForce != null && !shared.equals(inForce)) {
            target.log.event(new LogEvent("operator", "state", describe(inForce), describe(shared), "in force"));
        }
        inForce = shared;
        suspend();
        target.sendAway.accept(shared.drained());
        target.otherProcesses.accept(shared);
    }

    /** What operators have suspended, and what drains by what other processes were told; that changes with the own list and with time. */
    private void suspend() {
        drains.toldElsewhere(inForce.drains());
        var all = new HashSet<>(inForce.suspended());
        all.addAll(drains.held());
        suspensions.set(all, timers.now());
        // Also where nothing is held yet: this process's own list may come later.
        if (!inForce.drains().isEmpty() && !looksAgain) {
            looksAgain = true;
            timers.at(timers.now() + DRAINS_LOOK_US, () -> {
                looksAgain = false;
                suspend();
            });
        }
    }

    private static String describe(StateDirectory.Shared shared) {
        return (shared.drained() ? "DRAINED" : "ACTIVE") + ", suspended " + shared.suspended() + ", " + shared.others()
                + " other processes";
    }

    /** A new configuration has been taken over, or left alone. */
    public void configured(boolean taken) {
        applied += taken ? 1 : 0;
        rejected += taken ? 0 : 1;
    }

    @Override
    public boolean ready() {
        return target.ready.getAsBoolean();
    }

    @Override
    public ObjectNode figures() {
        ObjectNode figures = Json.object();
        ObjectNode ok = figures.putObject("ok");
        ObjectNode shed = figures.putObject("shed");
        ObjectNode errors = figures.putObject("errors");
        long tries = 0;
        for (Map.Entry<String, Tally.Row> row : target.tally.get().rows().entrySet()) {
            ok.put(row.getKey(), row.getValue().served());
            shed.put(row.getKey(), row.getValue().refused());
            errors.put(row.getKey(), row.getValue().failed());
            tries += row.getValue().attempts();
        }
        ObjectNode violations = figures.putObject("invariant_violations");
        for (Rule rule : Rule.values()) {
            violations.put(rule.name().toLowerCase(Locale.ROOT), target.log.violations(rule));
        }
        ObjectNode events = figures.putObject("events");
        for (Counter counter : Counter.values()) {
            events.put(counter.metric(), target.log.counted(counter));
        }
        ObjectNode waits = figures.putObject("waits_us");
        for (Wait stage : Wait.values()) {
            WaitHistograms.Figures of = target.log.waits().figures(stage);
            waits.putObject(stage.metric())
                    .put("count", of.count())
                    .put("p50", of.p50())
                    .put("p90", of.p90())
                    .put("p99", of.p99())
                    .put("max", of.max());
        }
        return figures.put("tries", tries)
                .put("active", target.active.getAsInt())
                .put("pool_size", suspensions.listed().size())
                .put("pool_ejected", suspensions.suspendedOfList() + target.avoided.getAsInt())
                .put("config_applied", applied)
                .put("config_rejected", rejected);
    }

    /** Tells where the view of other proxies comes from; null without one. */
    public void members(Supplier<ObjectNode> view) {
        members = view;
    }

    @Override
    public ObjectNode members() {
        return members == null ? null : members.get();
    }

    @Override
    public boolean knows(String backend) {
        return suspensions.lists(backend) || suspensions.holds(backend);
    }

    @Override
    public void suspend(String backend, Consumer<Boolean> then) {
        state.suspend(backend, inTime(then));
    }

    @Override
    public void resume(String backend, Consumer<Boolean> then) {
        state.resume(backend, inTime(then));
    }

    @Override
    public void drain(boolean on, Consumer<Boolean> then) {
        state.drain(on, inTime(then));
    }

    /** What does not last in time is answered with no; it stays in force, and is written as soon as it can be. */
    private Consumer<Boolean> inTime(Consumer<Boolean> then) {
        var answered = new AtomicBoolean();
        Consumer<Boolean> once = done -> {
            if (answered.compareAndSet(false, true)) {
                then.accept(done);
            }
        };
        timers.at(timers.now() + ANSWER_US, () -> once.accept(false));
        return once;
    }

    /** Leaves the directory. */
    public void close() throws IOException {
        state.close();
    }
}
