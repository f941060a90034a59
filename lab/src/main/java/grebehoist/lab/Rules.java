package grebehoist.lab;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;

/** How rivals choose, each from its published rule. */
final class Rules {
    private Rules() {}

    /** Each backend is as likely as any other. */
    static Rival.Rule random(UniformRandomProvider random) {
        return (ready, now) -> ready.get(random.nextInt(ready.size()));
    }

    /** In turn, from a place of the proxy's own. */
    static Rival.Rule roundRobin(UniformRandomProvider random) {
        int[] next = {random.nextInt(1 << 20)};
        return (ready, now) -> ready.get(next[0]++ % ready.size());
    }

    /** The one with the fewest attempts out by this proxy; of equals a random one (HAProxy leastconn, Envoy with all as choices). */
    static Rival.Rule leastOutstanding(UniformRandomProvider random) {
        return (ready, now) -> {
            Rival.Node best = null;
            int ties = 0;
            for (Rival.Node n : ready) {
                if (best == null || n.out < best.out) {
                    best = n;
                    ties = 1;
                } else if (n.out == best.out && random.nextInt(++ties) == 0) {
                    best = n;
                }
            }
            return best;
        };
    }

    /** The better of two random ones (Mitzenmacher, The power of two choices in randomized load balancing, 2001). */
    static Rival.Rule twoChoices(UniformRandomProvider random) {
        return (ready, now) -> better(ready, random, n -> n.out);
    }

    /** Of two random ones, that with less of peak-sensitive latency times load (Finagle, PeakEwma). */
    static Rival.Rule peakEwma(UniformRandomProvider random) {
        return (ready, now) -> better(ready, random, n -> {
            // One that is loaded and was never heard of is passed over, as in Finagle.
            return n.ewmaUs == 0 && n.out > 0 ? 1e12 + n.out : n.latencyUs(now) * (n.out + 1);
        });
    }

    /** The one where a request would begin first, as the world knows it, and none where that is too late: what no proxy can know. */
    static Rival.Rule oracle(ToDoubleFunction<String> waitUs, double mostUs) {
        return (ready, now) -> {
            Rival.Node best = null;
            double least = mostUs;
            for (Rival.Node n : ready) {
                double wait = waitUs.applyAsDouble(n.id);
                if (wait < least) {
                    best = n;
                    least = wait;
                }
            }
            return best;
        };
    }

    private static Rival.Node better(
            List<Rival.Node> ready, UniformRandomProvider random, ToDoubleFunction<Rival.Node> cost) {
        Rival.Node a = ready.get(random.nextInt(ready.size()));
        Rival.Node b = ready.get(random.nextInt(ready.size()));
        return cost.applyAsDouble(b) < cost.applyAsDouble(a) ? b : a;
    }
}
