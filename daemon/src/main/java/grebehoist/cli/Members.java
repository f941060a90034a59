package grebehoist.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Config;
import grebehoist.engine.Log;
import grebehoist.fleet.FleetNode;
import grebehoist.fleet.lease.LeaseTerms;
import grebehoist.fleet.membership.Terms;
import grebehoist.fleet.wire.KeyRing;
import grebehoist.installation.Installation;
import grebehoist.net.LoopTimers;
import grebehoist.peers.PeerNode;
import grebehoist.peers.PeerSettings;
import grebehoist.tasks.TaskCalls;
import grebehoist.tasks.TaskSpec;
import io.netty.channel.EventLoop;
import java.util.HexFormat;
import java.util.List;
import java.util.function.BiConsumer;

/** The other proxies of the fleet. Loaded only where they may be spoken to. */
final class Members {
    private final PeerNode node;
    /** Null where the fleet has no tasks. */
    private final TaskCalls calls;

    private Members(PeerNode node, TaskCalls calls) {
        this.node = node;
        this.calls = calls;
    }

    /** As the platform's settings allow it. */
    static PeerSettings of(Config config) {
        Config.Peers peers = config.peers();
        var identity = new FleetNode.Identity(
                config.settings().rank(),
                peers.addresses().size(),
                config.name(),
                config.settings().zone());
        return new PeerSettings(
                identity, peers.listen(), peers.addresses(), Terms.standard(), PeerSettings.NO_SECRET, null);
    }

    /** As an installation file has it. */
    static PeerSettings of(String name, Installation.MembershipEntry entry, Installation.LeaseEntry lease) {
        var identity = new FleetNode.Identity(entry.number(), entry.peers().size(), name, entry.zone());
        return new PeerSettings(
                identity,
                entry.listen(),
                entry.peers(),
                Terms.bearing(entry.pauseUs()),
                entry.keys().stream()
                        .map(k -> new KeyRing.Key(k.id(), HexFormat.of().parseHex(k.secret())))
                        .toList(),
                lease == null ? null : tasks(lease));
    }

    /** The wall clock is read here, once, and for tokens alone. */
    private static FleetNode.Tasks tasks(Installation.LeaseEntry lease) {
        return new FleetNode.Tasks(
                LeaseTerms.of(lease.leaseUs()),
                lease.set(),
                lease.voters(),
                lease.tasks().stream().map(TaskSpec::name).toList(),
                System.currentTimeMillis());
    }

    /**
     * Begins to speak to them.
     *
     * @param tasks what is to be called by whoever holds it; empty where there is nothing
     * @param share hears how many share the load, and this one's place among them
     */
    static Members begin(
            PeerSettings settings,
            List<TaskSpec> tasks,
            EventLoop loop,
            LoopTimers timers,
            Log log,
            BiConsumer<Integer, Integer> share) {
        var node = new PeerNode(settings, loop, timers, log, count -> share.accept(count.sharedBy(), count.rank()));
        TaskCalls calls = null;
        if (!tasks.isEmpty()) {
            calls = new TaskCalls(settings.identity().name(), tasks, node.leases(), loop, timers, log, node::tell);
            node.holdings(calls::changed);
            calls.begin();
        }
        node.begin();
        return new Members(node, calls);
    }

    /** Tells them that this process ends; on the loop's thread. */
    void leave() {
        if (calls != null) {
            calls.end();
        }
        node.leave();
    }

    /** What is held of them; on the loop's thread. */
    ObjectNode figures() {
        return node.figures();
    }
}
