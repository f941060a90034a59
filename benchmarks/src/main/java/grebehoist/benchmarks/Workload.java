package grebehoist.benchmarks;

import beechfall.Balancer;
import beechfall.Balancer.Effect;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Scope;
import beechfall.Balancer.State;
import java.util.ArrayList;
import java.util.List;

/** Settings and lists of the size that is wanted. */
public final class Workload {
    static final long MS = 1_000;
    /** Three classes: one that is safe to repeat, two that carry keys. */
    public static final List<RequestClass> CLASSES = List.of(
            new RequestClass("read", 600 * MS, 2_000 * MS, 1, 0, Effect.SAFE, Scope.ALL, 0),
            new RequestClass("invoice", 600 * MS, 2_500 * MS, 2, 0, Effect.KEYED, Scope.ZONE, 12_000 * MS),
            new RequestClass("pay", 400 * MS, 2_000 * MS, 10, 0, Effect.KEYED, Scope.ZONE, 1_200 * MS));

    private Workload() {}

    /** Returns settings of two tenants, where so many share the backends. */
    public static Balancer.Settings settings(int balancers) {
        return new Balancer.Settings(
                balancers,
                0,
                "a",
                4 * MS,
                CLASSES,
                List.of(new Balancer.Tenant("large", 1e6), new Balancer.Tenant("small", 1e6)),
                0.05,
                false,
                new Balancer.Limits(true, false, false, true, 4, 2_000 * MS),
                new Balancer.Rules(0.4, 8_000 * MS, 4, 1_000 * MS, 10_000 * MS, false),
                7);
    }

    /** Returns so many backends over three zones and two kinds, all warm. */
    public static List<Balancer.Backend> backends(int number) {
        var list = new ArrayList<Balancer.Backend>();
        for (int i = 0; i < number; i++) {
            list.add(new Balancer.Backend(
                    "s-" + Integer.toHexString(i * 0x9E3779B1),
                    State.READY,
                    i % 3 == 0 ? "old" : "std",
                    "abc".substring(i % 3, i % 3 + 1),
                    i % 7,
                    0,
                    1));
        }
        return list;
    }
}
