package beechfall.proxy;

import beechfall.Balancer;
import beechfall.Balancer.Action;
import beechfall.Balancer.Event;
import beechfall.Balancer.Outcome;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Stands between the module and the sockets: hands the module its events, one at a time, and carries out its actions.
 * It decides nothing. All of it runs on the one event loop.
 */
final class Proxy {
    /** The client's side of a request. Exactly one of the three is called, once. */
    interface Reply {
        void served(Backends.Answer answer);

        void refused(long retryAfterUs);

        void failed();
    }

    /**
     * A client's request. {@code deadlineUs} is on the proxy's clock: the last moment at which an answer can leave and
     * still be there before the client gives up.
     */
    record Incoming(String id, String requestClass, String tenant, String key, boolean repeat, long deadlineUs,
            Backends.Outgoing outgoing) { }

    /** A request and its attempts, kept until it is answered and no attempt is out. */
    private static final class Request {
        private final Incoming incoming;
        private final Reply reply;
        /** By their numbers; null where the attempt was never sent. */
        private final List<Backends.Attempt> attempts = new ArrayList<>(2);
        private int out;
        private boolean over;
        private Future<?> safety;

        Request(Incoming incoming, Reply reply) {
            this.incoming = incoming;
            this.reply = reply;
        }
    }

    /** How long after its deadline a request is answered by the proxy, if the module has not: the module goes first. */
    private static final long SAFETY_US = 2_000;

    private final Clock clock;
    private final EventLoop loop;
    private final Log log;
    private final Balancer.Limits limits;
    private final Balancer module;
    private final Backends backends;
    private final Map<String, Request> requests = new HashMap<>();
    private final Queue<Event> events = new ArrayDeque<>();
    private final List<Action> actions = new ArrayList<>();
    private Discovery discovery;
    private boolean handling;

    Proxy(Clock clock, EventLoop loop, Log log, Balancer.Settings settings, Balancer module, Backends backends) {
        this.clock = clock;
        this.loop = loop;
        this.log = log;
        this.limits = settings.limits();
        this.module = module;
        this.backends = backends;
    }

    void discovery(Discovery calls) {
        discovery = calls;
    }

    /** Returns the number of requests that still want an answer or have attempts out. */
    int open() {
        return requests.size();
    }

    boolean knows(String id) {
        return requests.containsKey(id);
    }

    // Events

    void arrived(Incoming incoming, Reply reply) {
        long now = clock.now();
        if (now >= incoming.deadlineUs()) {
            reply.failed();
            return;
        }
        var r = new Request(incoming, reply);
        requests.put(incoming.id(), r);
        r.safety = loop.schedule(() -> overdue(r), incoming.deadlineUs() + SAFETY_US - now, TimeUnit.MICROSECONDS);
        deliver(new Balancer.Arrival(incoming.id(), incoming.requestClass(), incoming.tenant(), incoming.key(),
                incoming.deadlineUs() - now, incoming.repeat()));
    }

    /** The client has closed its connection before it had an answer. */
    void clientGone(String id) {
        Request r = requests.get(id);
        if (r != null && !r.over) {
            over(r);
            deliver(new Balancer.ClientGone(id));
            forget(r);
        }
    }

    /** Guards against a module that never answers: whatever happens, the client hears of its request in time. */
    private void overdue(Request r) {
        if (!r.over) {
            answer(r, Reply::failed);
            deliver(new Balancer.ClientGone(r.incoming.id()));
            forget(r);
        }
    }

    /** Discovery's news, or {@link Balancer.ListKind#FAILED} where a call has brought none. */
    void members(Balancer.ListKind kind, List<Backends.Listed> listed) {
        List<Backends.Attempt> unsent = kind == Balancer.ListKind.FAILED ? List.of() : backends.update(kind, listed);
        deliver(new Balancer.Members(kind, listed.stream().map(Backends.Listed::backend).toList()));
        // The module has heard why by now, and sends them elsewhere.
        unsent.forEach(a -> a.abort(Outcome.NOT_SENT));
    }

    private void ended(Request r, int number, String backend, Outcome outcome, long latencyUs,
            Backends.Answer answer) {
        r.out--;
        if (outcome == Outcome.OK && !r.over) {
            answer(r, reply -> reply.served(answer));
        } else if (answer != null) {
            answer.body().release();
        }
        deliver(new Balancer.AttemptEnded(r.incoming.id(), number, backend, outcome, latencyUs, r.over));
        forget(r);
    }

