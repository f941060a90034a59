package grebehoist.lab;

import beechfall.Balancer;
import beechfall.Balancer.ListKind;
import grebehoist.engine.Payload;
import grebehoist.engine.Request;
import grebehoist.engine.Responder;
import grebehoist.lab.Experiment.Fault;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.stream.DoubleStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.apache.commons.rng.sampling.distribution.GuideTableDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One play of an experiment: one policy, one seed, one thread. Arrivals, work, machines, faults and news each have random numbers
 * of their own, so that policies with the same seed meet the same day.
 */
final class World {
    private static final long START_US = 1_000_000;
    /** What one play may have waiting: some 100 bytes each. */
    private static final int MOST_EVENTS = 5_000_000;

    private enum Stream {
        ARRIVALS,
        WORK,
        MACHINES,
        FAULTS,
        NEWS,
        CLIENTS,
        POLICIES,
        SHARES
    }

    private final Experiment e;
    private final long seed;
    private final VirtualTime time = new VirtualTime(START_US, MOST_EVENTS);
    private final Figures figures;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private final UniformRandomProvider news;
    private final UniformRandomProvider clients;
    private final IntSupplier comeBack;
    private final UniformRandomProvider machineRandom;
    private final List<DoubleSupplier> work = new ArrayList<>();
    private final long endUs;
    private int asked;
    private int waiting;

    World(Experiment e, String policy, long seed) {
        this.e = e;
        this.seed = seed;
        this.figures = new Figures(e);
        this.news = random(Stream.NEWS);
        this.clients = random(Stream.CLIENTS);
        this.machineRandom = random(Stream.MACHINES);
        this.endUs = START_US + (long) (e.seconds() * 1e6);
        this.comeBack = front(clients);
        for (Experiment.Kind kind : e.kinds()) {
            for (int i = 0; i < kind.machines(); i++) {
                add(kind);
            }
        }
        UniformRandomProvider workRandom = random(Stream.WORK);
        e.classes().forEach(c -> work.add(c.work().of(c.meanMs() * 1e3, c.cv(), workRandom)));
        var classes =
                e.classes().stream().map(Experiment.RequestClass::settings).toList();
        var limits = new Balancer.Limits(true, false, false, false, 4, 2_000_000);
        var rules = new Balancer.Rules(
                e.kinds().stream().mapToDouble(Experiment.Kind::coldFrom).min().orElse(1),
                (long) (e.kinds().stream()
                                .mapToDouble(Experiment.Kind::coldS)
                                .max()
                                .orElse(0)
                        * 1e6),
                4,
                1_000_000,
                10_000_000,
                false);
        UniformRandomProvider policies = random(Stream.POLICIES);
        int believed = (int) Math.max(1, Math.round(e.proxies() * e.fleet().configured()));
        for (int rank = 0; rank < e.proxies(); rank++) {
            var settings = new Balancer.Settings(
                    believed,
                    rank % believed,
                    "a",
                    1_000,
                    classes,
                    List.of(),
                    1,
                    false,
                    limits,
                    rules,
                    policies.nextLong());
            var module = Policies.make(
                    policy,
                    settings,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(policies.nextLong()),
                    id -> machines.get(id).waitUs());
            proxies.add(new Proxy(
                    settings, module, time, machines, Math.round(e.network().oneWayMs() * 1e3), figures));
        }
    }

