package beechfall;

import beechfall.Balancer.Rules;

/**
 * Slow start: how many requests a backend that has just started may be sent, by all proxies together and by this one as its part. Its capacity
 * grows from {@link Rules#coldFrom} to the whole, and it falls over when all proxies send it more than a multiple of that in a window.
 *
 * <p>Rates are in requests a microsecond, times in microseconds. Without I/O, clock or thread.
 */
final class SlowStart {
    /** What others send unseen to a cold backend is to fit into this part of its present capacity, which is a guess. */
    private static final double UNSEEN_PART = 0.8;
    /** The variance of a request's work in units of its mean squared, and how many deviations the budget keeps clear. */
    private static final double WORK_VARIANCE = 4;

    private static final double DEVIATIONS = 3;
    /** A part of the budget comes in the course of each window, and a part may come at once. */
    private static final double STEADY_PART = 0.75;

    private static final double BURST_PART = 1 / 4.0;

    private final Rules rules;

    /** Makes one that goes by these rules. */
    SlowStart(Rules rules) {
        this.rules = rules;
    }

    /**
     * Returns what this proxy may still send a cold backend, in requests. A quarter of this proxy's part of the budget, or one, may come at
     * once and the rest in the course of each window: of all proxies no window holds more than one and a half budgets and two.
     *
     * @param warmth the part of its capacity that it is sure to have, under 1
     * @param bornePerUs what it bears from each proxy once it is warm: a guess
     * @param acting the part of this proxy's share that this process acts for
     * @param balancers how many proxies send to it
     * @param rank this proxy's place among them
     */
    double budget(Server s, double warmth, double bornePerUs, double acting, int balancers, int rank, long now) {
        double budgetPerUs =
                acting * warmth * bornePerUs * multiple(warmth * bornePerUs * balancers * rules.fallUs(), balancers);
        double steadyPerUs = STEADY_PART * budgetPerUs;
        double tokens = s.coldTokens().fill(steadyPerUs, Math.max(1, budgetPerUs * rules.fallUs() * BURST_PART), now);
        return hasTurn(s, steadyPerUs * rules.fallUs(), balancers, rank, now) ? tokens : 0;
    }

    /** Returns how many requests all proxies together may send a cold backend in a window before it counts as overloaded. */
    double allowance(double warmth, double bornePerUs, int balancers) {
        double n = rules.fallMultiple() * warmth * bornePerUs * balancers * rules.fallUs();
        return n < Balancer.FEW ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
    }

    /** Where each may send less than one request in a window they take turns: what all have saved up would come at once. */
    private boolean hasTurn(Server s, double inWindow, int balancers, int rank, long now) {
        double together = inWindow * balancers;
        long passed = (long) (together * (now - s.listed().startedAtUs()) / rules.fallUs());
        return Math.floorMod(rank - Policy.mix(s.id().hashCode()) - passed, (long) balancers) < Math.ceil(together);
    }

    /**
     * How many times its capacity all proxies together may send a cold backend that bears so many requests in a window. So many, m, that
     * m + z sqrt(m v) stays at what the rule allows, v = variance of the work + variance of how many the others send, (n - 1) / n.
     * And of those it sees 1 / n alone: the rest comes whether or not the backend keeps up, and is to fit in.
     */
    private double multiple(double windowful, int balancers) {
        double unseen = 1 - 1.0 / balancers;
        double clear = DEVIATIONS * Math.sqrt(WORK_VARIANCE + unseen);
        double root = (Math.sqrt(clear * clear + 4 * rules.fallMultiple() * windowful) - clear) / 2;
        return Math.min(root * root / windowful, UNSEEN_PART / unseen);
    }
}
