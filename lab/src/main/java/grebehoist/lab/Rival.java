package grebehoist.lab;

import beechfall.Balancer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A plain balancer: a rule that chooses, one attempt, and one more where the request's class allows it and a budget pays for it.
 * It keeps the engine's rules: what may have run is not sent again unless that is safe, and what fails is refused or failed as
 * the rules say. It sends to whatever the list says is ready, cold or not, as such balancers do by default.
 */
final class Rival implements Balancer {
    /** Finagle's and Linkerd's default: a fifth more attempts than requests, ten saved up. */
    private static final double BUDGET = 0.2;

    private static final double BUDGET_MOST = 10;

    /** Chooses one of the backends that are ready, at least one; null where it refuses. May be called again for another. */
    interface Rule {
        Node choose(List<Node> ready, long now);
    }

    /** A backend as a rival sees it. */
    static final class Node {
        /** What Finagle's peak EWMA forgets with, in microseconds: its default of 10 s. */
        private static final double DECAY_US = 10e6;

        final String id;
        int out;
        double ewmaUs;
        long seenAt;

        Node(String id) {
            this.id = id;
        }

        /** Finagle's peak EWMA: a slower answer counts at once, a faster one by and by. */
        void learn(double us, long now) {
            double kept = us > ewmaUs ? 0 : kept(now);
            ewmaUs = ewmaUs * kept + us * (1 - kept);
            seenAt = now;
        }

        /** Returns what it is taken to take now: what was seen fades. */
        double latencyUs(long now) {
            return ewmaUs * kept(now);
        }

        private double kept(long now) {
            return Math.exp((seenAt - now) / DECAY_US);
        }
    }

    private record Sent(RequestClass type, long deadline, Node to, int attempts) {}

    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Rule rule;
    private final boolean budget;
    private final Map<String, Node> byId = new LinkedHashMap<>();
    private final List<Node> ready = new ArrayList<>();
    private final Map<String, Sent> requests = new HashMap<>();
    private double tokens = BUDGET_MOST;

    Rival(Settings settings, Rule rule, boolean budget) {
        settings.classes().forEach(c -> classes.put(c.name(), c));
        this.rule = rule;
        this.budget = budget;
    }

    @Override
    public void handle(long now, Event event, Consumer<Action> actions) {
        if (event instanceof Members e) {
            members(e);
        } else if (event instanceof Arrival e) {
            tokens = Math.min(BUDGET_MOST, tokens + BUDGET);
            send(now, e.id(), classes.get(e.requestClass()), now + e.leftUs(), 0, actions);
        } else if (event instanceof AttemptEnded e) {
            ended(now, e, actions);
        } else if (event instanceof ClientGone e) {
            requests.remove(e.id());
        }
    }

    private void members(Members news) {
        if (news.kind() == ListKind.FULL) {
            byId.clear();
        }
        for (Backend b : news.backends()) {
            if (b.state() == State.READY) {
                byId.computeIfAbsent(b.id(), Node::new);
            } else {
                byId.remove(b.id());
            }
        }
        ready.clear();
        ready.addAll(byId.values());
    }

    private void send(long now, String id, RequestClass type, long deadline, int attempts, Consumer<Action> actions) {
        Node to = ready.isEmpty() ? null : rule.choose(ready, now);
        if (to == null || now >= deadline) {
            // It has not run yet, or may run again.
            requests.remove(id);
            actions.accept(new Refuse(id, 0));
            return;
        }
        to.out++;
        requests.put(id, new Sent(type, deadline, to, attempts + 1));
        actions.accept(new Send(id, to.id, deadline - now));
    }

    private void ended(long now, AttemptEnded e, Consumer<Action> actions) {
        Sent r = requests.get(e.id());
        if (r == null) {
            Node n = byId.get(e.backend());
            if (n != null) {
                n.out = Math.max(0, n.out - 1);
            }
            return;
        }
        r.to.out--;
        if (e.outcome() != Outcome.CANCELLED && e.outcome() != Outcome.NOT_SENT) {
            r.to.learn(e.outcome() == Outcome.OK ? e.latencyUs() : r.type.deadlineUs(), now);
        }
        if (e.last() || e.outcome() == Outcome.OK) {
            requests.remove(e.id());
            return;
        }
        boolean harmless = e.outcome().neverRan() || r.type.effect() != Effect.UNSAFE;
        if (budget && harmless && r.attempts < 2 && tokens >= 1 && now < r.deadline) {
            tokens -= 1;
            send(now, e.id(), r.type, r.deadline, r.attempts, actions);
        } else {
            requests.remove(e.id());
            actions.accept(harmless ? new Refuse(e.id(), 0) : new Fail(e.id()));
        }
    }
}
