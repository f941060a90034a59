package grebehoist.trial.distribution;

import grebehoist.fleet.distribution.Holder;
import grebehoist.fleet.distribution.Item;
import grebehoist.fleet.distribution.Layout;
import java.util.HashSet;
import java.util.Set;
import java.util.function.IntFunction;

/** What the holders of scopes remember, all looked at at once. */
final class HolderMemory {
    private final Layout layout;
    private final IntFunction<Holder> holders;

    /** Makes one; a machine that is down has no holder: null. */
    HolderMemory(Layout layout, IntFunction<Holder> holders) {
        this.layout = layout;
        this.holders = holders;
    }

    private boolean remembers(int machine, String scope) {
        Holder holder = holders.apply(machine);
        return holder != null && holder.counts(scope);
    }

    /** Returns whether two holders have no memory of a scope: they are down or have not filled themselves yet. */
    boolean lost(String scope) {
        return layout.holders(scope).stream().filter(m -> !remembers(m, scope)).count() >= 2;
    }

    /** Returns whether two know a change; or one does, and another one has lost its memory since. */
    boolean known(Item change) {
        return layout.holders(change.scope()).stream()
                        .filter(m -> !remembers(m, change.scope())
                                || holders.apply(m).knows(change))
                        .count()
                >= 2;
    }

    /** Returns the machines that hold a change. */
    Set<Integer> holding(Item change) {
        Set<Integer> all = new HashSet<>();
        for (int m : layout.holders(change.scope())) {
            Holder holder = holders.apply(m);
            if (holder != null && holder.holds(change)) {
                all.add(m);
            }
        }
        return all;
    }
}
