package grebehoist.trial.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A small fleet and what goes wrong in it. Hosts are numbered: machines, proxies, writers.
 *
 * @param burst one writer makes so many changes as fast as it can
 */
record DistributionScript(
        long seed, int machines, int proxies, int writers, int scopes, int burst, List<Fault> faults) {
    static final int ZONES = 3;
    /** Faults begin and end within this. */
    static final long LENGTH_US = 20_000_000;

    private static final long S = 1_000_000;
    private static final double MOST_LOSS = 0.3;
    private static final int BURST = 300;
    private static final int TURNS = 12;
    private static final long TURN_US = 1_500_000;

    DistributionScript {
        faults = List.copyOf(faults);
    }

    static int zone(int host) {
        return host % ZONES;
    }

    int hosts() {
        return machines + proxies + writers;
    }

    DistributionScript with(List<Fault> others) {
        return new DistributionScript(seed, machines, proxies, writers, scopes, burst, others);
    }

    /** Draws one. */
    static DistributionScript draw(long seed) {
        var random = new SplittableRandom(seed);
        var plain = new DistributionScript(
                seed,
                random.nextInt(5, 8),
                random.nextInt(3, 9),
                random.nextInt(2, 4),
                random.nextInt(2, 4),
                random.nextInt(10) == 0 ? BURST : 0,
                List.of());
        var faults = new ArrayList<Fault>();
        int number = random.nextInt(3, 8);
        while (faults.size() < number) {
            faults.add(plain.one(random));
        }
        if (random.nextInt(6) == 0) {
            // One machine after the other loses its memory, while much comes late.
            faults.add(new Fault(Fault.Kind.DELAY, 0, TURNS * TURN_US, List.of(), 0.3));
            for (int i = 0; i < TURNS; i++) {
                faults.add(new Fault(
                        Fault.Kind.CRASH,
                        i * TURN_US + random.nextLong(TURN_US / 2),
                        50_000,
                        List.of(i % plain.machines),
                        0));
            }
        }
        return plain.with(faults);
    }

    private Fault one(SplittableRandom random) {
        long forUs = random.nextLong(S, 8 * S);
        long at = random.nextLong(LENGTH_US - forUs);
        int machine = random.nextInt(machines);
        return switch (random.nextInt(11)) {
            case 0, 1 -> new Fault(Fault.Kind.CRASH, at, random.nextLong(50_000, 4 * S), List.of(machine), 0);
            // A third of the machines; or two in turns, the second as the first has come back.
            case 2 ->
                new Fault(
                        Fault.Kind.CRASH, at, random.nextLong(50_000, 4 * S), some(machines, machines / 3, random), 0);
            case 3 ->
                new Fault(
                        Fault.Kind.CRASH,
                        at,
                        random.nextLong(50_000, 2 * S),
                        List.of(machines + random.nextInt(proxies)),
                        0);
            case 4 ->
                new Fault(
                        Fault.Kind.PAUSE,
                        random.nextLong(LENGTH_US / 2),
                        random.nextInt(4) == 0 ? 30 * S : forUs,
                        List.of(random.nextInt(machines + proxies)),
                        0);
            // A writer that sleeps, and goes on with its old epoch.
            case 5 -> new Fault(Fault.Kind.PAUSE, at, forUs, List.of(machines + proxies + random.nextInt(writers)), 0);
            case 6 -> new Fault(Fault.Kind.LOSS, at, forUs, List.of(), random.nextDouble(0.05, MOST_LOSS));
            case 7 -> new Fault(Fault.Kind.DELAY, at, forUs, List.of(), random.nextDouble(0.02, 0.3));
            case 8 -> new Fault(Fault.Kind.DUPLICATE, at, forUs, List.of(), random.nextDouble(0.05, 0.5));
            case 9 -> new Fault(Fault.Kind.ONE_WAY, at, forUs, List.of(random.nextInt(hosts())), 0);
            default -> {
                int zone = random.nextInt(ZONES);
                yield new Fault(
                        Fault.Kind.PARTITION,
                        at,
                        forUs,
                        IntStream.range(0, hosts())
                                .filter(h -> zone(h) == zone)
                                .boxed()
                                .toList(),
                        0);
            }
        };
    }

    private static List<Integer> some(int of, int number, SplittableRandom random) {
        var left = new ArrayList<>(IntStream.range(0, of).boxed().toList());
        var chosen = new ArrayList<Integer>();
        while (chosen.size() < number) {
            chosen.add(left.remove(random.nextInt(left.size())));
        }
        return chosen;
    }
}