    private UniformRandomProvider random(Stream stream) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed, stream.ordinal() + 1});
    }

    /** Plays it to its end, and until the last answer is due. */
    Figures play() {
        var list = machines.values().stream().map(Machine::listed).toList();
        proxies.forEach(p -> p.tell(START_US, ListKind.FULL, list));
        if (e.fleet().toldAtS() > 0) {
            time.at(START_US + (long) (e.fleet().toldAtS() * 1e6), () -> {
                for (int rank = 0; rank < proxies.size(); rank++) {
                    proxies.get(rank).share(proxies.size(), rank);
                }
            });
        }
        UniformRandomProvider faults = random(Stream.FAULTS);
        e.faults().forEach(f -> schedule(f, faults));
        arrivals();
        time.at(START_US + (long) (e.warmupS() * 1e6), () -> figures.begin(workDone()));
        double patience = e.classes().stream()
                .mapToDouble(Experiment.RequestClass::deadlineMs)
                .max()
                .orElse(0);
        time.runTo(endUs + (long) (2e3 * patience) + 1_000_000);
        figures.end(workDone());
        for (int i = 0; i < waiting; i++) {
            figures.broken("1: a request without an answer");
        }
        return figures;
    }

    long events() {
        return time.played();
    }

    /** Returns what proxies still keep of requests; a test looks whether that goes away. */
    int remembered() {
        return proxies.stream().mapToInt(Proxy::remembered).sum();
    }

    private double workDone() {
        return machines.values().stream().mapToDouble(Machine::workDoneUs).sum();
    }

    private Machine add(Experiment.Kind kind) {
        double spread = ZigguratSampler.NormalizedGaussian.of(machineRandom).sample() * kind.speedCv();
        var m = new Machine(
                kind.name() + "-" + machines.size(),
                kind,
                kind.speed() * Math.max(0.2, 1 + spread),
                time,
                machineRandom);
        machines.put(m.id(), m);
        return m;
    }

    // Clients

    /** Which proxy a client's request comes to: each alike, or each by its share of the load. */
    private IntSupplier front(UniformRandomProvider random) {
        if (e.load().uneven() == 0) {
            return () -> random.nextInt(e.proxies());
        }
        DoubleSupplier share = WorkSampler.LOGNORMAL.of(1, e.load().uneven(), random(Stream.SHARES));
        return GuideTableDiscreteSampler.of(
                random, DoubleStream.generate(share).limit(e.proxies()).toArray())::sample;
    }

    /** A Poisson process at the highest rate, thinned to the rate of the moment (Lewis and Shedler, 1979). */
    private void arrivals() {
        UniformRandomProvider random = random(Stream.ARRIVALS);
        double most = Math.max(
                1, e.load().steps().stream().mapToDouble(s -> s.get(1)).max().orElse(1));
        double perUs = e.ratePerS() * most / 1e6;
        var gap = ZigguratSampler.Exponential.of(random, 1 / perUs);
        double classShares =
                e.classes().stream().mapToDouble(Experiment.RequestClass::share).sum();
        IntSupplier front = front(random);
        new Runnable() {
            private double at = START_US;

            @Override
            public void run() {
                at += gap.sample();
                if (at < endUs) {
                    double second = (at - START_US) / 1e6;
                    boolean comes = random.nextDouble() * most < e.load().factor(second);
                    double pick = random.nextDouble() * classShares;
                    int type = 0;
                    while (type < e.classes().size() - 1
                            && pick >= e.classes().get(type).share()) {
                        pick -= e.classes().get(type++).share();
                    }
                    int chosen = type;
                    int proxy = front.getAsInt();
                    time.at((long) at, () -> {
                        if (comes) {
                            boolean unsafe = e.classes().get(chosen).effect() == Balancer.Effect.UNSAFE;
                            ask(
                                    new Job(
                                            chosen,
                                            unsafe,
                                            Math.max(1, work.get(chosen).getAsDouble()),
                                            time.now()),
                                    proxy);
                        }
                        run();
                    });
                }
            }
        }.run();
    }

    private void ask(Job job, int proxy) {
        Experiment.RequestClass type = e.classes().get(job.type());
        double second = (job.firstAt() - START_US) / 1e6;
        boolean counted = second >= e.warmupS();
        int number = job.tried();
        if (number == 1 && counted) {
            figures.offered(second, type.worth());
        }
        long deadline = job.firstAt() + (long) (type.deadlineMs() * 1e3);
        waiting++;
        String id = Integer.toString(++asked);
        proxies.get(proxy)
                .intake()
                .arrived(new Request(id, type.name(), null, null, number > 1, deadline, job), new Responder() {
                    private boolean answered;

                    private void once() {
                        if (answered) {
                            figures.broken("1: a second answer");
                        } else {
                            waiting--;
                        }
                        answered = true;
                        if (time.now() > deadline + 5_000) {
                            figures.broken("1: an answer after its deadline");
                        }
                    }

                    @Override
                    public void served(Payload answer) {
                        once();
                        long took = time.now() - job.firstAt();
                        end(took <= type.aimMs() * 1e3 ? Figures.End.GOOD : Figures.End.LATE);
                    }

                    @Override
                    public void refused(long retryAfterUs) {
                        once();
                        double pause =
                                Math.max(retryAfterUs, e.load().backoffMs() * 1e3) * (1 + clients.nextDouble() / 2);
                        if (number <= e.load().retries() && time.now() + pause < deadline) {
                            time.at(time.now() + (long) pause, () -> ask(job, comeBack.getAsInt()));
                        } else {
                            end(Figures.End.REFUSED);
                        }
                    }

                    @Override
                    public void failed() {
                        once();
                        end(Figures.End.FAILED);
                    }

                    private void end(Figures.End how) {
                        if (counted) {
                            figures.ended(second, how, type.worth(), time.now() - job.firstAt(), job.workUs());
                        }
                    }
                });
    }

    // What goes wrong

    private void schedule(Fault f, UniformRandomProvider random) {
        var all = new ArrayList<>(machines.values());
        ListSampler.shuffle(random, all);
        int n = f.machines() > 0 ? Math.min(f.machines(), all.size()) : (int) Math.round(f.share() * all.size());
        for (int i = 0; i < n; i++) {
            Machine m = all.get(i);
            long at = START_US + (long) ((f.atS() + f.overS() * i / n) * 1e6);
            long until = at + (long) (f.forS() * 1e6);
            switch (f.kind()) {
                case HANG -> {
                    time.at(at, () -> m.hang(true));
                    time.at(until, () -> m.hang(false));
                }
                case SLOW -> {
                    time.at(at, () -> m.slow(f.factor()));
                    time.at(until, () -> m.slow(1));
                }
                case CRASH -> {
                    // Discovery hears of a start and of nothing else: proxies have to find out.
                    time.at(at, m::crash);
                    time.at(until, () -> told(m, m::restart));
                }
                case DRAIN -> leaves(m, at, until);
                case REPLACE -> {
                    time.at(at, () -> {
                        Machine fresh = add(m.kind());
                        told(fresh, fresh::restart);
                    });
                    leaves(m, (at + until) / 2, until);
                }
                default -> throw new IllegalStateException(f.kind().toString());
            }
        }
    }

    private void leaves(Machine m, long drainsAt, long goneAt) {
        time.at(drainsAt, () -> told(m, m::drain));
        time.at(goneAt, () -> told(m, m::gone));
    }

    private void told(Machine m, Runnable change) {
        change.run();
        var line = List.of(m.listed());
        double least = e.discovery().lagMs().get(0) * 1e3;
        double most = e.discovery().lagMs().get(1) * 1e3;
        proxies.forEach(p ->
                p.tell(time.now() + (long) (least + (most - least) * news.nextDouble()), ListKind.DELTA, line));
    }
}
