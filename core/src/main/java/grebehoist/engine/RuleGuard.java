package grebehoist.engine;

import beechfall.Balancer.Backend;
import beechfall.Balancer.Effect;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Scope;
import beechfall.Balancer.State;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The one gate for what the rules forbid. Every attempt passes it before it begins and again before its first byte is written, every close
 * of a client's connection from this side, and every start of listening. It keeps by itself what this proxy was notified of, so
 * a fault in the parts that should not have asked shows here: it is refused where refusing is safe, counted by rule, and logged.
 *
 * <p>Does no I/O; used by the engine's thread alone.
 */
public final class RuleGuard {
    /** What is never to happen; the names are those of the metrics. */
    public enum Rule {
        /** Something new for an endpoint that drains or is gone, past the grace. */
        DRAIN,
        /** An attempt for a request that is over: its client has left, or has its answer. */
        CLIENT_GONE,
        /** An attempt past the request's deadline, or one that tells its server a later one. */
        DEADLINE,
        /** Two attempts of one request out at a time, or more of them than the settings allow. */
        ATTEMPTS,
        /** A repeat of a request that may have run and may not run again: not its class, not in its window, not at such a server. */
        REPEAT,
        /** More to an endpoint in slow start than all proxies together may send. */
        SLOW_START,
        /** A client's connection closed from this side under a request that was read and not answered. */
        UNANSWERED_CLOSE,
        /** Listening before what operators have asked is known, or while the process ends. */
        START
    }

    /**
     * A rule that was about to be broken.
     *
     * @param request the request's id, or empty
     * @param attempt its number, or -1
     * @param endpoint the endpoint's id, or empty
     * @param detail the state and times that decided
     */
    public record Violation(Rule rule, long atUs, String request, int attempt, String endpoint, String detail) {}

    /**
     * An attempt that is about to begin.
     *
     * @param open whether the request still wants an answer
     * @param client whether its client is still there, by what the kernel holds
     * @param leftUs what is left to the client
     * @param toldLeftUs what the server is told that is left
     * @param othersOut attempts of the same request that are out
     * @param mostAttempts how many attempts a request may have
     * @param mayOverlap whether two may be out at a time
     * @param mayHaveRun the earlier attempts that may have run
     * @param readUs how long its server may take to read it whole
     * @param slowStartAllowance how many requests all proxies together may send the endpoint in a window
     */
    public record Send(
            String request,
            int attempt,
            String endpoint,
            RequestClass type,
            boolean open,
            ClientState client,
            long leftUs,
            long toldLeftUs,
            int othersOut,
            int mostAttempts,
            boolean mayOverlap,
            List<Earlier> mayHaveRun,
            long readUs,
            double slowStartAllowance) {}

    /** An earlier attempt of the same request that may have run. */
    public record Earlier(String endpoint, long sentAtUs) {}

    /** Rule 3: the time between the notification and the last request that may begin. */
    static final long DRAIN_GRACE_US = 250_000;
    /** An attempt may begin so long after its client has left. */
    public static final long LEAVE_GRACE_US = 100_000;
    /** What the deadline that a server is told may be too late by. */
    static final long DEADLINE_SLACK_US = 150_000;
    /** An endpoint that is gone is remembered for so long, for whatever still waits to be sent there. */
    private static final long GONE_KEPT_US = 30_000_000;

    private record Notified(Backend backend, State state, long atUs) {}

    private record SlowStartSend(long atUs, double allowance) {}

    private final Log log;
    private final long slowStartWindowUs;
    private final Map<String, Notified> endpoints = new HashMap<>();
    /** Those that are gone, or were when they were put here, the oldest first. */
    private final Deque<Notified> gone = new ArrayDeque<>();
    /** Only of endpoints in slow start; each holds no more than the allowance. */
    private final Map<String, Deque<SlowStartSend>> slowStarts = new HashMap<>();

    /**
     * Makes one that was notified of nothing.
     *
     * @param slowStartWindowUs the time in which requests to an endpoint in slow start are counted together
     */
    public RuleGuard(Log log, long slowStartWindowUs) {
        this.log = log;
        this.slowStartWindowUs = slowStartWindowUs;
    }

