package grebehoist.engine;

import beechfall.Balancer;
import beechfall.Balancer.Action;
import beechfall.Balancer.Event;
import beechfall.Balancer.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * The ledger of one pool's requests and attempts: hands the decision module its events, one at a time, and carries out
 * its actions. It decides nothing, but holds to the rules whatever the module asks for: a request has one answer, in
 * time; every attempt passes {@link RuleGuard}; and a repeat of a keyed request whose last
 * byte would go out past the window in which its key is known does not go at all.
 *
 * <p>Single-threaded: everything is called on the one thread that {@link Timers} runs its actions on.
 */
public final class Engine implements Intake, MemberSource.Sink {
    /** How long after its deadline a request is answered by the engine, if the module has not: the module goes first. */
    private static final long SAFETY_US = 2_000;
    /** An attempt whose answer has begun to come is not given up at its time-out as long as more comes each time. */
    private static final long MOVING_US = 100_000;
    /** What is found so soon after a write was there when it was made, as far as can be known. */
    private static final long FOUND_SOON_US = 20_000;
    /** How long a send waits, again and again, while the host takes in what came when it was held up. */
    private static final long SETTLE_US = 2_000;

    private final Timers timers;
    private final Log log;
    private final Balancer.Settings settings;
    private final Balancer.Limits limits;
    private final Balancer module;
    private final Transport transport;
    private final Tally tally;
    private final RuleGuard guard;
    private final Map<String, Balancer.RequestClass> types = new HashMap<>();
    private final Map<String, Open> open = new HashMap<>();
    private final RecentRequests recent = new RecentRequests();
    /** Of those that are open, how many still want their answer. */
    private int unanswered;

    private final Queue<Event> events = new ArrayDeque<>();
    private final List<Action> actions = new ArrayList<>();
    private MemberSource source;
    private RequestClaims claims = RequestClaims.NONE;
    private boolean handling;
    /** The time that the module was given with the event that is being handled. */
    private long decidedAt;
    /** When the process has answered all, as it ends soon after, or {@link Long#MAX_VALUE}. */
    private long answerBy = Long.MAX_VALUE;

    /**
     * Puts an engine together; {@link #source} is to follow.
     *
     * @param settings those that the module was made with
     */
    public Engine(Balancer.Settings settings, Balancer module, Timers timers, Transport transport, Log log) {
        this.settings = settings;
        this.limits = settings.limits();
        settings.classes().forEach(c -> types.put(c.name(), c));
        this.tally = new Tally(settings);
        this.module = module;
        this.timers = timers;
        this.transport = transport;
        this.log = log;
        this.guard = new RuleGuard(log, settings.rules().fallUs());
    }

    /** Names where the list of backends comes from, before anything else is asked of the engine. */
    public void source(MemberSource members) {
        source = members;
    }

    /** Names where it is seen what other processes of this proxy have sent on, before the first request. */
    public void claims(RequestClaims shared) {
        claims = shared;
    }

    /** Tells the module that it acts for a part of one balancer from now on. */
    public void act(double part) {
        deliver(new Balancer.Acting(part));
    }

    /** Tells the module how many balancers share the backends from now on, and which one this is. */
    public void share(int balancers, int rank) {
        deliver(new Balancer.Fleet(balancers, rank));
    }

    /**
     * The process ends soon: whatever its deadline is, every request has its answer by a time, and one that comes later is refused.
     *
     * @param atUs when
     */
    public void answerAllBy(long atUs) {
        answerBy = Math.min(answerBy, atUs);
        timers.at(atUs, () -> List.copyOf(open.values()).forEach(this::answerLast));
    }

    private void answerLast(Open r) {
        if (r.over) {
            return;
        }
        refuseOrFail(r, Counter.REFUSED_AT_SHUTDOWN, Counter.FAILED_AT_SHUTDOWN);
        deliver(new Balancer.ClientGone(r.request.id()));
        forget(r);
    }

