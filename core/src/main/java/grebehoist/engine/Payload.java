package grebehoist.engine;

/**
 * A message of some protocol, which the engine passes on and never looks into. It is counted by its owners: one who
 * wants to keep it retains it, and each owner releases it once. Used by the engine's thread alone.
 */
public interface Payload {
    /** A payload that holds nothing. */
    Payload NONE = new Payload() {
        @Override
        public void retain() {}

        @Override
        public void release() {}
    };

    /** Returns about how many bytes it takes on a connection to a backend; 0 for an answer, which the engine does not ask. */
    default long bytes() {
        return 0;
    }

    /** Adds an owner. */
    void retain();

    /** Gives up one owner's share; what the last one gives up is freed. */
    void release();
}
