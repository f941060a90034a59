package grebehoist.lab;

import beechfall.Balancer.Backend;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.State;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** A backend as a queue: first come, first served by its cores. Used by its world's thread. */
final class Machine {
    /** Hears how a machine has ended with a job, at the machine's time. */
    interface Listener {
        void done(Outcome outcome);
    }

    /** A job that is held here: waiting until {@code startedAt} is set. */
    private static final class Held {
        private final Job job;
        private final Listener listener;
        private long endsAt = -1;

        Held(Job job, Listener listener) {
            this.job = job;
            this.listener = listener;
        }
    }

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final Experiment.Kind kind;
    private final double speed;
    private final String id;
    private final ArrayDeque<Held> waiting = new ArrayDeque<>();
    private final List<Held> running = new ArrayList<>();
    private State state = State.READY;
    private long startedAt;
    private boolean dead;
    private boolean hung;
    private double slower = 1;
    private int life;
    private double workDoneUs;

    Machine(String id, Experiment.Kind kind, double speed, VirtualTime time, UniformRandomProvider random) {
        this.id = id;
        this.kind = kind;
        this.speed = speed;
        this.time = time;
        this.random = random;
    }

    /** Returns the line that discovery tells of it now. */
    Backend listed() {
        return new Backend(id, state, kind.name(), "a", 0, startedAt, 1);
    }

    String id() {
        return id;
    }

    State state() {
        return state;
    }

    Experiment.Kind kind() {
        return kind;
    }

    /** Returns all work that it has carried out, in microseconds of a machine of speed 1. */
    double workDoneUs() {
        return workDoneUs;
    }

    int held() {
        return waiting.size() + running.size();
    }

    /** Returns how long a job that came now would wait, in microseconds; what only an oracle can know. */
    double waitUs() {
        if (dead || hung || state != State.READY) {
            return Double.MAX_VALUE;
        }
        double us = running.stream().mapToDouble(h -> h.endsAt - time.now()).sum();
        us += waiting.stream().mapToDouble(h -> h.job.workUs()).sum() / rate();
        return (running.size() < kind.cores() ? 0 : us / kind.cores()) + 1e3 / rate();
    }

    /** A job has come over the network. */
    void offer(Job job, Listener listener) {
        if (dead) {
            listener.done(Outcome.CONNECT_FAILED);
        } else if (waiting.size() >= kind.queue()) {
            listener.done(Outcome.FULL);
        } else {
            waiting.add(new Held(job, listener));
            serve();
        }
    }

    private double rate() {
        double age = (time.now() - startedAt) / 1e6;
        boolean warm = startedAt == 0 || age >= kind.coldS();
        double warmth = warm ? 1 : kind.coldFrom() + (1 - kind.coldFrom()) * age / kind.coldS();
        double thrash = Math.min(kind.thrashMost(), 1 + kind.thrash() * Math.max(0, held() - kind.thrashAt()));
        return speed * warmth / slower / thrash;
    }

    private void serve() {
        while (!hung && !dead && running.size() < kind.cores() && !waiting.isEmpty()) {
            Held h = waiting.poll();
            running.add(h);
            long us = Math.max(1, Math.round(h.job.workUs() / rate()));
            h.endsAt = time.now() + us;
            int inLife = life;
            time.at(h.endsAt, () -> finish(h, inLife));
        }
    }

    private void finish(Held h, int inLife) {
        if (inLife != life) {
            return;
        }
        if (hung) {
            // What was half done goes on when the machine does.
            time.at(time.now() + 50_000, () -> finish(h, inLife));
            return;
        }
        running.remove(h);
        workDoneUs += h.job.workUs();
        h.listener.done(kind.errorShare() > 0 && random.nextDouble() < kind.errorShare() ? Outcome.ERROR : Outcome.OK);
        serve();
    }

    // Faults

    void hang(boolean on) {
        hung = on;
        serve();
    }

    void slow(double factor) {
        slower = factor;
    }

    /** It stops at once: all that it holds may have run, and nobody hears of it but by its connection. */
    void crash() {
        dead = true;
        life++;
        var lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        lost.forEach(h -> h.listener.done(Outcome.RESET));
    }

    /** It runs again, cold. */
    void restart() {
        dead = false;
        state = State.READY;
        startedAt = time.now();
    }

    void drain() {
        state = State.DRAINING;
    }

    void gone() {
        state = State.GONE;
        crash();
    }
}