    /** Refuses what may harmlessly be asked again, and fails the rest. */
    private void refuseOrFail(Open r, Counter refused, Counter failed) {
        if (r.hasEffect(Balancer.Effect.SAFE) || !r.mayHaveRun()) {
            refuse(r, 0, refused);
        } else {
            fail(r, failed);
        }
    }

    /** Returns the number of requests that still want an answer or have attempts out. */
    public int open() {
        return open.size();
    }

    /** Returns the number of requests that still want an answer. */
    public int unanswered() {
        return unanswered;
    }

    /** Returns what has become of requests so far. */
    public Tally tally() {
        return tally;
    }

    /** A request and its attempts, kept until it is answered and no attempt is out. */
    private final class Open {
        private final Request request;
        private final Responder responder;
        private final Tally.Row row;
        /** Null for a class that the settings don't name. */
        private final Balancer.RequestClass type;

        private final long handedInAt = timers.now();
        /** How long a backend may take to read it. One whose payload is still coming goes out once only. */
        private final long readUs;
        /** By their numbers. */
        private final List<Out> attempts = new ArrayList<>(2);

        private int out;
        private boolean over;
        /** Its client as it was last found; that it has left the front is yet to tell. */
        private ClientState client = ClientState.PRESENT;
        /** Whether this process has claimed it, and whether another one has. */
        private boolean claimed;

        private boolean claimedElsewhere;
        /** When the answer is due; not before the payload has come whole, where it is still coming. */
        private long deadlineUs;

        private boolean whole;
        private Timers.Timer safety;

        Open(Request request, Responder responder, Tally.Row row) {
            this.request = request;
            this.responder = responder;
            this.row = row;
            this.type = types.get(request.requestClass());
            this.whole = request.comingUs() == 0;
            this.readUs = hasEffect(Balancer.Effect.KEYED)
                    ? TransferTime.slowestUs(request.payload().bytes())
                    : 0;
            this.deadlineUs = Math.min(answerBy, request.deadlineUs() + request.comingUs());
        }

        private boolean hasEffect(Balancer.Effect effect) {
            return type != null && type.effect() == effect;
        }

        /** Claims it, where it may run only once. Returns whether it may be sent on. */
        private boolean claim() {
            if (!claimed && mayComeAgain(request, type)) {
                long leftUs = Math.max(0, deadlineUs - timers.now());
                claimed = claims.claim(request.id(), leftUs + RecentRequests.KEPT_US);
                claimedElsewhere = !claimed;
            }
            return !claimedElsewhere;
        }

        /** It is over: what comes again under its id may be sent on only if it has not run, here and by another process. */
        private void settleId() {
            boolean ran = mayComeAgain(request, type) && mayHaveRun();
            if (ran) {
                recent.add(request.id(), timers.now());
            }
            if (claimed && ran) {
                claims.claim(request.id(), RecentRequests.KEPT_US);
            } else if (claimed) {
                claims.release(request.id());
            }
        }

        /** Returns whether an attempt may have taken effect, by what is known now. */
        private boolean mayHaveRun() {
            return attempts.stream().anyMatch(a -> a.ended ? a.ranForAllThatIsKnown() : a.mayHaveRun());
        }

        /** Returns its attempts and how they ended, for the log. */
        private String history() {
            return deadlineUs - timers.now() + " us left" + attemptsSoFar();
        }

        private String attemptsSoFar() {
            var text = new StringBuilder();
            for (Out attempt : attempts) {
                text.append(", ")
                        .append(attempt.number)
                        .append(" at ")
                        .append(attempt.backend)
                        .append(": ")
                        .append(attempt.outcome == null ? "out" : attempt.outcome);
            }
            return text.toString();
        }

        /**
         * Returns until when a repeat's last byte may go out: early enough that a backend that reads slowly has it before the key of an
         * attempt that may have run is forgotten.
         */
        private long repeatUntil() {
            if (!hasEffect(Balancer.Effect.KEYED)) {
                return Long.MAX_VALUE;
            }
            return attempts.stream()
                    .filter(a -> a.ended && a.ranForAllThatIsKnown())
                    .mapToLong(a -> a.sentAt + type.windowUs() - readUs)
                    .min()
                    .orElse(Long.MAX_VALUE);
        }
    }

