package grebehoist.benchmarks.slopes;

import beechfall.Balancer;
import beechfall.Balancer.Action;
import beechfall.Balancer.Backend;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Members;
import beechfall.Balancer.State;
import beechfall.Policy;
import grebehoist.benchmarks.Workload;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What the decision module alone keeps and takes. Times are processor time of one thread, warm; memory is the heap in use after a collection. */
final class DecisionSlopes {
    /** Proxies of the fleet ahead, all of which share a backend where nobody has a part of the services. */
    private static final int FLEET = 4_900;
    /** Proxies of one cell. */
    private static final int CELL = 60;

    private static final int BACKENDS_OF_A_SERVICE = 37;
    /** What goes with a zone: 6,800 of 88,000 backends. */
    private static final double OF_A_ZONE = 6_800 / 88_000.0;

    private static final long START_US = 1_000_000_000L;
    private static final long SECOND_NS = TimeUnit.SECONDS.toNanos(1);
    private static final int LEAST_TIMES = 15;
    /** So many in six seconds: what one of 60 proxies gets of a service of 583 a second. */
    private static final int REQUESTS = 60;

    private static final long REQUEST_EVERY_US = 100_000;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private DecisionSlopes() {}

    static Map<String, Double> listMemory(int backends) {
        long before = Heap.used();
        List<Backend> list = Workload.backends(backends);
        long listed = Heap.used() - before;
        var policy = new Policy(Workload.settings(FLEET));
        policy.handle(START_US, new Members(ListKind.FULL, list), a -> {});
        long kept = Heap.used() - before - listed;
        Reference.reachabilityFence(list);
        Reference.reachabilityFence(policy);
        return figures(
                "module_bytes",
                kept,
                "module_bytes_each",
                kept / (double) backends,
                "list_bytes_each",
                listed / (double) backends);
    }

    static Map<String, Double> listChange(int backends) {
        List<Backend> list = Workload.backends(backends);
        var policy = new Policy(Workload.settings(FLEET));
        long[] now = {START_US};
        policy.handle(now[0], new Members(ListKind.FULL, list), a -> {});
        int inZone = Math.max(1, (int) (OF_A_ZONE * backends));
        List<Backend> gone =
                list.subList(0, inZone).stream().map(b -> in(b, State.GONE, 0)).toList();
        double one = medianUs(i -> {
            now[0] += 1_000;
            policy.handle(
                    now[0],
                    new Members(
                            ListKind.DELTA,
                            List.of(new Backend("new", i % 2 == 0 ? State.READY : State.GONE, "std", "a", 1, 0, 1))),
                    a -> {});
        });
        double whole = medianUs(i -> {
            now[0] += 1_000;
            policy.handle(now[0], new Members(ListKind.FULL, list), a -> {});
        });
        // A zone goes in one piece of news, and comes back in one.
        double zone = medianUs(i -> {
            now[0] += 1_000;
            policy.handle(now[0], new Members(ListKind.DELTA, i % 2 == 0 ? gone : list.subList(0, inZone)), a -> {});
        });
        return figures(
                "one_us", one, "zone_at_once_us", zone, "whole_us", whole, "zone_one_by_one_s", one * inZone / 1e6);
    }

    /** Requests of one service to one proxy of a cell, where all backends have started together, through the seconds in which they are cold. */
    static Map<String, Double> cold(int backends) {
        List<Backend> warm = Workload.backends(backends);
        List<Backend> cold =
                warm.stream().map(b -> in(b, State.READY, START_US)).toList();
        int[] sent = new int[1];
        double coldUs = request(cold, sent);
        double part = sent[0] / (double) REQUESTS;
        return figures("cold_request_us", coldUs, "warm_request_us", request(warm, sent), "cold_sent_pct", 100 * part);
    }

    private static double request(List<Backend> list, int[] sent) {
        var actions = new ArrayList<Action>();
        var next = new Policy[1];
        return medianUs(
                        i -> {
                            next[0] = new Policy(Workload.settings(CELL));
                            next[0].handle(START_US, new Members(ListKind.FULL, list), a -> {});
                            sent[0] = 0;
                        },
                        i -> {
                            for (int r = 1; r <= REQUESTS; r++) {
                                long now = START_US + r * REQUEST_EVERY_US;
                                sent[0] +=
                                        ask(next[0], now, now + 25_000, Integer.toString(r), "large", actions) ? 1 : 0;
                            }
                        })
                / REQUESTS;
    }

