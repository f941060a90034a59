package grebehoist.fleet.lease;

import java.util.function.IntPredicate;

/**
 * Which members are to do a task: rendezvous hashing (Thaler, Ravishankar 1998) over those that are alive, mixed by the finalizer of SplitMix64
 * (Steele, Lea, Flood 2014). Who comes or goes moves its own part of the tasks alone. Safety does not rest on it.
 */
final class Places {
    private Places() {}

    /** Returns how many that may act come before a member, for a task. */
    static int place(long task, int member, int members, IntPredicate alive) {
        long own = weight(task, member);
        int before = 0;
        for (int m = 0; m < members; m++) {
            before += m != member && alive.test(m) && Long.compareUnsigned(weight(task, m), own) > 0 ? 1 : 0;
        }
        return before;
    }

    /** Returns the first of those that may act but one, or -1 where there is none. */
    static int first(long task, int but, int members, IntPredicate alive) {
        int first = -1;
        for (int m = 0; m < members; m++) {
            if (m != but
                    && alive.test(m)
                    && (first < 0 || Long.compareUnsigned(weight(task, m), weight(task, first)) > 0)) {
                first = m;
            }
        }
        return first;
    }

    private static long weight(long task, int member) {
        long z = task * 0x9E3779B97F4A7C15L + (member + 1) * 0xD1B54A32D192ED03L;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