    /** An attempt and its time-out. */
    private final class Out implements Attempt.End {
        private final Open request;
        private final int number;
        private final String backend;
        private final long sentAt = timers.now();
        /** When the backend's time began: with the attempt, or with the last byte of a payload that came meanwhile. */
        private long startedAt = sentAt;

        private long timeoutUs;
        /** Null while it waits for the host to settle. */
        private Attempt attempt;

        private Timers.Timer timeout;
        /** Null where it may go out at any time. */
        private Timers.Timer windowEnd;

        private boolean ended;
        private Outcome outcome;
        /** When its client was last looked for, right before the first byte, and when that had been written. */
        private long lookedAt;

        private long writtenAt = Long.MAX_VALUE;

        Out(Open request, int number, String backend, long timeoutUs) {
            this.request = request;
            this.number = number;
            this.backend = backend;
            this.timeoutUs = timeoutUs;
        }

        void start() {
            request.out++;
            timeout = timers.at(startedAt + timeoutUs, this::expire);
            long window = request.repeatUntil();
            if (window != Long.MAX_VALUE) {
                windowEnd = timers.at(window, this::passWindow);
            }
            startSettled();
        }

        /** Unless it has been written whole by now it never is: nothing is said against its backend, and the module decides anew. */
        private void passWindow() {
            if (!ended && !mayHaveRun()) {
                abort(Outcome.NOT_SENT);
            }
        }

        /** Once the host has settled the transport has heard of drains, and the front of clients that have left. */
        private void startSettled() {
            if (ended) {
                return;
            }
            if (timers.settling()) {
                timers.at(timers.now() + SETTLE_US, this::startSettled);
                return;
            }
            if (timers.now() >= request.repeatUntil()) {
                ended(Outcome.NOT_SENT, null);
                return;
            }
            attempt = transport.attempt(backend, request.request.payload(), startedAt + timeoutUs, this);
            if (attempt == null) {
                ended(Outcome.NOT_SENT, null);
            } else {
                attempt.start();
            }
        }

        @Override
        public boolean hasEffect() {
            return !request.hasEffect(Balancer.Effect.SAFE);
        }

        @Override
        public boolean mayBegin(long deadlineUs) {
            long now = timers.now();
            if (number == 0) {
                log.waited(Wait.BEFORE_FIRST_BYTE, now - request.handedInAt);
            }
            if (ended) {
                return false;
            }
            lookedAt = now;
            request.client = request.over ? ClientState.PRESENT : request.responder.clientState();
            return guard.begins(facts(deadlineUs, now), now) && request.claim();
        }

        private RuleGuard.Send facts(long toldDeadlineUs, long now) {
            int othersOut = 0;
            var mayHaveRun = new ArrayList<RuleGuard.Earlier>(2);
            for (Out other : request.attempts) {
                if (other != this) {
                    othersOut += other.ended ? 0 : 1;
                    if (other.ended ? other.ranForAllThatIsKnown() : other.mayHaveRun()) {
                        mayHaveRun.add(new RuleGuard.Earlier(other.backend, other.sentAt));
                    }
                }
            }
            return new RuleGuard.Send(
                    request.request.id(),
                    number,
                    backend,
                    request.type,
                    !request.over,
                    request.client,
                    request.deadlineUs - now,
                    toldDeadlineUs - now,
                    othersOut,
                    limits.maxAttempts(),
                    limits.secondCopies(),
                    mayHaveRun,
                    request.readUs,
                    module.slowStartAllowance(backend, now));
        }

        /** Returns whether its client, whose end is found now, may have left long before the first byte. */
        boolean begunForNobody(long now) {
            return writtenAt != Long.MAX_VALUE
                    && writtenAt - lookedAt > RuleGuard.LEAVE_GRACE_US
                    && now - writtenAt < FOUND_SOON_US;
        }

        boolean mayHaveRun() {
            return attempt != null && attempt.mayHaveRun();
        }

        /** Returns whether its end is no proof that it never ran. */
        private boolean ranForAllThatIsKnown() {
            return outcome != null
                    && (!outcome.neverRan()
                            || outcome == Outcome.FULL && settings.rules().fullUnproven());
        }