    /** This proxy is notified of endpoints. */
    public void notified(ListKind kind, List<Listed> listed, long nowUs) {
        if (kind == ListKind.FAILED) {
            return;
        }
        Set<String> named = new HashSet<>();
        for (Listed l : listed) {
            named.add(l.backend().id());
            notified(l.backend(), l.backend().state(), nowUs);
        }
        if (kind != ListKind.DELTA) {
            List.copyOf(endpoints.values()).stream()
                    .filter(n -> !named.contains(n.backend.id()))
                    .forEach(n -> notified(n.backend, State.GONE, nowUs));
        }
        forgetGone(nowUs);
    }

    private void forgetGone(long nowUs) {
        while (!gone.isEmpty() && nowUs - gone.getFirst().atUs > GONE_KEPT_US) {
            Notified oldest = gone.removeFirst();
            // One that has come back since is another.
            if (endpoints.remove(oldest.backend.id(), oldest)) {
                slowStarts.remove(oldest.backend.id());
            }
        }
    }

    private void notified(Backend backend, State state, long nowUs) {
        Notified before = endpoints.get(backend.id());
        boolean same = before != null && before.state == state;
        if (same && state == State.GONE) {
            return;
        }
        var now = new Notified(backend, state, same ? before.atUs : nowUs);
        endpoints.put(backend.id(), now);
        if (state == State.GONE) {
            gone.addLast(now);
        }
        if (before != null && !same) {
            log.event(new LogEvent("endpoint", backend.id(), before.state.name(), state.name(), "notified"));
        }
    }

    /**
     * Counts what is wrong with an attempt that has just been decided on. Returns whether it may be made as far as its request goes; what
     * its endpoint and its earlier attempts forbid is refused before the first byte, which a host that sends no bytes (the laboratory,
     * in which such attempts are to be seen) does not ask.
     */
    public boolean maySend(Send send, long nowUs) {
        endpointTakes(send, nowUs);
        repeatAllowed(send, nowUs);
        return requestAllows(send, nowUs);
    }

    /**
     * As {@link #maySend}, right before the first byte. That time has run out since the decision (a connection came up late, the process was
     * held up), or that its client has left, is no fault, and is refused without being counted as one. What begins counts towards the budget of slow start.
     */
    public boolean begins(Send send, long nowUs) {
        if (send.leftUs <= 0 || outOfWindow(send, nowUs)) {
            log.count(Counter.ATTEMPT_OUT_OF_TIME);
            return false;
        }
        if (send.client != ClientState.PRESENT) {
            log.count(send.client == ClientState.GONE ? Counter.ATTEMPT_CLIENT_LEFT : Counter.ATTEMPT_CLIENT_UNKNOWN);
            return false;
        }
        return endpointTakes(send, nowUs)
                && requestAllows(send, nowUs)
                && repeatAllowed(send, nowUs)
                && slowStartAllows(send, nowUs);
    }

    private static boolean outOfWindow(Send send, long nowUs) {
        return send.type != null
                && send.type.effect() == Effect.KEYED
                && send.mayHaveRun.stream().anyMatch(earlier -> !readInWindow(send, earlier, nowUs));
    }

    /** Returns whether a repeat that begins now is read whole while its server still knows the key. */
    private static boolean readInWindow(Send send, Earlier earlier, long nowUs) {
        return nowUs + send.readUs - earlier.sentAtUs < send.type.windowUs();
    }

    private boolean endpointTakes(Send send, long nowUs) {
        Notified endpoint = endpoints.get(send.endpoint);
        if (endpoint == null || endpoint.state == State.READY) {
            return true;
        }
        long since = nowUs - endpoint.atUs;
        if (since > DRAIN_GRACE_US) {
            violated(Rule.DRAIN, send, nowUs, endpoint.state + " for " + since + " us");
        }
        return false;
    }

