package grebehoist.benchmarks.slopes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * A trial of a choice, of which nothing is built: services homed on cells by rendezvous hashing with bounded loads (Thaler and Ravishankar
 * 1998; Mirrokni, Thorup and Zadimoghaddam 2018). Services get of the load what Zipf's law with exponent 1 says; one that is more than a
 * quarter of a cell's mean load stands on several cells.
 */
final class PlacementSlopes {
    private static final int CELLS = 82;
    /** A cell is given at most this multiple of the mean. */
    private static final double BOUND = 1.25;

    private static final double MOST_OF_A_CELL = 0.25;

    private PlacementSlopes() {}

    /** A service, or one of the parts of a large one. */
    private record Part(int service, int number, double load) {}

    static Map<String, Double> placement(int services) {
        List<Part> parts = parts(services);
        var figures = new LinkedHashMap<String, Double>();
        int[] plain = place(parts, Double.MAX_VALUE, -1);
        int[] bounded = place(parts, BOUND, -1);
        figures.put("parts", (double) parts.size());
        figures.put("plain_worst_of_mean", worst(parts, plain));
        figures.put("bounded_worst_of_mean", worst(parts, bounded));
        figures.put("most_lists_of_a_cell", (double) IntStream.range(0, CELLS)
                .mapToLong(c -> IntStream.range(0, parts.size())
                        .filter(i -> bounded[i] == c)
                        .map(i -> parts.get(i).service())
                        .distinct()
                        .count())
                .max()
                .orElse(0));
        // One cell is lost: what moves beside what stood there.
        int[] after = place(parts, BOUND, 0);
        figures.put(
                "moved_for_nothing",
                IntStream.range(0, parts.size())
                        .filter(i -> bounded[i] != 0 && bounded[i] != after[i])
                        .mapToDouble(i -> parts.get(i).load())
                        .sum());
        return figures;
    }

    private static List<Part> parts(int services) {
        double all =
                IntStream.rangeClosed(1, services).mapToDouble(s -> 1.0 / s).sum();
        var parts = new ArrayList<Part>();
        for (int s = 1; s <= services; s++) {
            double load = 1 / (s * all);
            int n = Math.min(CELLS, (int) Math.ceil(load / (MOST_OF_A_CELL / CELLS)));
            for (int i = 0; i < n; i++) {
                parts.add(new Part(s, i, load / n));
            }
        }
        // The order in which they are placed is that of their names alone, so that all find the same.
        parts.sort(Comparator.comparingLong(p -> mix(p.service() * 1_000L + p.number())));
        return parts;
    }

    /** Returns the cell of each part: the first by its hash that has room. */
    private static int[] place(List<Part> parts, double bound, int lost) {
        double most = bound == Double.MAX_VALUE ? bound : bound / CELLS * (lost < 0 ? 1 : CELLS / (CELLS - 1.0));
        var load = new double[CELLS];
        var cells = new int[parts.size()];
        for (int i = 0; i < cells.length; i++) {
            Part p = parts.get(i);
            cells[i] = IntStream.range(0, CELLS)
                    .filter(c -> c != lost && load[c] + p.load() <= most)
                    .boxed()
                    .max(Comparator.comparingLong(c -> mix(p.service() * 1_000_003L + p.number() * 131L + c * 7_919L)))
                    .orElseThrow();
            load[cells[i]] += p.load();
        }
        return cells;
    }

    private static double worst(List<Part> parts, int[] cells) {
        var load = new double[CELLS];
        for (int i = 0; i < cells.length; i++) {
            load[cells[i]] += parts.get(i).load();
        }
        return Arrays.stream(load).max().orElse(0) * CELLS;
    }

    /** The finisher of SplitMix64. */
    private static long mix(long value) {
        long z = value * 0x9E3779B97F4A7C15L;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
