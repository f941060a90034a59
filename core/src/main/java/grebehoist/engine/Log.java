package grebehoist.engine;

/** Lines for the people who run the proxy. Used by the engine's thread alone. */
public interface Log {
    /** Writes a line. */
    void line(String text);

    /** Writes a line on something that went wrong inside the program. */
    void failure(String what, Throwable cause);

    /** Counts something that the metrics show. May be called from any thread. */
    default void count(Counter counter) { }
}
