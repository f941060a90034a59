package grebehoist.benchmarks.slopes;

import java.util.List;
import java.util.Map;

/**
 * Something that is measured at several sizes.
 *
 * @param name what it is called on the command line
 * @param of what there are so many of
 * @param what one sentence
 * @param sizes those that are measured unless others are named
 * @param target the size that the fleet ahead has
 * @param rehearsed whether the least size is measured once before and forgotten: what is loaded then counts at no size
 * @param measure gives the figures at one size
 */
record Slope(String name, String of, String what, List<Integer> sizes, int target, boolean rehearsed, Measure measure) {
    /** Measures at one size. */
    interface Measure {
        /** Returns figures by their names, which end with their units; one that could not be had is left out. */
        Map<String, Double> at(int size) throws Exception;
    }
}
