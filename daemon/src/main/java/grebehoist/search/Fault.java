package grebehoist.search;

import grebehoist.testkit.StandInBackend.Act;

/** What a script can bring about. The target is a backend, a proxy, or nothing, as each says. */
enum Fault {
    SILENT(Target.BACKEND, Act.SILENT),
    VANISH(Target.BACKEND, Act.VANISH),
    RESET_EARLY(Target.BACKEND, Act.RESET_EARLY),
    RESET_LATE(Target.BACKEND, Act.RESET_LATE),
    HALF(Target.BACKEND, Act.HALF),
    HALF_SILENT(Target.BACKEND, Act.HALF_SILENT),
    DRIP(Target.BACKEND, Act.DRIP),
    TWICE(Target.BACKEND, Act.TWICE),
    NEVER_RAN(Target.BACKEND, Act.NEVER_RAN),
    UNAVAILABLE(Target.BACKEND, Act.UNAVAILABLE),
    ERROR(Target.BACKEND, Act.ERROR),
    NOISE(Target.BACKEND, Act.NOISE),
    CLOSE(Target.BACKEND, Act.CLOSE),
    /** Work takes {@code size} times as long. */
    SLOW(Target.BACKEND, null),
    /** The process dies, and comes back cold under the same id and address. */
    CRASH(Target.BACKEND, null),
    /** The machine is drained, goes at the end, and a new one comes in its place. */
    REPLACE(Target.BACKEND, null),
    /** The machine is drained and goes at the end. */
    SHRINK(Target.BACKEND, null),
    /** A new machine comes, at the address of one that has gone where there is one. */
    GROW(Target.NOTHING, null),
    /** The machine moves: the same id at another address. */
    MOVE(Target.BACKEND, null),
    /** Drained, and wanted again at the end. */
    DRAIN_AND_BACK(Target.BACKEND, null),
    DISCOVERY_DOWN(Target.NOTHING, null),
    DISCOVERY_SILENT(Target.NOTHING, null),
    DISCOVERY_BUSY(Target.NOTHING, null),
    DISCOVERY_NOISE(Target.NOTHING, null),
    DISCOVERY_STALE(Target.NOTHING, null),
    /** The proxy is stopped for a while, and goes on. */
    PAUSE(Target.PROXY, null),
    /** The proxy is killed, and comes back with the list that it had. */
    KILL(Target.PROXY, null),
    /** Traffic rises to {@code size} times the usual. */
    BURST(Target.NOTHING, null),
    /** Clients hang up, dawdle, go half-way or are rude; {@code size} is the share in the whole of them. */
    HANG_UPS(Target.NOTHING, null),
    DAWDLERS(Target.NOTHING, null),
    HALF_WAYS(Target.NOTHING, null),
    RUDE(Target.NOTHING, null);

    enum Target {
        BACKEND,
        PROXY,
        NOTHING
    }

    private final Target target;
    private final Act act;

    Fault(Target target, Act act) {
        this.target = target;
        this.act = act;
    }

    Target target() {
        return target;
    }

    /** What the backend does with requests meanwhile, or null where this is no such fault. */
    Act act() {
        return act;
    }
}