        void abort(Outcome outcome) {
            if (attempt != null) {
                attempt.abort(outcome);
            } else {
                ended(outcome, null);
            }
        }

        /** Before its last byte has gone it has not run for certain; after that it may, even if nothing comes. */
        private void expire() {
            if (ended) {
                return;
            }
            if (!request.whole && attempt != null && !attempt.stuck()) {
                // The front cuts off a client that is too slow, and then this ends as well.
                timeout = timers.at(timers.now() + timeoutUs, this::expire);
                return;
            }
            long left = request.deadlineUs - timers.now();
            if (!request.over && left > 0 && attempt != null && attempt.answering()) {
                timeout = timers.at(timers.now() + Math.min(MOVING_US, left), this::expire);
                return;
            }
            abort(mayHaveRun() ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }

        @Override
        public void written() {
            writtenAt = timers.now();
            request.row.countAttempt();
            if (request.request.comingUs() > 0 && !ended) {
                timeout.cancel();
                startedAt = timers.now();
                timeoutUs = Math.min(timeoutUs, request.deadlineUs - startedAt);
                timeout = timers.at(startedAt + timeoutUs, this::expire);
            }
        }

        @Override
        public void ended(Outcome outcome, Payload answer) {
            if (ended) {
                log.failure(
                        "a second end of an attempt",
                        new IllegalStateException(outcome + " of " + request.request.id()));
                if (answer != null) {
                    answer.release();
                }
                return;
            }
            ended = true;
            this.outcome = outcome;
            timeout.cancel();
            if (windowEnd != null) {
                windowEnd.cancel();
            }
            attemptEnded(this, outcome, answer);
        }
    }

    // Events

    @Override
    public boolean knows(String id) {
        return open.containsKey(id);
    }

    @Override
    public void arrived(Request request, Responder responder) {
        long now = timers.now();
        Tally.Row row = tally.row(request.requestClass());
        if (open.containsKey(request.id())) {
            // What the other one does is not this one's to promise anything about.
            log.reason(Counter.FAILED_SAME_ID, request.id(), () -> "");
            row.countFailed();
            responder.failed();
            return;
        }
        if (mayComeAgain(request, types.get(request.requestClass())) && recent.contains(request.id(), now)) {
            log.reason(Counter.FAILED_SAME_ID, request.id(), () -> "one of this id may have run");
            row.countFailed();
            responder.failed();
            return;
        }
        long deadline = Math.min(answerBy, request.deadlineUs());
        if (now >= deadline) {
            // Nobody has begun with it: whoever still waits for it may ask again.
            log.reason(
                    Counter.REFUSED_OUT_OF_TIME,
                    request.id(),
                    () -> now - deadline + " us after its time was up; " + responder.whereItWaited());
            row.countRefused();
            responder.refused(0);
            return;
        }
        var r = new Open(request, responder, row);
        open.put(request.id(), r);
        unanswered++;
        r.safety = timers.at(r.deadlineUs + SAFETY_US, () -> overdue(r));
        deliver(new Balancer.Arrival(
                request.id(),
                request.requestClass(),
                request.tenant(),
                request.key(),
                deadline - now,
                request.repeat(),
                r.readUs));
    }

    /** Returns whether a request may run only once, and may come again under its id. */
    private static boolean mayComeAgain(Request request, Balancer.RequestClass type) {
        return type != null && type.effect() != Balancer.Effect.SAFE && request.idOrigin() == Request.IdOrigin.CLIENT;
    }

    @Override
    public void whole(String id, long deadlineUs) {
        Open r = open.get(id);
        if (r != null && !r.over && !r.whole) {
            r.whole = true;
            r.deadlineUs = Math.min(answerBy, deadlineUs);
            r.safety.cancel();
            r.safety = timers.at(r.deadlineUs + SAFETY_US, () -> overdue(r));
        }
    }