    private boolean requestAllows(Send send, long nowUs) {
        if (!send.open) {
            return violated(Rule.CLIENT_GONE, send, nowUs, "the request is over");
        }
        if (send.leftUs <= 0 || send.toldLeftUs > send.leftUs + DEADLINE_SLACK_US) {
            return violated(Rule.DEADLINE, send, nowUs, send.leftUs + " us left, " + send.toldLeftUs + " us told");
        }
        if (send.attempt >= send.mostAttempts || send.othersOut > 0 && !send.mayOverlap) {
            return violated(Rule.ATTEMPTS, send, nowUs, send.othersOut + " others out, at most " + send.mostAttempts);
        }
        return true;
    }

    private boolean repeatAllowed(Send send, long nowUs) {
        if (send.type == null || send.type.effect() == Effect.SAFE) {
            return true;
        }
        for (Earlier earlier : send.mayHaveRun) {
            long since = nowUs - earlier.sentAtUs;
            if (send.type.effect() == Effect.UNSAFE
                    || !readInWindow(send, earlier, nowUs)
                    || !sameScope(send.type.scope(), earlier.endpoint, send.endpoint)) {
                return violated(
                        Rule.REPEAT,
                        send,
                        nowUs,
                        send.type.effect() + ", " + since + " us after an attempt at " + earlier.endpoint);
            }
        }
        return true;
    }

    private boolean sameScope(Scope scope, String first, String second) {
        Notified a = endpoints.get(first);
        Notified b = endpoints.get(second);
        if (scope == Scope.ALL || a == null || b == null) {
            return true;
        }
        return scope == Scope.ZONE
                ? String.valueOf(a.backend.zone()).equals(b.backend.zone())
                : a.backend.cell() == b.backend.cell();
    }

    private boolean slowStartAllows(Send send, long nowUs) {
        if (send.slowStartAllowance == Double.POSITIVE_INFINITY) {
            slowStarts.remove(send.endpoint);
            return true;
        }
        Deque<SlowStartSend> sent = slowStarts.computeIfAbsent(send.endpoint, id -> new ArrayDeque<>());
        sent.removeIf(s -> nowUs - s.atUs > slowStartWindowUs);
        // What is allowed is an estimate that moves: what was sent under a larger one was right then.
        double allowance =
                sent.stream().mapToDouble(SlowStartSend::allowance).reduce(send.slowStartAllowance, Math::max);
        if (sent.size() + 1 > allowance) {
            return violated(Rule.SLOW_START, send, nowUs, sent.size() + " in the window, at most " + allowance);
        }
        sent.add(new SlowStartSend(nowUs, send.slowStartAllowance));
        return true;
    }

    /**
     * A client's leaving is found right behind an attempt whose first byte was written long after the client was looked for: it may have left
     * before that byte by more than the rules grant.
     */
    public void begunForNobody(
            String request, int attempt, String endpoint, long lookedAtUs, long writtenAtUs, long nowUs) {
        log.violation(new Violation(
                Rule.CLIENT_GONE,
                nowUs,
                request,
                attempt,
                endpoint,
                "looked for the client at " + lookedAtUs + ", wrote at " + writtenAtUs + ", its end found now"));
    }

    /** A client's connection is closed from this side under a request that was read and has no answer. */
    public void closedUnanswered(String request, String why, long nowUs) {
        log.violation(new Violation(Rule.UNANSWERED_CLOSE, nowUs, request, -1, "", why));
    }

    /**
     * Returns whether the process may begin to listen.
     *
     * @param stateKnown whether what operators have asked before is known and in force
     * @param ending whether the process ends
     */
    public boolean mayListen(boolean stateKnown, boolean ending, long nowUs) {
        if (stateKnown && !ending) {
            return true;
        }
        log.violation(new Violation(
                Rule.START, nowUs, "", -1, "", stateKnown ? "the process ends" : "the operators' state is not known"));
        return false;
    }

    private boolean violated(Rule rule, Send send, long nowUs, String detail) {
        log.violation(new Violation(rule, nowUs, send.request, send.attempt, send.endpoint, detail));
        return false;
    }
}
