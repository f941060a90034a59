package grebehoist.testkit;

import beechfall.Balancer.Scope;
import java.util.HashMap;
import java.util.Map;

/** What each group of backends remembers: one memory for each zone, each cell, and all together. */
public final class KeyMemories {
    private final Map<String, KeyMemory> memories = new HashMap<>();

    /** Returns the name of the group in which a machine remembers the keys of a scope. */
    static String group(Scope scope, StandInBackend.Machine machine) {
        return switch (scope) {
            case ALL -> "all";
            case ZONE -> "zone " + machine.zone();
            case CELL -> "cell " + machine.cell();
        };
    }

    KeyMemory of(String group) {
        return memories.computeIfAbsent(group, g -> new KeyMemory());
    }

    /** Returns how many keys are remembered in all. */
    public int size() {
        return memories.values().stream().mapToInt(KeyMemory::size).sum();
    }
}
