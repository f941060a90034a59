package beechfall;

import java.util.List;
import java.util.function.Consumer;

/**
 * The interface of the decision module: settings in, then events in and actions out.
 *
 * <p>One instance serves one proxy and is used by one thread. It has no clock and does no I/O: each event comes with
 * the proxy's time in microseconds, which never goes back. Equal settings, seed and events give equal actions. The
 * proxy carries the actions out in the order given. All durations are in microseconds.
 */
public interface Balancer {
    /** Below so many requests in a window the law of large numbers helps less, and a backend in slow start is allowed more. */
    double FEW = 30;

    /**
     * Returns how many requests all proxies together may send a backend in a window of slow start, as far as this one can estimate what the
     * backend bears; infinite for one that is warm. By the operators' page: N + 2 sqrt(N) + 2, and N + 3 sqrt(N) + 3 for N under 30.
     */
    default double slowStartAllowance(String backend, long nowUs) {
        return Double.POSITIVE_INFINITY;
    }

    /** What a request may have done when it is sent twice. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The backends that discard repeats of a {@link Effect#KEYED} request together. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** What the server list says of a backend. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    /** What a list update holds: changes, a full list, the list as it was before a restart, or a failed call. */
    enum ListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** How an attempt ended. */
    enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Returns whether this outcome proves that the backend never ran the request; but see {@link Rules}. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** A request class: an answer within {@code aimUs} earns {@code worth}, a later one that part of it. */
    record RequestClass(
            String name,
            long aimUs,
            long deadlineUs,
            double worth,
            double lateWorth,
            Effect effect,
            Scope scope,
            long windowUs) {
        public RequestClass {
            require(name != null && !name.isEmpty(), "class name");
            require(aimUs > 0, "aim of class " + name);
            require(deadlineUs > 0, "deadline of class " + name);
            require(worth >= 0 && Double.isFinite(worth), "worth of class " + name);
            require(lateWorth >= 0 && lateWorth <= 1, "late worth of class " + name);
            require(effect != null, "effect of class " + name);
            require(effect != Effect.KEYED || scope != null && windowUs >= 0, "scope and window of class " + name);
        }
    }

    /** A tenant and the requests a second, over all proxies, that its share entitles it to. */
    record Tenant(String name, double quotaPerS) {
        public Tenant {
            require(name != null && !name.isEmpty(), "tenant name");
            require(quotaPerS >= 0, "quota of tenant " + name);
        }
    }

    /** What the proxy may do. {@code listMustBeAsked}: the list comes only after {@link Watch} or {@link Fetch}. */
    record Limits(
            boolean cancel,
            boolean secondCopies,
            boolean probes,
            boolean listMustBeAsked,
            int maxAttempts,
            long maxRetryAfterUs) {
        public Limits {
            require(maxAttempts >= 1, "max attempts");
            require(maxRetryAfterUs >= 0, "max retry-after");
        }
    }

    /**
     * The figures of the rules: a backend starts at {@code coldFrom} of its capacity, is warm after {@code coldUs},
     * and falls over when all proxies send more than {@code fallMultiple} of its capacity for {@code fallUs}.
     * Where {@code fullUnproven}, a backend may answer {@link Outcome#FULL} for work that it had begun.
     */
    record Rules(
            double coldFrom, long coldUs, double fallMultiple, long fallUs, long askWithinUs, boolean fullUnproven) {
        public Rules {
            require(coldFrom > 0 && coldFrom <= 1, "cold from");
            require(coldUs >= 0, "cold time");
            require(fallMultiple > 0, "fall multiple");
            require(fallUs > 0, "fall time");
            require(askWithinUs > 0, "ask within");
        }
    }

    /**
     * All that an instance is told at its start. {@code rank} is its number among the balancers, from 0.
     * {@code tickUs} is the least time between two rounds of events.
     */
    record Settings(
            int balancers,
            int rank,
            String zone,
            long tickUs,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            boolean warmKeys,
            Limits limits,
            Rules rules,
            long seed) {
        public Settings {
            require(balancers >= 1, "balancers");
            require(rank >= 0, "rank");
            require(zone != null, "zone");
            require(tickUs >= 0, "tick");
            require(classes != null && !classes.isEmpty(), "classes");
            require(tenants != null, "tenants");
            require(overShareWorth >= 0 && overShareWorth <= 1, "over-share worth");
            require(limits != null, "limits");
            require(rules != null, "rules");
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
        }

        /** Returns the same for another number of balancers and another place among them. */
        Settings among(int others, int place) {
            return new Settings(
                    others, place, zone, tickUs, classes, tenants, overShareWorth, warmKeys, limits, rules, seed);
        }
    }

