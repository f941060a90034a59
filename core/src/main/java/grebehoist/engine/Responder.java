package grebehoist.engine;

/**
 * The front's side of one request. Exactly one of the three is called, once, unless the client has gone before. One
 * that throws has told the client nothing yet; it is then asked for {@link #failed}, which must not throw.
 */
public interface Responder {
    /**
     * A backend has answered.
     *
     * @param answer what it answered with; the responder owns it from here on, also if this throws
     */
    void served(Payload answer);

    /**
     * Not now; the client is promised that asking again is harmless.
     *
     * @param retryAfterUs when to come back, in microseconds; 0 where there is no telling
     */
    void refused(long retryAfterUs);

    /** It is over, and nothing is promised about its effect. */
    void failed();

    /**
     * Returns whether its client is still there, by the newest that can be known without waiting: asked right before the first byte of each
     * attempt. Not called after an answer.
     */
    default ClientState clientState() {
        return ClientState.PRESENT;
    }

    /** Returns where its request waited before it was handed in, for the log. */
    default String whereItWaited() {
        return "not known";
    }
}