    /** Returns whether it was sent, and answered at once. */
    private static boolean ask(
            Policy policy, long now, long answeredAt, String id, String tenant, List<Action> actions) {
        actions.clear();
        policy.handle(now, new Balancer.Arrival(id, "read", tenant, null, 2_000_000, false), actions::add);
        for (Action a : List.copyOf(actions)) {
            if (a instanceof Balancer.Send s) {
                policy.handle(
                        answeredAt,
                        new Balancer.AttemptEnded(id, 0, s.backend(), Balancer.Outcome.OK, 25_000, true),
                        x -> {});
                return true;
            }
        }
        return false;
    }

    static Map<String, Double> lists(int services) {
        long before = Heap.used();
        var all = new ArrayList<Object>();
        for (int s = 0; s < services; s++) {
            List<Backend> list = service(s);
            var policy = new Policy(Workload.settings(CELL));
            policy.handle(START_US, new Members(ListKind.FULL, list), a -> {});
            all.add(policy);
        }
        long kept = Heap.used() - before;
        Reference.reachabilityFence(all);
        return figures("module_kb", kept / 1e3, "module_kb_each", kept / 1e3 / services);
    }

    /** A service's backends, under ids that no other has. */
    private static List<Backend> service(int number) {
        return Workload.backends(BACKENDS_OF_A_SERVICE).stream()
                .map(b -> new Backend(
                        "s" + number + b.id(), b.state(), b.kind(), b.zone(), b.cell(), b.startedAtUs(), b.weight()))
                .toList();
    }

    static Map<String, Double> tenants(int tenants) {
        long before = Heap.used();
        var list = new ArrayList<Balancer.Tenant>();
        for (int t = 0; t < tenants; t++) {
            list.add(new Balancer.Tenant("tenant-" + t, 10));
        }
        long told = Heap.used() - before;
        var all = new LinkedHashMap<String, Double>();
        all.put("settings_bytes_each", told / (double) tenants);
        asked(all, "in_cell", CELL, tenants, list);
        asked(all, "alone", 1, tenants, list);
        return all;
    }

    private static void asked(
            Map<String, Double> figures, String where, int balancers, int tenants, List<Balancer.Tenant> list) {
        Balancer.Settings some = Workload.settings(balancers);
        long before = Heap.used();
        var policy = new Policy(new Balancer.Settings(
                balancers,
                0,
                "a",
                some.tickUs(),
                some.classes(),
                list,
                some.overShareWorth(),
                false,
                some.limits(),
                some.rules(),
                some.seed()));
        policy.handle(START_US, new Members(ListKind.FULL, Workload.backends(BACKENDS_OF_A_SERVICE)), a -> {});
        long made = Heap.used();
        figures.put("module_bytes_each_" + where, (made - before) / (double) tenants);
        var actions = new ArrayList<Action>();
        long now = START_US;
        int sent = 0;
        for (int t = 0; t < tenants; t++) {
            now += 250_000;
            sent += ask(
                            policy,
                            now,
                            now + 25_000,
                            Integer.toString(t),
                            list.get(t).name(),
                            actions)
                    ? 1
                    : 0;
        }
        figures.put("asked_bytes_each_" + where, (Heap.used() - made) / (double) tenants);
        figures.put("sent_" + where, (double) sent);
        Reference.reachabilityFence(policy);
    }

    private static Backend in(Backend b, State state, long startedAtUs) {
        return new Backend(b.id(), state, b.kind(), b.zone(), b.cell(), startedAtUs, b.weight());
    }

    /** One of a row of equal actions. */
    private interface Repeated {
        void run(int time);
    }

    private static double medianUs(Repeated action) {
        return medianUs(i -> {}, action);
    }

    /**
     * Runs it for a second to warm up, and then for two, and fifteen times at least; returns the median of this thread's processor time, which
     * tells the same on a busy machine, but for its caches.
     */
    private static double medianUs(Repeated before, Repeated action) {
        int time = 0;
        for (long until = System.nanoTime() + SECOND_NS; System.nanoTime() < until || time < LEAST_TIMES; time++) {
            before.run(time);
            action.run(time);
        }
        var taken = new long[1 << 20];
        int n = 0;
        for (long until = System.nanoTime() + 2 * SECOND_NS;
                n < taken.length && (System.nanoTime() < until || n < LEAST_TIMES);
                time++) {
            before.run(time);
            long from = THREADS.getCurrentThreadCpuTime();
            action.run(time);
            taken[n++] = THREADS.getCurrentThreadCpuTime() - from;
        }
        Arrays.sort(taken, 0, n);
        return taken[n / 2] / 1e3;
    }

    static Map<String, Double> figures(Object... namesAndValues) {
        var all = new LinkedHashMap<String, Double>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            all.put((String) namesAndValues[i], ((Number) namesAndValues[i + 1]).doubleValue());
        }
        return all;
    }
}
