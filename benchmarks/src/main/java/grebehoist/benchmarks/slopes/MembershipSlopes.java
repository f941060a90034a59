package grebehoist.benchmarks.slopes;

import grebehoist.fleet.FleetNode;
import java.lang.ref.Reference;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** What members say to each other, and what a member's machine keeps and takes. */
final class MembershipSlopes {
    private static final long S = 1_000_000;
    private static final long STARTED_US = 30 * S;
    private static final long RESTED_US = 90 * S;
    private static final int SEED = 7;
    private static final int TASK_MEMBERS = 30;
    private static final int TICKS = 2_000;

    private MembershipSlopes() {}

    static Map<String, Double> membership(int members) {
        long before = Heap.used();
        var fleet = new VirtualMembers(members, 0, SEED);
        fleet.run(STARTED_US);
        VirtualMembers.Sum start = fleet.sum();
        double found = fleet.alive();
        fleet.run(RESTED_US);
        VirtualMembers.Sum end = fleet.sum();
        long kept = Heap.used() - before;
        double restS = (RESTED_US - STARTED_US) / 1e6 * members;
        double startS = STARTED_US / 1e6 * members;
        return DecisionSlopes.figures(
                "start_bytes_s",
                start.bytes() / startS,
                "start_datagrams_s",
                start.datagrams() / startS,
                "start_most_bytes_s",
                start.most() / (STARTED_US / 1e6),
                "rest_bytes_s",
                (end.bytes() - start.bytes()) / restS,
                "rest_datagrams_s",
                (end.datagrams() - start.datagrams()) / restS,
                "tick_us",
                (end.tickNs() - start.tickNs()) / 1e3 / (end.ticks() - start.ticks()),
                "received_us",
                (end.receivedNs() - start.receivedNs()) / 1e3 / (end.received() - start.received()),
                "bytes_for_each_member",
                kept / (double) members / members,
                "alive_after_start",
                found);
    }

    /** One member that nobody answers: what it keeps of the others before it has heard of them. */
    static Map<String, Double> alone(int members) {
        long before = Heap.used();
        FleetNode node = VirtualMembers.node(0, members, new SplittableRandom(SEED), (from, to, datagram) -> {});
        node.start(S);
        long kept = Heap.used() - before;
        long now = S;
        for (int i = 0; i < TICKS; i++) {
            node.tick(now += 50_000);
        }
        long from = System.nanoTime();
        for (int i = 0; i < TICKS; i++) {
            node.tick(now += 50_000);
        }
        double tickUs = (System.nanoTime() - from) / 1e3 / TICKS;
        Reference.reachabilityFence(node);
        return DecisionSlopes.figures(
                "bytes", kept, "bytes_for_each_member", kept / (double) members, "tick_us", tickUs);
    }

    static Map<String, Double> leases(int tasks) {
        var without = new VirtualMembers(TASK_MEMBERS, 0, SEED);
        var with = new VirtualMembers(TASK_MEMBERS, tasks, SEED);
        var figures = new LinkedHashMap<String, Double>();
        without.run(STARTED_US);
        with.run(STARTED_US);
        VirtualMembers.Sum withoutStart = without.sum();
        VirtualMembers.Sum withStart = with.sum();
        without.run(RESTED_US);
        with.run(RESTED_US);
        double seconds = (RESTED_US - STARTED_US) / 1e6;
        double bytes =
                (with.sum().bytes() - withStart.bytes() - without.sum().bytes() + withoutStart.bytes()) / seconds;
        figures.put("member_bytes_s", bytes / TASK_MEMBERS);
        figures.put("bytes_s_for_each_task", bytes / tasks);
        figures.put("most_bytes_s", with.sum().most() / (RESTED_US / 1e6));
        return figures;
    }
}
