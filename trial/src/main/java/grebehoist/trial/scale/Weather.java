package grebehoist.trial.scale;

import grebehoist.fleet.distribution.Layout;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** Which faults a play has, and when: drawn from the seed. */
final class Weather {
    /** Kinds of faults. */
    enum Kind {
        /** A control machine is killed and started again from nothing later. */
        KILL,
        /** A control machine is stopped and goes on. */
        PAUSE,
        /** All proxies of a zone are killed, and started from nothing in the same instant. */
        RESTART,
        /** Datagrams are lost on every way, at a rate, all the time. */
        LOSS,
        /** A third of the proxies does not hear one machine, which hears them. */
        ONEWAY,
        /** A region is cut off from the others. */
        REGION
    }

    /**
     * One fault.
     *
     * @param who a machine, a zone or a region, by its kind
     */
    record Fault(Kind kind, long fromUs, long untilUs, int who) {}

    private Weather() {}

    /** Draws the faults of a play of this length. */
    static List<Fault> draw(Set<Kind> kinds, Plan plan, Layout layout, long lengthUs) {
        var random = new SplittableRandom(plan.seed() ^ 0xFA17);
        // All proxies have the fleet's scope: its holders are those that are missed most.
        List<Integer> holders = layout.holders(Plan.FLEET);
        int first = random.nextInt(holders.size());
        var faults = new ArrayList<Fault>();
        for (Kind kind : kinds) {
            faults.add(
                    switch (kind) {
                        case LOSS -> part(kind, 0, 1, lengthUs, 0);
                        case KILL -> part(kind, 0.1, 0.4, lengthUs, holders.get(first));
                        case RESTART -> part(kind, 0.45, 0.46, lengthUs, random.nextInt(Plan.ZONES));
                        case ONEWAY -> part(kind, 0.55, 0.65, lengthUs, holders.get((first + 1) % holders.size()));
                        case PAUSE -> part(kind, 0.66, 0.72, lengthUs, holders.get((first + 2) % holders.size()));
                        case REGION -> part(kind, 0.75, 0.9, lengthUs, random.nextInt(Plan.REGIONS));
                    });
        }
        faults.sort(Comparator.comparingLong(Fault::fromUs));
        return faults;
    }

    private static Fault part(Kind kind, double from, double until, long lengthUs, int who) {
        return new Fault(kind, (long) (from * lengthUs), (long) (until * lengthUs), who);
    }

    /** Returns whether a proxy can reach any of these machines while a region is cut off. */
    static boolean reaches(int proxy, List<Integer> machines, int cutRegion) {
        boolean inside = Plan.region(Plan.zone(proxy)) == cutRegion;
        return machines.stream().anyMatch(m -> Plan.region(Plan.zone(m)) == cutRegion == inside);
    }

    /** Returns the proxies of a zone. */
    static List<Integer> zone(Plan plan, int zone) {
        return IntStream.range(0, plan.proxies())
                .filter(p -> Plan.zone(p) == zone)
                .boxed()
                .toList();
    }
}
