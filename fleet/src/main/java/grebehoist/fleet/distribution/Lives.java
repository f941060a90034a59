package grebehoist.fleet.distribution;

import java.util.Map;

/**
 * Which lives of a scope's holders a holder has heard of last, its own among them. A holder that has lost its memory comes back as another life
 * after it has asked the other two: answers of its former life are known by this to be worth nothing.
 */
public record Lives(Map<Integer, Long> of) {
    public Lives {
        of = Map.copyOf(of);
    }
}
