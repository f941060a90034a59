package grebehoist.distribution;

import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Json;
import grebehoist.config.JsonLines;
import grebehoist.engine.Log;
import grebehoist.fleet.distribution.Answer;
import grebehoist.fleet.distribution.Call;
import grebehoist.fleet.distribution.DistributionChange;
import grebehoist.fleet.distribution.DistributionNode;
import grebehoist.fleet.distribution.Holder;
import grebehoist.fleet.distribution.Item;
import grebehoist.fleet.distribution.Progress;
import grebehoist.fleet.distribution.Subscriber;
import grebehoist.fleet.wire.KeyRing;
import grebehoist.fleet.wire.Post;
import grebehoist.net.DatagramPort;
import grebehoist.net.LoopTasks;
import grebehoist.net.LoopTimers;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A proxy or a control machine of the distribution on its socket. All of it runs on the loop's thread, but for the constructor and
 * {@link #begin}.
 */
public final class DistributionEndpoint {
    /** So many scopes are told in one answer to operators. */
    private static final int MOST_TOLD = 200;
    /** A proxy that reaches no machine serves with what it has, which is nothing. */
    private static final long MOST_WAIT_US = 2_000_000;

    private final DistributionSettings settings;
    private final EventLoop loop;
    private final LoopTimers timers;
    private final Log log;
    private final JsonLines lines;
    private final DistributionNode node;
    private final DatagramPort port;
    private final Consumer<Set<String>> suspends;
    private final EverywhereSuspended suspended = new EverywhereSuspended();
    private final Map<InetSocketAddress, Integer> machines = new HashMap<>();
    /** At a machine: where each proxy was last proven to be. As many as have keys and numbers. */
    private final Map<Integer, InetSocketAddress> proxies = new HashMap<>();
    /** While a datagram is looked at: who claims to have sent it, and where it came from. */
    private int claimed = -1;

    private InetSocketAddress from;
    private boolean suspensionsChanged;
    private Future<?> ticks;
    private final long begunUs;
    private boolean settled;
    private boolean ended;

    /**
     * Makes one that is yet to begin.
     *
     * @param suspends hears which backends are suspended for all proxies that hold a scope which says so, whenever that has changed
     */
    public DistributionEndpoint(
            DistributionSettings settings, EventLoop loop, LoopTimers timers, Log log, Consumer<Set<String>> suspends) {
        this.settings = settings;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.begunUs = timers.now();
        this.suspends = suspends;
        this.lines = new JsonLines(System.err, settings.name());
        // Which life this is has to differ from any before.
        var random = new SplittableRandom(
                System.nanoTime() ^ ProcessHandle.current().pid() << 32 ^ System.currentTimeMillis());
        var setup = new DistributionNode.Setup(
                settings.member(),
                settings.members(),
                settings.layout(),
                settings.terms(),
                new KeyRing(settings.keys()),
                random);
        this.node = settings.control()
                ? DistributionNode.machine(setup, new Output())
                : DistributionNode.proxy(setup, settings.scopes(), new Output());
        this.port = new DatagramPort(loop, settings.name() + ", distribution", settings.listen(), new Listener(), log);
        for (int i = 0; i < settings.machines().size(); i++) {
            machines.put(settings.machines().get(i), i);
        }
    }

    /** Begins to listen, and to ask. */
    public void begin() {
        port.begin();
    }

    private final class Listener implements DatagramPort.Listener {
        @Override
        public void bound(InetSocketAddress at) {
            if (ended) {
                return;
            }
            node.start(timers.now());
            long tickUs = settings.control()
                    ? settings.terms().machineTickUs()
                    : settings.terms().proxyTickUs();
            ticks = LoopTasks.every(loop, log, tickUs, TimeUnit.MICROSECONDS, () -> node.tick(timers.now()));
        }

        @Override
        public void received(InetSocketAddress sender, byte[] datagram) {
            if (ticks == null || ended) {
                return;
            }
            claimed = number(sender, datagram);
            from = sender;
            try {
                boolean proven = node.received(timers.now(), claimed, datagram);
                if (proven && claimed >= settings.machines().size()) {
                    proxies.put(claimed, sender);
                }
            } finally {
                claimed = -1;
                from = null;
            }
        }

        /** A machine is where the file has it. A proxy is where it says, once it is sure that it was the one who said so. */
        private int number(InetSocketAddress sender, byte[] datagram) {
            int machine = machines.getOrDefault(sender, -1);
            if (machine >= 0 || !settings.control()) {
                return machine;
            }
            int proxy = Post.sender(datagram);
            return proxy < settings.machines().size() ? -1 : proxy;
        }
    }

    private final class Output implements DistributionNode.Output {
        @Override
        public void send(int to, byte[] datagram) {
            InetSocketAddress at = to < settings.machines().size()
                    ? settings.machines().get(to)
                    : to == claimed ? from : proxies.get(to);
            if (at != null) {
                port.send(at, datagram);
            }
        }

        @Override
        public void changed(DistributionChange change) {
            tell(change);
        }
    }

    private void tell(DistributionChange change) {
        if (change instanceof DistributionChange.InForce f) {
            lines.write(lines.line("in_force").put("scope", f.scope()).put("version", f.version()));
        } else if (change instanceof DistributionChange.Applied a) {
            suspend(suspended.applied(a.item()), a.item(), a.item().version());
        } else if (change instanceof DistributionChange.Removed r) {
            suspend(suspended.removed(r.item()), r.item(), r.version());
        } else if (change instanceof DistributionChange.SourceMoved m) {
            lines.write(lines.line("source_moved")
                    .put("scope", m.scope())
                    .put("from", m.from())
                    .put("to", m.to()));
        } else if (change instanceof DistributionChange.Refilling r) {
            lines.write(lines.line("refilling").put("scope", r.scope()).put("from", r.from()));
        } else if (change instanceof DistributionChange.NoSuchScope n) {
            lines.write(lines.line("no_such_scope").put("scope", n.scope()).put("from", n.from()));
        } else if (change instanceof DistributionChange.Committed c) {
            lines.write(lines.line("committed").put("scope", c.scope()).put("version", c.version()));
        } else if (change instanceof DistributionChange.Filled f) {
            lines.write(lines.line("filled").put("scopes", f.scopes()));
        }
    }

    /** All that one datagram brings is told to the pools together, as the loop's next task. */
    private void suspend(boolean changed, Item item, long version) {
        if (!changed) {
            return;
        }
        lines.write(lines.line(suspended.holds(item.key()) ? "suspended_everywhere" : "resumed_everywhere")
                .put("backend", item.key())
                .put("scope", item.scope())
                .put("version", version));
        if (!suspensionsChanged) {
            suspensionsChanged = true;
            loop.execute(() -> {
                suspensionsChanged = false;
                suspends.accept(suspended.ids());
            });
        }
    }

    /** Answers a writer's call, which is for this machine. */
    public Answer answer(Call call) {
        return node.holder().answer(timers.now(), call);
    }

    /** Returns whether it knows what it is to know: a proxy has heard of all of its scopes, a machine of what the others hold. */
    public boolean filled() {
        Subscriber subscriber = node.subscriber();
        return subscriber == null
                ? ticks != null && node.holder().unheard() == 0
                : subscriber.scopes().stream().allMatch(s -> subscriber.ageUs(s, timers.now()) >= 0);
    }

    /**
     * Returns whether a proxy need not wait any longer with its first clients: it has heard of all of its scopes, or that takes too long, or it
     * can't, as the process before it still has its address.
     */
    public boolean settled() {
        settled = settled || filled() || port.waits() || timers.now() - begunUs > MOST_WAIT_US;
        return settled;
    }

    /** Returns whether this is a machine, which holds scopes and answers writers. */
    public boolean control() {
        return settings.control();
    }

    /** Returns its number among its like. */
    public int number() {
        return settings.number();
    }

    /** Silent from now on. */
    public void leave() {
        if (!ended) {
            ended = true;
            if (ticks != null) {
                ticks.cancel(false);
            }
            port.close();
        }
    }

    /**
     * Returns what is held here, for operators.
     *
     * @param scope the one that is wanted, or null for all
     * @param after where it begins, without it, or null: {@value #MOST_TOLD} scopes are told in one answer, by name
     * @return null where that scope is not held
     */
    public ObjectNode figures(String scope, String after) {
        Holder holder = node.holder();
        List<String> held = (holder == null ? node.subscriber().scopes() : holder.scopes())
                .stream().sorted().toList();
        if (scope != null && !held.contains(scope)) {
            return null;
        }
        ObjectNode all = Json.object()
                .put("role", settings.control() ? "control" : "proxy")
                .put("name", settings.name())
                .put("number", settings.number())
                .put("filled", filled())
                .put("held", held.size());
        if (holder == null) {
            all.put("suspended", suspended.ids().size());
        } else {
            all.put("unheard", holder.unheard())
                    .put(
                            "zone",
                            settings.layout().machines().get(settings.number()).zone());
        }
        List<String> told = scope != null
                ? List.of(scope)
                : held.stream()
                        .filter(s -> after == null || s.compareTo(after) > 0)
                        .limit(MOST_TOLD)
                        .toList();
        var scopes = all.putArray("scopes");
        for (String s : told) {
            scopes.add(holder == null ? got(s) : progress(s, holder));
        }
        if (told.size() == MOST_TOLD) {
            all.put("after", told.get(MOST_TOLD - 1));
        }
        ObjectNode refused = all.putObject("refused");
        node.refused().forEach((why, n) -> refused.put(why.name().toLowerCase(Locale.ROOT), n));
        refused.put("body_unreadable", node.unreadable());
        return all.put("unsent", port.unsent());
    }

    private ObjectNode got(String scope) {
        Subscriber subscriber = node.subscriber();
        long ageUs = subscriber.ageUs(scope, timers.now());
        return Json.object()
                .put("scope", scope)
                .put("version", subscriber.version(scope))
                .put("items", subscriber.items(scope).size())
                .put("source", subscriber.source(scope))
                .put("age_ms", ageUs < 0 ? -1 : ageUs / 1_000);
    }

    private ObjectNode progress(String scope, Holder holder) {
        Progress p = holder.progress(timers.now(), scope);
        ObjectNode one = Json.object()
                .put("scope", scope)
                .put("version", p.version())
                .put("counts", holder.counts(scope))
                .put("known", p.known())
                .put("in_force", p.inForce())
                .put("away", p.away())
                .put("p50_us", p.p50Us())
                .put("p99_us", p.p99Us())
                .put("worst_us", p.worstUs());
        var behind = one.putArray("behind");
        p.behind()
                .forEach(b -> behind.addObject()
                        .put("proxy", b.proxy() - settings.machines().size())
                        .put("version", b.version())
                        .put("for_ms", b.forUs() / 1_000));
        return one;
    }
}
