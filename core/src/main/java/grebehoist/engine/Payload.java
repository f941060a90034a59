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

    /** Adds an owner. */
    void retain();

    /** Gives up one owner's share; what the last one gives up is freed. */
    void release();
}
