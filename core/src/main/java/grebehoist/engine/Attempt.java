package grebehoist.engine;

import beechfall.Balancer.Outcome;

/** One try at a backend, made by a {@link Transport}. It has exactly one end. Used by the engine's thread alone. */
public interface Attempt {
    /** Hears the one end of an attempt. */
    interface End {
        /**
         * The attempt is over, and nothing of it will be sent any more.
         *
         * @param outcome how it ended; one that {@linkplain Outcome#neverRan() never ran} is told only where that is
         *         certain
         * @param answer the backend's answer, perhaps one that goes on coming ({@link StreamedPayload}), for {@link Outcome#OK}, owned by whoever hears this, and {@link Payload#NONE}
         *         where a request is answered by being written; else null
         */
        void ended(Outcome outcome, Payload answer);

        /**
         * Asked right before the first byte is written: a connection may have come up late.
         *
         * @param deadlineUs the deadline that the backend is to be told
         * @return whether it may be; if not, the attempt is to end as {@link Outcome#NOT_SENT}
         */
        default boolean mayBegin(long deadlineUs) {
            return true;
        }

        /**
         * Returns whether the request has an effect that may happen once at most, or that a repeat has to be kept from: what comes back is to be
         * its own answer beyond doubt.
         */
        default boolean hasEffect() {
            return false;
        }

        /** The request's last byte has been handed to the network. Told once, before the end. */
        default void written() {}
    }

    /** Begins to send. Its end may be told before this returns. */
    void start();

    /** Returns whether the backend may have begun with it: its last byte has been handed to the network. */
    boolean mayHaveRun();

    /**
     * Returns whether its answer has begun to come and has moved since this was last asked: then it is nearer than any that another
     * attempt may bring.
     */
    default boolean answering() {
        return false;
    }

    /** Returns whether more of the request is there and its backend has taken nothing for too long. */
    default boolean stuck() {
        return false;
    }

    /**
     * Ends it from this side with an outcome, before anything else is sent anywhere. Without effect once it has ended.
     * A {@linkplain Outcome#TIMEOUT time-out} may end it with the answer instead, where that has begun and goes on coming.
     */
    void abort(Outcome outcome);
}
