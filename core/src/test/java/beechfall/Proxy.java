package beechfall;

import beechfall.Balancer.Action;
import beechfall.Balancer.Arrival;
import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.Backend;
import beechfall.Balancer.Effect;
import beechfall.Balancer.Event;
import beechfall.Balancer.Limits;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Members;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Rules;
import beechfall.Balancer.Scope;
import beechfall.Balancer.Send;
import beechfall.Balancer.SetTimer;
import beechfall.Balancer.Settings;
import beechfall.Balancer.State;
import beechfall.Balancer.Tenant;
import beechfall.Balancer.TimerFired;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A proxy for tests: it feeds one module by hand and keeps what the module asked for. */
final class Proxy {
    static final long MS = 1_000;
    static final long S = 1_000_000;

    static final RequestClass READ = new RequestClass("read", 600 * MS, 2 * S, 1, 0, Effect.SAFE, Scope.ALL, 0);
    static final RequestClass PAY =
            new RequestClass("pay", 400 * MS, 2 * S, 10, 0, Effect.KEYED, Scope.ZONE, 1200 * MS);
    static final RequestClass BOOK = new RequestClass("book", 600 * MS, 2 * S, 2, 0, Effect.KEYED, Scope.CELL, 12 * S);
    static final RequestClass NOTE = new RequestClass("note", 600 * MS, 2 * S, 2, 0, Effect.KEYED, Scope.ALL, 12 * S);
    static final RequestClass VOTE = new RequestClass("vote", 600 * MS, 2 * S, 3, 0, Effect.UNSAFE, Scope.ALL, 0);

    /** No hints when to come back: a refusal then equals any other. */
    static final Limits LIMITS = new Limits(true, false, false, false, 4, 0);

    static final Rules RULES = new Rules(0.4, 8 * S, 4, S, 10 * S, false);

    final Policy policy;
    final List<Action> actions = new ArrayList<>();
    long now = 1000 * S;
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Set<SetTimer> fired = new HashSet<>();
    private int nextId;

    Proxy(Settings settings) {
        policy = new Policy(settings);
    }

    Proxy() {
        this(settings(LIMITS, RULES));
    }

    static Settings settings(Limits limits, Rules rules, Tenant... tenants) {
        return new Settings(
                1,
                0,
                "a",
                4 * MS,
                List.of(READ, PAY, BOOK, NOTE, VOTE),
                List.of(tenants),
                0.05,
                false,
                limits,
                rules,
                7);
    }

    static Backend backend(String id, String kind, String zone, int cell) {
        return new Backend(id, State.READY, kind, zone, cell, 0, 1);
    }

    static Backend backend(String id) {
        return backend(id, "std", "a", 1);
    }

    static Backend started(String id, long at) {
        return new Backend(id, State.READY, "std", "a", 1, at, 1);
    }

    static Backend in(State state, String id) {
        return new Backend(id, state, "std", "a", 1, 0, 1);
    }

    /** Feeds an event and returns what the module asked for because of it. */
    List<Action> feed(Event event) {
        int before = actions.size();
        policy.handle(now, event, action -> {
            actions.add(action);
            if (action instanceof Send s) {
                attempts.merge(s.id(), 1, Integer::sum);
            }
        });
        return List.copyOf(actions.subList(before, actions.size()));
    }

    void list(Backend... backends) {
        feed(new Members(ListKind.FULL, List.of(backends)));
    }

    /** A request arrives; returns its id. */
    String arrive(RequestClass type) {
        return arrive(type, null);
    }

    String arrive(RequestClass type, String tenant) {
        String id = "r" + nextId++;
        feed(new Arrival(id, type.name(), tenant, null, type.deadlineUs(), false));
        return id;
    }

    /** The latest attempt of a request ends. */
    List<Action> end(String id, Outcome outcome, long latencyUs) {
        Send send = lastSend(id);
        return feed(
                new AttemptEnded(id, attempts.get(id) - 1, send.backend(), outcome, latencyUs, outcome == Outcome.OK));
    }

    List<Action> timer(String token) {
        return feed(new TimerFired(token));
    }

    /** Time passes: the timers asked for so far, and those asked for meanwhile, fire when they are due. */
    void run(long forUs) {
        long until = now + forUs;
        while (true) {
            var due = actions.stream()
                    .filter(a -> a instanceof SetTimer t && t.atUs() <= until && !fired.contains(t))
                    .map(a -> (SetTimer) a)
                    .min(java.util.Comparator.comparingLong(SetTimer::atUs));
            if (due.isEmpty()) {
                now = until;
                return;
            }
            fired.add(due.get());
            now = Math.max(now, due.get().atUs());
            timer(due.get().token());
        }
    }

    Send lastSend(String id) {
        Send last = null;
        for (Action action : actions) {
            if (action instanceof Send s && s.id().equals(id)) {
                last = s;
            }
        }
        return last;
    }

    int sends(String id) {
        return attempts.getOrDefault(id, 0);
    }

    /** A request arrives and is answered after a while; returns the backend that it went to. */
    String serve(RequestClass type, long latencyUs) {
        String id = arrive(type);
        now += latencyUs;
        end(id, Outcome.OK, latencyUs);
        return lastSend(id).backend();
    }

    boolean has(Action action) {
        return actions.contains(action);
    }
}
