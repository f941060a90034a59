package grebehoist.thrift;

import grebehoist.engine.Request;
import grebehoist.net.AnswerMemory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The calls of one connection that have been read and are yet to be begun, in their order. A call is begun when the memory for answers has
 * room for its reply, and when there is room for its class and tenant again after a refusal. Used by the loop's thread alone.
 */
final class CallQueue {
    private record Flow(String requestClass, String tenant) {}

    private final AnswerMemory.Share answers;
    private final ReplySizes replySizes;
    private final Consumer<ThriftExchange> begin;
    private final List<ThriftExchange> waiting = new ArrayList<>();
    /** Of what is under way or was refused lately. */
    private final Map<Flow, CallWindow> windows = new HashMap<>();

    private boolean beginning;

    /**
     * Makes one without calls.
     *
     * @param begin hands a call in; its end is told by {@link #served}, {@link #refused} or {@link #failed}, perhaps before it returns
     */
    CallQueue(AnswerMemory.Share answers, ReplySizes replySizes, Consumer<ThriftExchange> begin) {
        this.answers = answers;
        this.replySizes = replySizes;
        this.begin = begin;
    }

    /** Returns whether no call waits. */
    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** A call has been read; {@link #beginReady} comes once all of a read are here. */
    void add(ThriftExchange call) {
        waiting.add(call);
    }

    /** Nothing more is to be begun. */
    void clear() {
        waiting.clear();
    }

    /**
     * Begins what may begin.
     *
     * @param alone whether no other call is open on the connection: such a one never waits for a refusal's time
     */
    void beginReady(long nowUs, boolean alone) {
        if (beginning) {
            return;
        }
        beginning = true;
        try {
            beginInTurn(nowUs, alone);
        } finally {
            beginning = false;
        }
    }

    private void beginInTurn(long nowUs, boolean alone) {
        // A call that is begun may end at once, and that may end the connection and with it the queue.
        for (int i = 0; i < waiting.size() && hasMemoryFor(waiting.get(i)); ) {
            ThriftExchange next = waiting.get(i);
            if (alone || window(next).mayBegin(nowUs)) {
                waiting.remove(i);
                begin(next);
            } else {
                i++;
            }
        }
    }

    /** Begins calls whose time is up: they are refused by that. */
    void beginLate(long nowUs) {
        takeLate(nowUs).forEach(this::begin);
    }

    /** Returns when one of the calls that wait is to be looked at again, if nothing happens before. */
    long nextLookUs(long nowUs) {
        long next = Long.MAX_VALUE;
        for (ThriftExchange call : waiting) {
            long notBefore = window(call).notBeforeUs();
            long deadline = call.read().request().deadlineUs();
            next = Math.min(next, notBefore > nowUs ? Math.min(notBefore, deadline) : deadline);
        }
        return next;
    }

    private List<ThriftExchange> takeLate(long nowUs) {
        if (waiting.isEmpty()) {
            return List.of();
        }
        List<ThriftExchange> late = waiting.stream()
                .filter(call -> call.read().request().deadlineUs() <= nowUs)
                .toList();
        waiting.removeAll(late);
        return late;
    }

    private boolean hasMemoryFor(ThriftExchange call) {
        return answers.mayReserve(replySizes.expected(call.message()));
    }

    private static Flow flow(ThriftExchange call) {
        Request request = call.read().request();
        return new Flow(request.requestClass(), request.tenant());
    }

    private CallWindow window(ThriftExchange call) {
        return windows.computeIfAbsent(flow(call), flow -> new CallWindow());
    }

    private void begin(ThriftExchange call) {
        long expected = replySizes.expected(call.message());
        CallWindow window = window(call);
        answers.reserve(expected);
        window.begun();
        call.begun(window, expected);
        begin.accept(call);
    }

    /** A call that was begun has a reply of its backend's of so many bytes, or is oneway and has been written. */
    void served(ThriftExchange call, long bytes) {
        if (!call.oneway()) {
            replySizes.replied(call.message(), bytes);
        }
        call.window().served();
        over(call);
    }

    /** A call that was begun has been refused. */
    void refused(ThriftExchange call, long retryAfterUs, long nowUs) {
        call.window().refused(retryAfterUs, nowUs);
        over(call);
    }

    /** A call that was begun has failed. */
    void failed(ThriftExchange call) {
        call.window().failed();
        over(call);
    }

    private void over(ThriftExchange call) {
        answers.release(call.reserved());
        if (call.window().atRest()) {
            windows.remove(flow(call));
        }
    }
}
