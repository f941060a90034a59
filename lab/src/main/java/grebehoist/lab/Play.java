package grebehoist.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * One policy's play of an experiment with one seed, and what has come of it.
 *
 * @param figures null where it could not be played
 * @param problem why not, or null
 * @param events how many events were played
 */
record Play(String policy, long seed, Figures figures, String problem, long events) {

    /** Plays each policy with each seed, on so many threads; the result and its order do not depend on how many. */
    static List<Play> all(Experiment e, List<String> policies, int repetitions, int threads) {
        var pool = Executors.newFixedThreadPool(threads);
        try {
            var coming = new ArrayList<Future<Play>>();
            for (String policy : policies) {
                for (int i = 0; i < repetitions; i++) {
                    long seed = e.seed() + i;
                    coming.add(pool.submit(() -> one(e, policy, seed)));
                }
            }
            var plays = new ArrayList<Play>();
            for (Future<Play> p : coming) {
                plays.add(p.get());
            }
            return plays;
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new LabException("stopped");
        } catch (ExecutionException bug) {
            throw new IllegalStateException(bug.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    /** A policy that throws has a problem, and the others go on. */
    static Play one(Experiment e, String policy, long seed) {
        var world = new World(e, policy, seed);
        try {
            return new Play(policy, seed, world.play(), null, world.events());
        } catch (RuntimeException thrown) {
            String what = thrown instanceof LabException ? thrown.getMessage() : thrown.toString();
            return new Play(policy, seed, null, what, world.events());
        }
    }
}
