package grebehoist.engine;

/**
 * The engine's time, and its way to be called later. A host brings its own: an event loop, or a test's virtual time.
 */
public interface Timers {
    /** An action that is to come. */
    interface Timer {
        /** Calls it off; without effect once it has run. */
        void cancel();
    }

    /** Returns the time in microseconds; it never goes back. */
    long now();

    /**
     * Has an action run on the engine's thread, never from within this call and never before its time. Where the host
     * was held up for long (a stopped process, a long batch), it first takes in what has come from the network
     * meanwhile: an answer that waits in a socket has come before the time-out that is due as well.
     *
     * @param atUs when, on this clock; a time that has passed means as soon as can be
     */
    Timer at(long atUs, Runnable action);

    /**
     * Returns whether the host was held up for so long that news may wait in its sockets that the decision module
     * should hear before anything new is sent: a drain that this process was told of while it was stopped.
     */
    boolean settling();
}
