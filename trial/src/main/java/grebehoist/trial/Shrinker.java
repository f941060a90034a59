package grebehoist.trial;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Takes faults away from a script that fails, as long as it goes on failing. */
final class Shrinker {
    private Shrinker() {}

    /**
     * Returns a script with as few faults as can be found one by one.
     *
     * @param fails plays a script, and tells whether it fails
     * @param mostPlays after so many plays what was found so far is returned
     */
    static Script shrink(Script script, Predicate<Script> fails, int mostPlays) {
        Script smallest = script;
        int plays = 0;
        for (int i = 0; i < smallest.faults().size() && plays < mostPlays; ) {
            List<Fault> fewer = new ArrayList<>(smallest.faults());
            fewer.remove(i);
            Script candidate = smallest.with(fewer);
            plays++;
            if (fails.test(candidate)) {
                smallest = candidate;
            } else {
                i++;
            }
        }
        return smallest;
    }
}