    @Override
    public void giveUp(String id, String why) {
        Open r = open.get(id);
        if (r != null && !r.over && !r.whole) {
            log.reason(Counter.REFUSED_BODY_LATE, id, () -> why + r.attemptsSoFar());
            r.row.countRefused();
            answer(r, responder -> responder.refused(0));
            deliver(new Balancer.ClientGone(id));
            forget(r);
        }
    }

    @Override
    public void closedUnanswered(String id, String why) {
        guard.closedUnanswered(id, why, timers.now());
    }

    @Override
    public void clientGone(String id) {
        Open r = open.get(id);
        if (r != null && !r.over) {
            long now = timers.now();
            r.attempts.stream()
                    .filter(a -> a.begunForNobody(now))
                    .forEach(a -> guard.begunForNobody(id, a.number, a.backend, a.lookedAt, a.writtenAt, now));
            left(r);
            deliver(new Balancer.ClientGone(id));
            forget(r);
        }
    }

    /** Its client has left before its answer. */
    private void left(Open r) {
        r.row.countFailed();
        over(r);
        withdraw(r);
    }

    /** Guards against a module that never answers: whatever happens, the client hears of its request in time. */
    private void overdue(Open r) {
        if (!r.over) {
            fail(r, Counter.FAILED_OVERDUE);
            deliver(new Balancer.ClientGone(r.request.id()));
            forget(r);
        }
    }

    @Override
    public void members(Balancer.ListKind kind, List<Listed> listed) {
        guard.notified(kind, listed, timers.now());
        List<? extends Attempt> unsent = kind == Balancer.ListKind.FAILED ? List.of() : transport.members(kind, listed);
        deliver(new Balancer.Members(kind, listed.stream().map(Listed::backend).toList()));
        // The module has heard why by now, and sends them elsewhere.
        unsent.forEach(a -> a.abort(Outcome.NOT_SENT));
    }

    private void attemptEnded(Out out, Outcome outcome, Payload answer) {
        Open r = out.request;
        r.out--;
        boolean wentNoFurther = endWhereNoAttemptMayBegin(r);
        if (outcome == Outcome.OK && !r.over) {
            if (answer instanceof StreamedPayload stream) {
                serve(r, stream);
            } else {
                r.row.countServed();
                answer(r, responder -> responder.served(answer));
            }
        } else if (answer != null) {
            answer.release();
        }
        deliver(new Balancer.AttemptEnded(
                r.request.id(),
                out.number,
                out.backend,
                outcome,
                outcome == Outcome.OK && answer == Payload.NONE ? Balancer.UNTIMED : timers.now() - out.startedAt,
                r.over));
        if (wentNoFurther) {
            deliver(new Balancer.ClientGone(r.request.id()));
        }
        forget(r);
    }

    /** Ends a request for which no further attempt may begin, by what was found right before a first byte. Returns whether it did. */
    private boolean endWhereNoAttemptMayBegin(Open r) {
        if (r.over) {
            return false;
        }
        if (r.client == ClientState.GONE) {
            left(r);
        } else if (r.client == ClientState.UNKNOWN) {
            // Whoever is still there has its answer.
            refuseOrFail(r, Counter.REFUSED_CLIENT_UNKNOWN, Counter.FAILED_CLIENT_UNKNOWN);
        } else if (r.claimedElsewhere) {
            // It may have run there.
            log.reason(Counter.FAILED_SAME_ID, r.request.id(), () -> "another process of this proxy has sent it on");
            r.row.countFailed();
            answer(r, Responder::failed);
        }
        return r.over;
    }

    /** For the module this attempt is over, as its backend has answered; the request is, once the rest has come. */
    private void serve(Open r, StreamedPayload stream) {
        unanswered++;
        stream.onEnd(whole -> {
            unanswered--;
            if (whole) {
                r.row.countServed();
            } else {
                r.row.countFailed();
            }
        });
        answer(r, responder -> responder.served(stream));
    }

    /** Gives the one answer; where that goes wrong it is a failure, as the request is taken all the same. */
    private void answer(Open r, Consumer<Responder> answer) {
        over(r);
        try {
            answer.accept(r.responder);
        } catch (RuntimeException e) {
            log.failure("could not answer " + r.request.id(), e);
            r.responder.failed();
        }
        withdraw(r);
    }

