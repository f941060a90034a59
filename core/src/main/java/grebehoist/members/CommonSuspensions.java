package grebehoist.members;

import grebehoist.engine.MemberSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Suspensions that hold in every pool of a process: what is told here is merged into each pool's, beside what operators ask of this process
 * alone. Does no I/O; used by the engine's thread alone, but for {@link #merge}.
 */
public final class CommonSuspensions {
    private final List<Suspensions> pools = new ArrayList<>();
    private Set<String> ids = Set.of();

    /** Returns what stands between a source and a pool, yet to be joined. */
    public Suspensions merge(MemberSource.Sink next) {
        return new Suspensions(next);
    }

    /** From now on it holds in this pool too. */
    public void join(Suspensions pool, long nowUs) {
        pools.add(pool);
        pool.setEverywhere(ids, nowUs);
    }

    /** Sets what is suspended from now on, in all pools. */
    public void set(Set<String> all, long nowUs) {
        ids = Set.copyOf(all);
        pools.forEach(p -> p.setEverywhere(ids, nowUs));
    }

    /** Returns what is suspended. */
    public Set<String> ids() {
        return ids;
    }
}
