package grebehoist.peers;

import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Json;
import grebehoist.engine.Log;
import grebehoist.fleet.FleetNode;
import grebehoist.fleet.lease.LeaseChange;
import grebehoist.fleet.lease.Leases;
import grebehoist.fleet.membership.Change;
import grebehoist.fleet.membership.Membership;
import grebehoist.fleet.wire.KeyRing;
import grebehoist.net.DatagramPort;
import grebehoist.net.LoopTasks;
import grebehoist.net.LoopTimers;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One member on a socket. All of it runs on the loop's thread, but for the constructor and {@link #begin}.
 */
public final class PeerNode implements FleetNode.Output {
    private final PeerSettings settings;
    private final EventLoop loop;
    private final LoopTimers timers;
    private final DatagramPort port;
    private final Consumer<Change.Count> counts;
    private final FleetNode node;
    private final ChangeLog changes;
    /** Null where the fleet has no tasks. */
    private final Leases leases;

    private Consumer<LeaseChange> holdings = c -> {};
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private Future<?> ticks;
    private boolean ended;
    private final Log log;

    /**
     * Makes one that is yet to begin.
     *
     * @param counts hears how many share the load
     */
    public PeerNode(PeerSettings settings, EventLoop loop, LoopTimers timers, Log log, Consumer<Change.Count> counts) {
        this.settings = settings;
        this.loop = loop;
        this.timers = timers;
        this.port = new DatagramPort(
                loop,
                settings.identity().name() + ", where other proxies are to reach it",
                settings.listen(),
                new Listener(),
                log);
        this.counts = counts;
        this.log = log;
        // Which life this is has to differ from any before; what the platform gives as a seed is another thing.
        var random = new SplittableRandom(
                System.nanoTime() ^ ProcessHandle.current().pid() << 32 ^ System.currentTimeMillis());
        this.node = new FleetNode(settings.identity(), settings.terms(), new KeyRing(settings.keys()), random, this);
        this.leases = settings.tasks() == null ? null : node.share(settings.tasks());
        this.changes = new ChangeLog(System.err, settings.identity().name(), this::name);
        for (int i = 0; i < settings.addresses().size(); i++) {
            if (i != settings.identity().number()) {
                numbers.put(settings.addresses().get(i), i);
            }
        }
    }

    private String name(int member) {
        String known = node.membership().name(member);
        return known.isEmpty() ? "#" + member : known;
    }

    /** Returns the leases, or null where the fleet has no tasks. For the loop's thread. */
    public Leases leases() {
        return leases;
    }

    /** Tells who hears of tasks that are held and no longer held; before {@link #begin}. */
    public void holdings(Consumer<LeaseChange> hears) {
        holdings = hears;
    }

    /** Writes a line for operators; what it lacks is time and name. */
    public void tell(ObjectNode line) {
        changes.tell(line);
    }

    /** Begins to listen, and to ask. */
    public void begin() {
        port.begin();
    }

    private final class Listener implements DatagramPort.Listener {
        @Override
        public void bound(InetSocketAddress at) {
            if (!ended) {
                node.start(timers.now());
                long tickUs = settings.terms().tickUs();
                ticks = LoopTasks.every(loop, log, tickUs, TimeUnit.MICROSECONDS, () -> node.tick(timers.now()));
            }
        }

        @Override
        public void received(InetSocketAddress from, byte[] datagram) {
            if (ticks != null && !ended) {
                node.received(timers.now(), numbers.getOrDefault(from, -1), datagram);
            }
        }
    }

    @Override
    public void send(int to, byte[] datagram) {
        port.send(settings.addresses().get(to), datagram);
    }

    @Override
    public void changed(Change change) {
        changes.tell(change, node.membership());
        if (change instanceof Change.Count count) {
            counts.accept(count);
        }
    }

    @Override
    public void changed(LeaseChange change) {
        changes.tell(change, leases.tasks().get(change.task()), timers.now());
        holdings.accept(change);
    }

    /** Tells the others that it ends, and is silent from then on. */
    public void leave() {
        if (!ended) {
            ended = true;
            if (ticks != null) {
                ticks.cancel(false);
                node.leave(timers.now());
            }
            port.close();
        }
    }

    /** Returns what is held of the others, for operators. */
    public ObjectNode figures() {
        Membership m = node.membership();
        ObjectNode all = Json.object()
                .put("name", settings.identity().name())
                .put("number", settings.identity().number())
                .put("present", m.present())
                .put("cut_off", m.isCutOff())
                .put("not_heard", m.isNotHeard());
        Change.Count count = m.count();
        if (count != null) {
            all.put("alive", count.members()).put("shared_by", count.sharedBy()).put("rank", count.rank());
        }
        for (Membership.Seen s : m.seen(timers.now())) {
            ObjectNode one = all.withArray("members")
                    .addObject()
                    .put("member", s.member())
                    .put("name", s.name())
                    .put("zone", s.zone())
                    .put("state", s.state().name().toLowerCase(Locale.ROOT))
                    .put("incarnation", s.incarnation())
                    .put("age_ms", s.ageUs() / 1_000)
                    .put("why", s.why());
            List<Integer> doubters = s.doubters();
            doubters.forEach(d -> one.withArray("doubters").add(name(d)));
            m.notReachedBy(s.member())
                    .forEach(d -> one.withArray("not_reached_by").add(name(d)));
        }
        if (leases != null) {
            for (Leases.Seen t : leases.seen(timers.now())) {
                all.withArray("tasks")
                        .addObject()
                        .put("task", t.task())
                        .put("holder", t.holder() < 0 ? "" : name(t.holder()))
                        .put("here", t.holds())
                        .put("token", t.token())
                        .put("left_ms", t.leftUs() / 1_000)
                        .put("place", t.place())
                        .put("granted", t.granted())
                        .put("refused", t.refused());
            }
        }
        ObjectNode refused = all.putObject("refused");
        node.refused().forEach((why, n) -> refused.put(why.name().toLowerCase(Locale.ROOT), n));
        refused.put("body_unreadable", node.unreadable()).put("incredible", m.incredible());
        return all;
    }
}