    private void refuse(Open r, long retryAfterUs, Counter reason) {
        log.reason(reason, r.request.id(), r::history);
        r.row.countRefused();
        answer(r, responder -> responder.refused(retryAfterUs));
    }

    private void fail(Open r, Counter reason) {
        log.reason(reason, r.request.id(), r::history);
        r.row.countFailed();
        answer(r, Responder::failed);
    }

    private void over(Open r) {
        r.over = true;
        unanswered--;
        r.safety.cancel();
    }

    /**
     * The request is over: what is still unsent of it stays unsent. What may have run goes on, unless the module calls
     * it off, as its end tells of the backend.
     */
    private static void withdraw(Open r) {
        for (Out out : List.copyOf(r.attempts)) {
            if (!out.ended && !out.mayHaveRun()) {
                out.abort(Outcome.CANCELLED);
            }
        }
    }

    private void forget(Open r) {
        if (r.over && r.out == 0 && open.remove(r.request.id(), r)) {
            r.settleId();
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
            decidedAt = timers.now();
            module.handle(decidedAt, event, actions::add);
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
        String id =
                event instanceof Balancer.Arrival a ? a.id() : event instanceof Balancer.AttemptEnded a ? a.id() : null;
        if (id != null) {
            finish(id, r -> fail(r, Counter.FAILED_BY_POLICY));
        }
    }

    // Actions

    private void carryOut(Action action) {
        if (action instanceof Balancer.Send a) {
            send(a);
        } else if (action instanceof Balancer.SetTimer a) {
            timers.at(a.atUs(), () -> deliver(new Balancer.TimerFired(a.token())));
        } else if (action instanceof Balancer.Refuse a) {
            finish(a.id(), r -> refuse(r, a.retryAfterUs(), Counter.REFUSED_BY_POLICY));
        } else if (action instanceof Balancer.Fail a) {
            finish(a.id(), r -> fail(r, Counter.FAILED_BY_POLICY));
        } else if (action instanceof Balancer.Cancel a) {
            cancel(a);
        } else if (action instanceof Balancer.Release a) {
            transport.release(a.backend());
        } else if (action instanceof Balancer.Watch a) {
            source.watch(a.on());
        } else if (action instanceof Balancer.Fetch) {
            source.fetch();
        } else if (action instanceof Balancer.Log a) {
            log.line(a.text());
        } else {
            // The module never probes, and where this proxy runs it may not.
            throw new UnsupportedOperationException("no such action here");
        }
    }

    private void finish(String id, Consumer<Open> answer) {
        Open r = open.get(id);
        if (r != null && !r.over) {
            answer.accept(r);
            forget(r);
        }
    }

    private void cancel(Balancer.Cancel cancel) {
        Open r = open.get(cancel.id());
        if (r != null && cancel.attempt() < r.attempts.size() && limits.cancel()) {
            Out out = r.attempts.get(cancel.attempt());
            if (!out.ended) {
                out.abort(Outcome.CANCELLED);
            }
        }
    }

    private void send(Balancer.Send send) {
        Open r = open.get(send.id());
        if (r == null) {
            return;
        }
        if (!r.attempts.isEmpty()) {
            log.reason(Counter.RETRIED, send.id(), () -> "at " + send.backend() + ", " + r.history());
        }
        long left = r.deadlineUs - timers.now();
        var out = new Out(
                r, r.attempts.size(), send.backend(), send.timeoutUs() == 0 ? left : Math.min(send.timeoutUs(), left));
        r.attempts.add(out);
        // By the time of the decision: what has run out since then is seen before the first byte, and is no fault.
        if (out.timeoutUs > 0 && guard.maySend(out.facts(decidedAt + out.timeoutUs, decidedAt), decidedAt)) {
            out.start();
        } else {
            out.ended = true;
            out.outcome = Outcome.NOT_SENT;
            deliver(new Balancer.AttemptEnded(send.id(), out.number, send.backend(), Outcome.NOT_SENT, 0, r.over));
        }
    }
}
