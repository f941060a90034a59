package grebehoist.engine;

import java.util.Objects;

/**
 * A client's request, as a front hands it in.
 *
 * @param id what tells it from all others that are open in this pool
 * @param idOrigin who made the id
 * @param requestClass one of the classes in the pool's settings
 * @param tenant whose it is, or null where requests have no tenant
 * @param key what it is about, or null
 * @param repeat whether the client says that it has asked before
 * @param deadlineUs the last moment, on the engine's clock, at which an answer can leave and still be there before the
 *         client gives up
 * @param comingUs how much longer the payload may take to come whole, in microseconds; 0 where it is there. Then the deadline is
 *         as if it were there now, until {@link Intake#whole} tells
 * @param payload what goes to a backend, the same for each attempt. The front stays its owner until the request is
 *         answered or its client gone: by then no attempt that is still unsent will be sent
 */
public record Request(
        String id,
        IdOrigin idOrigin,
        String requestClass,
        String tenant,
        String key,
        boolean repeat,
        long deadlineUs,
        long comingUs,
        Payload payload) {
    /** Who made the id of a request. */
    public enum IdOrigin {
        /** The client: the same id may come again, on any connection and at any process of the proxy. */
        CLIENT,
        /** The front, for a request that brought none: it never comes again, and another process may make the same one. */
        PROXY
    }

    public Request {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(idOrigin, "idOrigin");
        Objects.requireNonNull(requestClass, "requestClass");
        Objects.requireNonNull(payload, "payload");
    }

    /** A request with an id of its client's. */
    public Request(
            String id,
            String requestClass,
            String tenant,
            String key,
            boolean repeat,
            long deadlineUs,
            long comingUs,
            Payload payload) {
        this(id, IdOrigin.CLIENT, requestClass, tenant, key, repeat, deadlineUs, comingUs, payload);
    }

    /** A request with an id of its client's that is there as a whole. */
    public Request(
            String id,
            String requestClass,
            String tenant,
            String key,
            boolean repeat,
            long deadlineUs,
            Payload payload) {
        this(id, requestClass, tenant, key, repeat, deadlineUs, 0, payload);
    }
}
