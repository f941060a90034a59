package grebehoist.trial;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Members in zones, and what goes wrong between them.
 *
 * @param pauseUs pauses of less than this must do no harm
 * @param lengthUs until the last fault is over; what is to be settled has {@link #SETTLE_US} after that
 */
public record Script(long seed, int members, int zones, long pauseUs, long lengthUs, List<Fault> faults) {
    /** After the last fault all is to be as if there had been none in this time. */
    public static final long SETTLE_US = 45_000_000;

    private static final long S = 1_000_000;
    private static final double MOST_LOSS = 0.3;

    public Script {
        faults = List.copyOf(faults);
    }

    /** Returns the zone of a member. */
    public String zone(int member) {
        return "z" + member % zones;
    }

    /** Returns the members of a zone. */
    List<Integer> zone(String zone) {
        return all().stream().filter(m -> zone(m).equals(zone)).toList();
    }

    private List<Integer> all() {
        return IntStream.range(0, members).boxed().toList();
    }

    /** The same with other faults. */
    public Script with(List<Fault> others) {
        return new Script(seed, members, zones, pauseUs, lengthUs, others);
    }

    /** Draws a script: faults of some kinds, a few at a time, over a length of time. */
    public static Script draw(
            long seed, int members, int zones, long pauseUs, long lengthUs, Set<Fault.Kind> kinds, int faults) {
        var random = new SplittableRandom(seed);
        var none = new Script(seed, members, zones, pauseUs, lengthUs, List.of());
        var drawn = new ArrayList<Fault>();
        var of = new ArrayList<Fault.Kind>();
        kinds.stream().sorted().forEach(k -> of.add(random.nextInt(of.size() + 1), k));
        for (int i = 0; i < faults; i++) {
            // Each kind comes before any comes again.
            drawn.add(none.one(of.get(i % of.size()), random));
        }
        return none.with(drawn);
    }

    private Fault one(Fault.Kind kind, SplittableRandom random) {
        long forUs = random.nextLong(2 * S, Math.max(3 * S, Math.min(30 * S, lengthUs / 2)));
        List<Integer> one = List.of(random.nextInt(members));
        List<Integer> some = some(random, 1 + random.nextInt(Math.max(1, members / 3)));
        List<Integer> rest = all().stream().filter(m -> !some.contains(m)).toList();
        List<Integer> others = all().stream().filter(m -> !one.contains(m)).toList();
        long at = random.nextLong(Math.max(1, lengthUs - forUs));
        return switch (kind) {
            case PAUSE -> {
                // Well under what is borne, or well over.
                long bound = random.nextInt(3) > 0 ? (long) (0.8 * pauseUs) : Math.min(60 * S, lengthUs);
                yield new Fault(
                        kind, at, random.nextLong(10_000, bound), random.nextBoolean() ? one : some, List.of(), 0);
            }
            case LOSS -> new Fault(kind, at, forUs, List.of(), List.of(), random.nextDouble(0.05, MOST_LOSS));
            case LATE -> new Fault(kind, at, forUs, List.of(), List.of(), random.nextDouble(0.02, 0.2));
            case TWICE -> new Fault(kind, at, forUs, List.of(), List.of(), random.nextDouble(0.05, 0.5));
            case ONEWAY -> {
                // One link, or all that one hears, or all that it says but to one.
                int target = others.get(random.nextInt(others.size()));
                List<Integer> butOne = others.stream().filter(m -> m != target).toList();
                int form = members < 4 ? 0 : random.nextInt(3);
                yield form == 0
                        ? new Fault(kind, at, forUs, one, List.of(target), 0)
                        : form == 1
                                ? new Fault(kind, at, forUs, butOne, one, 0)
                                : new Fault(kind, at, forUs, one, butOne, 0);
            }
            case SPLIT -> new Fault(kind, at, forUs, some, rest, 0);
            case MUTE -> {
                List<Integer> zone = zone("z" + random.nextInt(zones));
                yield new Fault(
                        kind,
                        at,
                        forUs,
                        zone,
                        all().stream().filter(m -> !zone.contains(m)).toList(),
                        0);
            }
            case KILL -> new Fault(kind, at, forUs, random.nextBoolean() ? one : some, List.of(), 0);
            case RESTART -> new Fault(kind, at, random.nextLong(1_000, 200_000), one, List.of(), 0);
            case LEAVE -> new Fault(kind, at, forUs, one, List.of(), 0);
            case SLOW -> new Fault(kind, at, forUs, some, List.of(), 0);
        };
    }

    private List<Integer> some(SplittableRandom random, int number) {
        var left = new ArrayList<>(all());
        var chosen = new ArrayList<Integer>();
        while (chosen.size() < number) {
            chosen.add(left.remove(random.nextInt(left.size())));
        }
        return chosen;
    }
}