    /** Gives the one answer; where that goes wrong it is a failure, as the request is taken all the same. */
    private void answer(Request r, Consumer<Reply> answer) {
        over(r);
        try {
            answer.accept(r.reply);
        } catch (RuntimeException e) {
            log.failure("could not answer " + r.incoming.id(), e);
            r.reply.failed();
        }
    }

    private void over(Request r) {
        r.over = true;
        r.safety.cancel(false);
    }

    private void forget(Request r) {
        if (r.over && r.out == 0) {
            requests.remove(r.incoming.id(), r);
        }
    }

    /** Hands events over one by one: an action may bring the next event, which waits until all of them are done. */
    private void deliver(Event event) {
        events.add(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                handle(next);
            }
        } finally {
            handling = false;
        }
    }

    private void handle(Event event) {
        try {
            module.handle(clock.now(), event, actions::add);
        } catch (RuntimeException e) {
            log.failure("the module failed on " + event, e);
            failRequestOf(event);
        }
        for (Action action : actions) {
            try {
                carryOut(action);
            } catch (RuntimeException e) {
                log.failure("could not carry out " + action, e);
            }
        }
        actions.clear();
    }

    /** An error costs the request that it came with, not the proxy and all the others that it holds. */
    private void failRequestOf(Event event) {
        String id = event instanceof Balancer.Arrival a ? a.id() : event instanceof Balancer.AttemptEnded a ? a.id() : null;
        if (id != null) {
            finish(id, Reply::failed);
        }
    }

    // Actions

    private void carryOut(Action action) {
        if (action instanceof Balancer.Send a) {
            send(a);
        } else if (action instanceof Balancer.SetTimer a) {
            loop.schedule(() -> deliver(new Balancer.TimerFired(a.token())), Math.max(0, a.atUs() - clock.now()),
                    TimeUnit.MICROSECONDS);
        } else if (action instanceof Balancer.Refuse a) {
            finish(a.id(), reply -> reply.refused(a.retryAfterUs()));
        } else if (action instanceof Balancer.Fail a) {
            finish(a.id(), Reply::failed);
        } else if (action instanceof Balancer.Cancel a) {
            Request r = requests.get(a.id());
            Backends.Attempt attempt = r == null || a.attempt() >= r.attempts.size() ? null : r.attempts.get(a.attempt());
            if (attempt != null && limits.cancel()) {
                attempt.abort(Outcome.CANCELLED);
            }
        } else if (action instanceof Balancer.Release a) {
            backends.release(a.backend());
        } else if (action instanceof Balancer.Watch a) {
            discovery.watch(a.on());
        } else if (action instanceof Balancer.Fetch) {
            discovery.fetch();
        } else if (action instanceof Balancer.Log a) {
            log.line(a.text());
        } else {
            // The module never probes, and where this proxy runs it may not.
            throw new UnsupportedOperationException("no such action here");
        }
    }

    private void finish(String id, Consumer<Reply> answer) {
        Request r = requests.get(id);
        if (r != null && !r.over) {
            answer(r, answer);
            forget(r);
        }
    }

    private void send(Balancer.Send send) {
        Request r = requests.get(send.id());
        if (r == null) {
            return;
        }
        int number = r.attempts.size();
        long left = r.incoming.deadlineUs() - clock.now();
        long timeoutUs = send.timeoutUs() == 0 ? left : Math.min(send.timeoutUs(), left);
        Backends.Attempt attempt = null;
        if (!r.over && number < limits.maxAttempts() && timeoutUs > 0 && (r.out == 0 || limits.secondCopies())) {
            attempt = backends.attempt(send.backend(), r.incoming.outgoing(), timeoutUs,
                    (outcome, latencyUs, answer) -> ended(r, number, send.backend(), outcome, latencyUs, answer));
        }
        r.attempts.add(attempt);
        if (attempt == null) {
            deliver(new Balancer.AttemptEnded(send.id(), number, send.backend(), Outcome.NOT_SENT, 0, r.over));
        } else {
            r.out++;
            attempt.start();
        }
    }
}
