package grebehoist.fleet.distribution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Which control machines hold a scope, by rendezvous hashing (highest random weight): the same at everybody who has the same list, with nothing
 * agreed. The scopes of a cell, {@code cell/service}, are held by the same machines. Immutable.
 *
 * @param machines by their numbers, 0 to 63
 */
public record Layout(List<Machine> machines) {
    /** A control machine's place. */
    public record Machine(String zone) {}

    /** So many hold a scope, where there are so many. */
    public static final int COPIES = 3;
    /** The most machines. */
    public static final int MOST = 64;

    public Layout {
        if (machines.isEmpty() || machines.size() > MOST) {
            throw new IllegalArgumentException(machines.size() + " control machines: 1 to " + MOST + " are wanted");
        }
        machines = List.copyOf(machines);
    }

    /** Returns what a scope is placed by: its name up to the last slash, the whole name without one. */
    public static String placement(String scope) {
        int slash = scope.lastIndexOf('/');
        return slash < 0 ? scope : scope.substring(0, slash);
    }

    /** Returns the machines that hold a scope, best first, in as many zones as there are. */
    public List<Integer> holders(String scope) {
        long place = hash(placement(scope));
        List<Integer> ranked =
                ranked(IntStream.range(0, machines.size()).boxed().toList(), place);
        var chosen = new ArrayList<Integer>();
        Set<String> zones = new HashSet<>();
        for (int machine : ranked) {
            if (chosen.size() < COPIES && zones.add(machines.get(machine).zone())) {
                chosen.add(machine);
            }
        }
        for (int machine : ranked) {
            if (chosen.size() < COPIES && !chosen.contains(machine)) {
                chosen.add(machine);
            }
        }
        return List.copyOf(chosen);
    }

    /** Returns the machines that hold a scope in the order in which a proxy asks them: each proxy has its own, so that the load is shared. */
    public List<Integer> sources(String scope, int proxy) {
        return List.copyOf(ranked(holders(scope), mix(hash(placement(scope)) + proxy)));
    }

    private static List<Integer> ranked(List<Integer> of, long place) {
        return of.stream()
                .sorted(Comparator.comparingLong((Integer m) -> mix(place ^ mix(m + 1L)))
                        .reversed()
                        .thenComparing(m -> m))
                .toList();
    }

    /** FNV-1a over the bytes, and a finisher: it must come out the same in every program that ever joins a fleet. */
    static long hash(String name) {
        long hash = 0xCBF29CE484222325L;
        for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xFF) * 0x100000001B3L;
        }
        return mix(hash);
    }

    /** The finisher of SplitMix64. */
    static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        long b = (a ^ a >>> 27) * 0x94D049BB133111EBL;
        return b ^ b >>> 31;
    }
}
