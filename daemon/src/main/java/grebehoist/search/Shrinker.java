package grebehoist.search;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Makes a script that fails smaller, as long as it fails in the same way: fewer steps, then a shorter run, fewer
 * proxies, less load (Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input", 2002, in its plainest
 * form: one at a time until nothing more can go).
 */
final class Shrinker {
    private final Predicate<Script> failsAlike;
    private int left;

    /**
     * Makes a shrinker.
     *
     * @param failsAlike plays a script and says whether it shows the same
     * @param mostPlays how often it may play
     */
    Shrinker(Predicate<Script> failsAlike, int mostPlays) {
        this.failsAlike = failsAlike;
        this.left = mostPlays;
    }

    Script shrink(Script script) {
        Script smallest = script;
        boolean smaller = true;
        while (smaller && left > 0) {
            Script before = smallest;
            for (int i = smallest.steps().size() - 1; i >= 0; i--) {
                List<Script.Step> fewer = new ArrayList<>(smallest.steps());
                fewer.remove(i);
                smallest = tried(smallest, smallest.with(fewer));
            }
            smallest = tried(smallest, smallest.withProxies(Math.max(1, smallest.proxies() - 1)));
            smallest = tried(smallest, smallest.lasting(smallest.lengthMs() * 2 / 3));
            smallest = tried(smallest, smallest.under(smallest.load() * 0.7));
            smaller = !smallest.equals(before);
        }
        return smallest;
    }

    private Script tried(Script now, Script candidate) {
        return !candidate.equals(now) && left-- > 0 && failsAlike.test(candidate) ? candidate : now;
    }
}
