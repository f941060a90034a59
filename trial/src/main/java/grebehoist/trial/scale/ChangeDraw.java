package grebehoist.trial.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** Draws changes: scopes by their size, the fleet's seldom; suspensions, resumes, and items of other kinds that are set and taken away. */
final class ChangeDraw {
    /** Of the changes, those of the fleet's scope: each goes to all proxies. */
    private static final double FLEET = 0.02;

    private static final double SUSPEND_OR_RESUME = 0.4;
    private static final double REMOVE = 0.1;
    private static final int FIRST_KIND = 2;
    private static final int KINDS = 4;

    private final List<String> scopes;
    private final SplittableRandom random;
    private final int[] sizes;
    private final long[] upTo;
    private long drawn;

    ChangeDraw(Plan plan, long seed) {
        this.scopes = plan.scopes();
        this.random = new SplittableRandom(seed);
        this.sizes = plan.sizes();
        this.upTo = new long[sizes.length];
        for (int s = 1; s < sizes.length; s++) {
            upTo[s] = upTo[s - 1] + sizes[s];
        }
    }

    /** Returns how long until the next change, in microseconds. */
    long gapUs(double changesAday) {
        return (long) (-Math.log(1 - random.nextDouble()) * 86_400e6 / changesAday);
    }

    /** Returns the item that a scope begins with at a place. */
    ObjectNode item(int scope, int place) {
        return set(scope, kind(place), "k" + place, "v" + scope + "." + place);
    }

    private static int kind(int place) {
        return FIRST_KIND + place % KINDS;
    }

    /** Draws a scope. */
    int scope() {
        if (upTo.length == 1 || random.nextDouble() < FLEET) {
            return 0;
        }
        int at = Arrays.binarySearch(upTo, 1, upTo.length, random.nextLong(upTo[upTo.length - 1]) + 1);
        int scope = at >= 0 ? at : -at - 1;
        while (scope > 1 && upTo[scope - 1] == upTo[scope]) {
            scope--;
        }
        return scope;
    }

    /** Draws a change of a scope that holds this. */
    ObjectNode change(int scope, Contents held) {
        drawn++;
        int place = random.nextInt(Math.max(1, sizes[scope]) + 2);
        if (random.nextDouble() < SUSPEND_OR_RESUME) {
            String backend = "b" + random.nextInt(20);
            return line(scope, held.has(Contents.SUSPENSION, backend) ? "resume" : "suspend")
                    .put("key", backend);
        }
        if (random.nextDouble() < REMOVE && held.has(kind(place), "k" + place)) {
            return line(scope, "remove").put("kind", kind(place)).put("key", "k" + place);
        }
        return set(scope, kind(place), "k" + place, "d" + drawn);
    }

    /** Returns a change that sets a key of its own: after it there is no doubt about what was before. */
    ObjectNode settling(int scope) {
        return set(scope, FIRST_KIND, "settled", "d" + ++drawn);
    }

    private ObjectNode set(int scope, int kind, String key, String value) {
        return line(scope, "set").put("kind", kind).put("key", key).put("value", value);
    }

    private ObjectNode line(int scope, String op) {
        return Wire.JSON.createObjectNode().put("op", op).put("scope", scopes.get(scope));
    }
}
