package grebehoist.trial.scale;

import com.fasterxml.jackson.databind.node.ArrayNode;
import grebehoist.fleet.distribution.Layout;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;

/** Does what the weather says, to whom it says, and tells the judge who can't be reached by it. Used by one thread. */
final class FaultDriver {
    /** Whoever restarts proxies knows what they are to have. */
    interface Restarts {
        void restart(int zone);
    }

    private static final int DEAF_ONE_IN = 3;

    private record Step(long atUs, boolean begins, Weather.Fault fault) {}

    private final Plan plan;
    private final Layout layout;
    private final double loss;
    private final ControlMachines machines;
    private final Hollows hollows;
    private final Judge judge;
    private final ScaleHistory history;
    private final Restarts restarts;
    private final PriorityQueue<Step> steps = new PriorityQueue<>(Comparator.comparingLong(Step::atUs));
    private long beganUs;
    private int unreached;

    FaultDriver(
            Plan plan,
            Layout layout,
            double loss,
            ControlMachines machines,
            Hollows hollows,
            Judge judge,
            ScaleHistory history,
            Restarts restarts) {
        this.plan = plan;
        this.layout = layout;
        this.loss = loss;
        this.machines = machines;
        this.hollows = hollows;
        this.judge = judge;
        this.history = history;
        this.restarts = restarts;
    }

    /** Takes on what is to be done from now on. */
    void begin(List<Weather.Fault> faults, long nowUs) {
        beganUs = nowUs;
        for (Weather.Fault f : faults) {
            steps.add(new Step(f.fromUs(), true, f));
            steps.add(new Step(f.untilUs(), false, f));
        }
    }

    /** Returns when something is to be done next, from the begin on; {@code Long.MAX_VALUE} for never again. */
    long nextUs() {
        return steps.isEmpty() ? Long.MAX_VALUE : steps.peek().atUs();
    }

    /** Does the next thing. */
    void next() throws IOException, InterruptedException {
        Step step = steps.poll();
        if (step.begins()) {
            begin(step.fault());
        } else {
            end(step.fault());
        }
    }

    /** Returns how many proxies had no holder of some scope in reach at some time. */
    int unreached() {
        return unreached;
    }

    static ArrayNode told(List<Weather.Fault> faults) {
        ArrayNode all = Wire.JSON.createArrayNode();
        faults.forEach(f -> all.add(Wire.JSON
                .createObjectNode()
                .put("kind", name(f))
                .put("from_s", f.fromUs() / 1e6)
                .put("until_s", f.untilUs() / 1e6)
                .put("who", f.who())));
        return all;
    }

    private static String name(Weather.Fault fault) {
        return fault.kind().name().toLowerCase(Locale.ROOT);
    }

    private void begin(Weather.Fault f) throws IOException, InterruptedException {
        history.line(Wire.referee("fault")
                .put("kind", name(f))
                .put("who", f.who())
                .put("rate", f.kind() == Weather.Kind.LOSS ? loss : 0));
        switch (f.kind()) {
            case LOSS -> lose(loss);
            case KILL -> {
                machines.kill(f.who());
                history.process("m" + f.who(), "killed");
            }
            case PAUSE -> {
                machines.signal(f.who(), "STOP");
                history.process("m" + f.who(), "stopped");
            }
            case RESTART -> restarts.restart(f.who());
            case ONEWAY ->
                hollows.tell(Hollows.what("deaf").put("machine", f.who()).put("one_in", DEAF_ONE_IN));
            case REGION -> cut(f.who());
            default -> throw new IllegalStateException("no such fault: " + f.kind());
        }
    }

    private void end(Weather.Fault f) throws IOException, InterruptedException {
        switch (f.kind()) {
            case LOSS -> lose(0);
            case KILL -> {
                machines.start(f.who());
                history.process("m" + f.who(), "started");
            }
            case PAUSE -> {
                machines.signal(f.who(), "CONT");
                history.process("m" + f.who(), "continued");
            }
            case RESTART -> {}
            case ONEWAY -> hollows.tell(Hollows.what("deaf").put("machine", -1));
            case REGION -> {
                cut(-1);
                unreached(f.who(), beganUs + f.fromUs(), Wire.now());
            }
            default -> throw new IllegalStateException("no such fault: " + f.kind());
        }
        judge.fault(name(f), beganUs + f.fromUs(), Wire.now());
        history.line(Wire.referee("heal").put("kind", name(f)).put("who", f.who()));
    }

    private void lose(double rate) {
        hollows.tell(Hollows.what("loss").put("rate", rate));
        machines.relay().loss(rate);
    }

    private void cut(int region) {
        hollows.tell(Hollows.what("region").put("region", region));
        machines.relay().cut(region);
    }

    private void unreached(int region, long fromUs, long untilUs) {
        List<Integer> fleet = layout.holders(Plan.FLEET);
        for (int p = 0; p < plan.everyone(); p++) {
            boolean lacksFleet = !Weather.reaches(p, fleet, region);
            boolean lacksCell = !Weather.reaches(p, layout.holders("c" + plan.cell(p) + "/t"), region);
            if (lacksFleet) {
                judge.cut(p, true, fromUs, untilUs);
            }
            if (lacksCell) {
                judge.cut(p, false, fromUs, untilUs);
            }
            unreached += lacksFleet || lacksCell ? 1 : 0;
        }
    }
}