    /** One line of the server list. {@code startedAtUs} is 0 for long ago; {@code weight} only compares backends. */
    record Backend(String id, State state, String kind, String zone, int cell, long startedAtUs, double weight) {
        public Backend {
            require(id != null && !id.isEmpty(), "backend id");
            require(state != null, "state of backend " + id);
        }
    }

    /** Something that happened to the proxy. */
    sealed interface Event
            permits Members, Arrival, StreamStarted, AttemptEnded, ClientGone, TimerFired, ProbeEnded, Acting, Fleet {}

    /** News of the server list. A backend missing from a full list is gone. */
    record Members(ListKind kind, List<Backend> backends) implements Event {}

    /**
     * A client's request; {@code key} and {@code tenant} may be null.
     *
     * @param leftUs the client's patience
     * @param readUs how long a backend may take to read it whole, in microseconds; 0 where it is read at once
     */
    record Arrival(String id, String requestClass, String tenant, String key, long leftUs, boolean repeat, long readUs)
            implements Event {
        /** A request that a backend reads at once. */
        public Arrival(String id, String requestClass, String tenant, String key, long leftUs, boolean repeat) {
            this(id, requestClass, tenant, key, leftUs, repeat, 0);
        }
    }

    /** An answer has begun to stream: the attempt is the client's from here on. */
    record StreamStarted(String id, int attempt) implements Event {}

    /** The latency of an attempt that is answered by being written: nobody knows how long it takes. */
    long UNTIMED = -1;

    /**
     * The one end of an attempt.
     *
     * @param latencyUs from its start to its end in microseconds, or {@link #UNTIMED}
     * @param last the request is over, by this or earlier
     */
    record AttemptEnded(String id, int attempt, String backend, Outcome outcome, long latencyUs, boolean last)
            implements Event {}

    /** The client has left; nothing more is owed. */
    record ClientGone(String id) implements Event {}

    /** A timer set earlier is due. */
    record TimerFired(String token) implements Event {}

    /** The result of a probe. */
    record ProbeEnded(String backend, Outcome outcome, long latencyUs) implements Event {}

    /**
     * From now on this instance acts for a part of one balancer, and another one for the rest: two processes serve as one proxy
     * while one of them takes the other's place. Rule 4 and what backends bear count all balancers together.
     *
     * @param part above 0, at most 1, which it is at the start
     */
    record Acting(double part) implements Event {
        public Acting {
            require(part > 0 && part <= 1, "part of a balancer");
        }
    }

    /**
     * From now on so many balancers share the backends: the largest fleet that this may be, where that is not sure.
     *
     * @param rank this one's number among them, from 0
     */
    record Fleet(int balancers, int rank) implements Event {
        public Fleet {
            require(balancers >= 1, "balancers");
            require(rank >= 0 && rank < balancers, "rank");
        }
    }

    /** Something the proxy is to do. */
    sealed interface Action permits Send, Refuse, Fail, Cancel, Release, SetTimer, Probe, Watch, Fetch, Log {}

    /** Send an attempt; the attempts of a request are numbered from 0 in the order sent. */
    record Send(String id, String backend, long timeoutUs) implements Action {}

    /** Final answer: not now, and a retry is harmless. 0: no hint when to come back. */
    record Refuse(String id, long retryAfterUs) implements Action {}

    /** Final answer: failed, with nothing promised about its effect. */
    record Fail(String id) implements Action {}

    /** Stop waiting for one attempt. */
    record Cancel(String id, int attempt) implements Action {}

    /** Close the idle connections to a backend. */
    record Release(String backend) implements Action {}

    /** Ask for {@link TimerFired} at a time of the proxy's clock. */
    record SetTimer(long atUs, String token) implements Action {}

    /** Check a backend. */
    record Probe(String backend) implements Action {}

    /** Ask to be told of list changes from now on, or no longer. */
    record Watch(boolean on) implements Action {}

    /** Ask for the whole list once. */
    record Fetch() implements Action {}

    /** A line for the people who run the proxy. */
    record Log(String text) implements Action {}

    /**
     * Takes one event and hands out what the proxy is to do about it.
     *
     * @param nowUs the proxy's clock, in microseconds, not before that of the event before
     */
    void handle(long nowUs, Event event, Consumer<Action> actions);

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("invalid setting: " + setting);
        }
    }
}
