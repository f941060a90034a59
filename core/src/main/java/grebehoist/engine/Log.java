package grebehoist.engine;

/**
 * What the people who run the proxy are told, and what is counted for them. Lines and events are written by the engine's thread alone, or by
 * the main thread before that; whatever is counted may be counted on any thread.
 */
public interface Log {
    /** Writes a line. */
    void line(String text);

    /** Writes a line on something that went wrong inside the program. */
    void failure(String what, Throwable cause);

    /** Writes a state transition. */
    default void event(LogEvent event) {}

    /** Counts something that the metrics show. */
    default void count(Counter counter) {}

    /** Counts and writes a rule that was about to be broken. */
    default void violation(RuleGuard.Violation violation) {
        line("invariant violated: " + violation);
    }
}
