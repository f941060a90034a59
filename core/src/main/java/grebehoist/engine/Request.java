package grebehoist.engine;

import java.util.Objects;

/**
 * A client's request, as a front hands it in.
 *
 * @param id what tells it from all others that are open in this pool
 * @param requestClass one of the classes in the pool's settings
 * @param tenant whose it is, or null where requests have no tenant
 * @param key what it is about, or null
 * @param repeat whether the client says that it has asked before
 * @param deadlineUs the last moment, on the engine's clock, at which an answer can leave and still be there before the
 *         client gives up
 * @param payload what goes to a backend, the same for each attempt. The front stays its owner until the request is
 *         answered or its client gone: by then no attempt that is still unsent will be sent
 */
public record Request(String id, String requestClass, String tenant, String key, boolean repeat, long deadlineUs,
        Payload payload) {
    public Request {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(requestClass, "requestClass");
        Objects.requireNonNull(payload, "payload");
    }
}
