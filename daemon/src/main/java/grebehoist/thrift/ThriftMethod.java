package grebehoist.thrift;

/**
 * What a method asks for, and where the figures stand in its arguments.
 *
 * @param name as on the wire; with a final {@code *} all that begin so
 * @param requestClass one of the pool's classes
 * @param tenant whose the request is; null where the pool has no tenants
 * @param key the idempotency key of a keyed class, else null
 * @param about what it is about, or null
 * @param timeoutMs how long the client waits, or null for the class's deadline
 * @param requestId or null for one that is made here
 * @param retried whether the client has asked this before ({@code true}, or a number other than 0), or null
 * @param refusal how a refusal is told, or null for the documented {@code TApplicationException}
 */
public record ThriftMethod(
        String name,
        String requestClass,
        Figure tenant,
        Figure key,
        Figure about,
        Figure timeoutMs,
        Figure requestId,
        Figure retried,
        Refusal refusal) {
    /** Where a figure comes from. */
    public sealed interface Figure permits At, Fixed {}

    /** From the arguments, at a path of field ids. */
    public record At(String path) implements Figure {}

    /** The same for all calls. */
    public record Fixed(String value) implements Figure {}

    /**
     * An exception that the service declares.
     *
     * @param field its id in the result struct
     * @param message the id of its text, 0 for none
     * @param retryAfterMs the id of its i32 with the wait in milliseconds, 0 for none
     */
    public record Refusal(int field, int message, int retryAfterMs) {}

    /** Returns whether a text is a path of field ids. */
    public static boolean isPath(String text) {
        return FieldPaths.isPath(text);
    }

    boolean matches(String called) {
        return name.endsWith("*") ? called.startsWith(name.substring(0, name.length() - 1)) : called.equals(name);
    }
}
