package grebehoist.benchmarks.slopes;

import beechfall.Balancer;
import beechfall.Balancer.Action;
import beechfall.Balancer.ListKind;
import beechfall.Policy;
import grebehoist.benchmarks.Workload;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * What a small quota means where sixty proxies share the load: a tenant that sends half of its part of its quota through one of them, beside
 * one that floods it. Its requests are worth a twentieth if the module counts them as over its share, and then the flood goes first.
 */
final class QuotaSlope {
    private static final int PROXIES = 60;
    private static final int BACKENDS = 37;
    private static final int REQUESTS = 100;
    private static final long FLOOD_EVERY_US = 10_000;
    /** What the backends together do of this proxy's requests: half of the flood. */
    private static final long WORK_US = 20_000;

    private static final long WAY_US = 5_000;
    private static final String SMALL = "small";
    private static final String FLOOD = "flood";

    private QuotaSlope() {}

    private record Due(long atUs, long order, Balancer.Event event) implements Comparable<Due> {
        @Override
        public int compareTo(Due o) {
            return atUs != o.atUs ? Long.compare(atUs, o.atUs) : Long.compare(order, o.order);
        }
    }

    /** Figures for a quota of so many requests a second over all proxies. */
    static Map<String, Double> quota(int perS) {
        return DecisionSlopes.figures(
                "refused_pct",
                100 * refused(perS, perS),
                "refused_pct_without_quota",
                100 * refused(perS, 1_000_000),
                "its_part_a_second",
                perS / (double) PROXIES);
    }

    private static double refused(int perS, double quota) {
        Balancer.Settings some = Workload.settings(PROXIES);
        var policy = new Policy(new Balancer.Settings(
                PROXIES,
                0,
                "a",
                some.tickUs(),
                some.classes(),
                List.of(new Balancer.Tenant(SMALL, quota), new Balancer.Tenant(FLOOD, 1e9)),
                some.overShareWorth(),
                false,
                some.limits(),
                some.rules(),
                7));
        long now = 1_000_000_000L;
        policy.handle(now, new Balancer.Members(ListKind.FULL, Workload.backends(BACKENDS)), a -> {});
        var due = new PriorityQueue<Due>();
        long everyUs = (long) (2e6 * PROXIES / perS);
        long order = 0;
        due.add(new Due(now + everyUs, order++, arrival(SMALL, 0)));
        due.add(new Due(now + FLOOD_EVERY_US, order++, arrival(FLOOD, 0)));
        int sent = 0;
        int refused = 0;
        long flood = 0;
        long busyUntil = now;
        var actions = new ArrayList<Action>();
        while (sent < REQUESTS) {
            Due next = due.poll();
            now = next.atUs();
            actions.clear();
            policy.handle(now, next.event(), actions::add);
            if (next.event() instanceof Balancer.Arrival a && a.tenant().equals(SMALL)) {
                due.add(new Due(now + everyUs, order++, arrival(SMALL, ++sent)));
            } else if (next.event() instanceof Balancer.Arrival) {
                due.add(new Due(now + FLOOD_EVERY_US, order++, arrival(FLOOD, ++flood)));
            }
            for (Action a : actions) {
                if (a instanceof Balancer.Send s) {
                    busyUntil = Math.max(now + WAY_US, busyUntil) + WORK_US;
                    due.add(new Due(
                            busyUntil,
                            order++,
                            new Balancer.AttemptEnded(
                                    s.id(), 0, s.backend(), Balancer.Outcome.OK, busyUntil - now, true)));
                } else if (a instanceof Balancer.SetTimer t) {
                    due.add(new Due(t.atUs(), order++, new Balancer.TimerFired(t.token())));
                } else if (a instanceof Balancer.Refuse r && r.id().startsWith(SMALL)) {
                    refused++;
                }
            }
        }
        return refused / (double) sent;
    }

    private static Balancer.Arrival arrival(String tenant, long number) {
        return new Balancer.Arrival(tenant + number, "read", tenant, null, 2_000_000, false);
    }
}
