package grebehoist.engine;

import java.util.function.Supplier;

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

    /**
     * Counts why a request was closed, retried or refused; a bounded number of these is also written.
     *
     * @param request its id, or empty
     * @param detail what is written behind it, asked for only where it is
     */
    default void reason(Counter reason, String request, Supplier<String> detail) {
        count(reason);
    }

    /** Records how long a request, or its connection, waited at a stage. */
    default void waited(Wait stage, long us) {}

    /** Counts and writes a rule that was about to be broken. */
    default void violation(RuleGuard.Violation violation) {
        line("invariant violated: " + violation);
    }
}
