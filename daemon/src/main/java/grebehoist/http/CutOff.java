package grebehoist.http;

import grebehoist.engine.Counter;

/**
 * Why a request that was taken has no whole answer. The set is closed: whatever ends a connection on which a request is open
 * names one of these, so that the operators' log can say it (docs/operations.md).
 */
enum CutOff {
    CLIENT_LEFT(Counter.CLOSED_CLIENT_LEFT, "the client has closed its connection"),
    CLIENT_RESET(Counter.CLOSED_CLIENT_RESET, "the client's connection was reset"),
    CLIENT_TAKES_NOTHING(Counter.CLOSED_CLIENT_TAKES_NOTHING, "the client has taken too little for too long"),
    REQUEST_SLOW(Counter.CLOSED_REQUEST_SLOW, "the request has come too slowly"),
    REST_DROPPED(Counter.CLOSED_REST_DROPPED, "it was refused, and its client went on sending the rest for too long"),
    CLIENT_FAILED(Counter.CLOSED_CLIENT_FAILED, "the client's connection failed in this program"),
    BACKEND_ENDED(Counter.CLOSED_BACKEND_ENDED, "the backend has ended its connection"),
    BACKEND_SILENT(Counter.CLOSED_BACKEND_SILENT, "the backend has given nothing for too long"),
    BACKEND_UNREADABLE(Counter.CLOSED_BACKEND_UNREADABLE, "what the backend gives can't be read"),
    BACKEND_FAILED(Counter.CLOSED_BACKEND_FAILED, "the backend's connection failed in this program");

    private final Counter counter;
    private final String text;

    CutOff(Counter counter, String text) {
        this.counter = counter;
        this.text = text;
    }

    /** Returns what it is counted as. */
    Counter counter() {
        return counter;
    }

    @Override
    public String toString() {
        return text;
    }
}
