package grebehoist.engine;

import beechfall.Balancer;
import java.util.Objects;

/**
 * A line of the list of backends.
 *
 * @param backend what the decision module is told
 * @param address where this proxy finds it, in the transport's own words
 */
public record Listed(Balancer.Backend backend, String address) {
    public Listed {
        Objects.requireNonNull(backend, "backend");
        Objects.requireNonNull(address, "address");
    }
}
