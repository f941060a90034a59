package grebehoist.search;

import beechfall.Balancer;
import beechfall.Balancer.Effect;
import beechfall.Balancer.RequestClass;
import beechfall.Balancer.Scope;
import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.config.Json;
import grebehoist.engine.Attempt;
import grebehoist.engine.Intake;
import grebehoist.engine.Listed;
import grebehoist.engine.Log;
import grebehoist.engine.Payload;
import grebehoist.engine.Request;
import grebehoist.engine.Responder;
import grebehoist.engine.Transport;
import grebehoist.net.Front;
import grebehoist.net.LoopTimers;
import grebehoist.net.Network;
import grebehoist.net.Sockets;
import grebehoist.net.VirtualLoop;
import grebehoist.pool.Pool;
import grebehoist.testkit.Fleet;
import grebehoist.testkit.StandInBackend;
import grebehoist.testkit.StandInClients;
import grebehoist.testkit.StandInClients.Manner;
import grebehoist.testkit.StandInDiscovery;
import grebehoist.testkit.StandInWire;
import grebehoist.testkit.Traffic;
import grebehoist.testkit.Witness;
import grebehoist.thrift.ThriftOptions;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Plays a script: real proxies on event loops of their own, between stand-ins on another, all on one virtual clock and
 * one thread, connected by channels inside the process.
 */
final class World {
    /** How a run went. */
    record Report(
            Script script, List<Witness.Violation> violations, List<String> errors, Map<Witness.Count, Long> counts) {
        boolean broken() {
            return !violations.isEmpty() || !errors.isEmpty();
        }

        /** Returns what went wrong first, without the figures: a smaller script is the same find if this is equal. */
        String find() {
            return !errors.isEmpty()
                    ? "error"
                    : violations.isEmpty() ? "" : violations.get(0).rule().name();
        }
    }

    private static final long MS = 1_000;
    private static final long START_US = 1_800_000_000_000_000L;
    /** After the last arrival, until all is answered and connections and retries have come to rest. */
    private static final long SETTLE_US = 9_000 * MS;

    private static final long IDLE_US = 1_500 * MS;
    private static final int SOCKETS = 512;
    private static final int MAX_FRAME = 64 * 1024;

    static final List<RequestClass> CLASSES = List.of(
            new RequestClass("read", 300 * MS, 1_000 * MS, 1, 0, Effect.SAFE, Scope.ALL, 0),
            new RequestClass("book", 300 * MS, 1_250 * MS, 2, 0, Effect.KEYED, Scope.ZONE, 3_000 * MS),
            new RequestClass("pay", 200 * MS, 1_000 * MS, 10, 0, Effect.KEYED, Scope.ZONE, 600 * MS),
            new RequestClass("note", 300 * MS, 1_000 * MS, 1, 0.2, Effect.KEYED, Scope.CELL, 400 * MS),
            new RequestClass("file", 300 * MS, 1_000 * MS, 2, 0, Effect.KEYED, Scope.ALL, 2_000 * MS),
            new RequestClass("vote", 300 * MS, 1_000 * MS, 3, 0, Effect.UNSAFE, Scope.ALL, 0));
    private static final double[] SHARES = {0.4, 0.2, 0.15, 0.08, 0.07, 0.1};
    private static final List<String> ZONES = List.of("u", "l", "s");
    private static final List<Balancer.Tenant> TENANTS =
            List.of(new Balancer.Tenant("large", 100), new Balancer.Tenant("small", 30));

    /** Held, or it would be collected with its level. */
    private static final Logger CHANNELS = Logger.getLogger("io.netty.channel.local.LocalChannel");

    static {
        // It warns of each channel whose other end's loop has ended: here that is a process that was killed.
        CHANNELS.setLevel(Level.OFF);
    }

    private final Script script;
    private final Pool.Wiring wiring;
    private final SplittableRandom random;
    private final MockTicker ticker = Ticker.newMockTicker();
    private final Network.InProcess inProcess = new Network.InProcess();
    private final VirtualLoop outside = new VirtualLoop(ticker);
    private final Network outsideNetwork = Network.inProcess(outside, inProcess);
    private final LoopTimers timers = new LoopTimers(outside, START_US);
    private final Balancer.Rules rules;
    private final Balancer.Limits limits;
    private final Witness witness;
    private final StandInDiscovery discovery;
    private final StandInClients clients;
    private final List<Proxy> proxies = new ArrayList<>();
    private final Fleet fleet;
    private final Traffic traffic;
    private final List<String> errors = new ArrayList<>();
    private int nextPort = 10_000;

    private World(Script script, Pool.Wiring wiring, Consumer<String> trace) {
        this.script = script;
        this.wiring = wiring;
        this.random = new SplittableRandom(script.seed() ^ 0x9E3779B97F4A7C15L);
        // Cold for less long than in service, so that a short run has seen all of it.
        this.rules = new Balancer.Rules(0.4, 3_000 * MS, 4, 1_000 * MS, 10_000 * MS, false);
        this.limits = new Balancer.Limits(
                random.nextInt(4) > 0, false, false, random.nextInt(4) > 0, 4, random.nextInt(4) > 0 ? 1_000 * MS : 0);
        this.witness = new Witness(Witness.Terms.of(settings(0), 0));
        this.witness.trace(trace);
        StandInWire wire = script.protocol().wire(script.seed());
        this.discovery = new StandInDiscovery(outsideNetwork, timers, witness);
        this.clients = new StandInClients(
                wire,
                outsideNetwork,
                timers,
                witness,
                i -> proxies.get(i).address,
                (i, at) -> proxies.get(i).excused(at));
        boolean reuse = script.steps().stream()
                .map(Script.Step::fault)
                .noneMatch(f -> f == Fault.KILL || f.name().startsWith("DISCOVERY"));
        this.fleet = new Fleet(
                wire,
                outsideNetwork,
                timers,
                witness,
                discovery,
                settings(0),
                IDLE_US,
                random,
                this::nextAddress,
                reuse,
                this::bound);
        this.traffic = new Traffic(
                timers,
                clients,
                random,
                settings(0),
                SHARES,
                () -> script.load() * fleet.capacity(),
                () -> random.nextInt(proxies.size()));
    }

    /** Plays a script with the program as it is in service. */
    static Report play(Script script) {
        return play(script, Pool.Wiring.IN_SERVICE);
    }

    /** Plays a script with a program that differs somewhere. */
    static Report play(Script script, Pool.Wiring wiring) {
        return play(script, wiring, line -> {});
    }

    /** Plays a script, and tells each attempt and each answer as a line. */
    static Report play(Script script, Pool.Wiring wiring, Consumer<String> trace) {
        return new World(script, wiring, trace).run();
    }

    private Balancer.Settings settings(int rank) {
        return new Balancer.Settings(
                script.proxies(),
                rank,
                ZONES.get(rank % ZONES.size()),
                4 * MS,
                CLASSES,
                TENANTS,
                0.05,
                false,
                limits,
                rules,
                script.seed() + rank);
    }

    private InetSocketAddress nextAddress() {
        return new InetSocketAddress("127.0.0.1", nextPort++);
    }

    private Report run() {
        for (int i = 0; i < script.backends(); i++) {
            fleet.add(true);
        }
        advance(0);
        for (int i = 0; i < script.proxies(); i++) {
            proxies.add(new Proxy(i, nextAddress(), nextAddress()));
        }
        proxies.forEach(Proxy::live);
        traffic.oneway(script.protocol().onewayShare());
        // Clients come when all proxies are ready.
        advance(300 * MS);
        long begin = timers.now();
        for (Script.Step step : script.steps()) {
            timers.at(begin + step.atMs() * MS, () -> begin(step));
        }
        traffic.run(begin + script.lengthMs() * MS);
        advance(script.lengthMs() * MS + SETTLE_US);
        proxies.forEach(Proxy::wake);
        advance(SETTLE_US);
        witness.finish(timers.now());
        var violations = new ArrayList<>(witness.violations());
        for (Proxy p : proxies) {
            if (p.pool.open() != 0) {
                violations.add(new Witness.Violation(
                        Witness.Rule.ANSWER,
                        "proxy " + p.number,
                        timers.now(),
                        "keeps " + p.pool.open() + " requests when all is over"));
            }
        }
        if (clients.rudeUnanswered() > 0) {
            violations.add(new Witness.Violation(
                    Witness.Rule.ANSWER,
                    "rude clients",
                    timers.now(),
                    clients.rudeUnanswered() + " had neither an error nor a close in time"));
        }
        var counts = new EnumMap<Witness.Count, Long>(Witness.Count.class);
        for (Witness.Count c : Witness.Count.values()) {
            counts.put(c, witness.count(c));
        }
        close();
        return new Report(script, violations, errors, counts);
    }

    private void close() {
        proxies.forEach(p -> end(p.loop));
        end(outside);
    }

    private static void end(VirtualLoop loop) {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        while (!loop.isTerminated()) {
            loop.runNow();
        }
    }

    private void bound(ChannelFuture listening) {
        listening.addListener(f -> {
            if (!f.isSuccess() && !(f.cause() instanceof ClosedChannelException)) {
                errors.add("could not listen: " + f.cause());
            }
        });
    }

    // Time

    private void advance(long us) {
        long until = ticker.nanoTime() + us * 1_000;
        while (true) {
            boolean any = true;
            while (any) {
                any = outside.runDue();
                for (Proxy p : proxies) {
                    any |= !p.paused && p.loop != null && p.loop.runDue();
                }
            }
            long next = outside.untilNextNanos();
            for (Proxy p : proxies) {
                long own = p.paused || p.loop == null ? -1 : p.loop.untilNextNanos();
                next = own >= 0 && (next < 0 || own < next) ? own : next;
            }
            long left = until - ticker.nanoTime();
            if (left <= 0) {
                return;
            }
            ticker.advance(next < 0 ? left : Math.max(1, Math.min(next, left)), TimeUnit.NANOSECONDS);
        }
    }

    // Faults

    private void begin(Script.Step step) {
        long end = timers.now() + step.forMs() * MS;
        Fault fault = step.fault();
        switch (fault.target()) {
            case BACKEND -> {
                List<Fleet.Machine> here = fleet.staying();
                if (!here.isEmpty()) {
                    begin(fault, here.get(step.target() % here.size()), step, end);
                }
            }
            case PROXY -> {
                Proxy p = proxies.get(step.target() % proxies.size());
                if (fault == Fault.PAUSE) {
                    p.pause();
                    timers.at(end, p::wake);
                } else if (!p.paused && !p.dead) {
                    p.die();
                    timers.at(end, p::live);
                }
            }
            default -> begin(fault, step, end);
        }
    }

    private void begin(Fault fault, Fleet.Machine m, Script.Step step, long end) {
        if (fault.act() != null) {
            m.backend().act(fault.act());
            timers.at(end, () -> m.backend().act(StandInBackend.Act.SERVE));
            return;
        }
        switch (fault) {
            case SLOW -> {
                m.backend().slower(step.size());
                timers.at(end, () -> m.backend().slower(1));
            }
            case CRASH -> m.crash(end);
            case REPLACE -> m.leave(end, true);
            case SHRINK -> {
                if (fleet.staying().size() > 1) {
                    m.leave(end, false);
                }
            }
            case MOVE -> m.move();
            case DRAIN_AND_BACK -> m.drainUntil(end);
            default -> throw new IllegalStateException("no such fault");
        }
    }

    private void begin(Fault fault, Script.Step step, long end) {
        switch (fault) {
            case GROW -> fleet.add(false);
            case DISCOVERY_DOWN -> discovery(StandInDiscovery.Mode.DOWN, end);
            case DISCOVERY_SILENT -> discovery(StandInDiscovery.Mode.SILENT, end);
            case DISCOVERY_BUSY -> discovery(StandInDiscovery.Mode.BUSY, end);
            case DISCOVERY_NOISE -> discovery(StandInDiscovery.Mode.NOISE, end);
            case DISCOVERY_STALE -> discovery(StandInDiscovery.Mode.STALE, end);
            case BURST -> {
                traffic.burst(step.size());
                timers.at(end, () -> traffic.burst(1));
            }
            case HANG_UPS -> manner(Manner.HANGS_UP, step.size(), end);
            case DAWDLERS -> manner(Manner.DAWDLES, step.size(), end);
            case HALF_WAYS -> manner(Manner.HALF_WAY, step.size(), end);
            case RUDE -> manner(Manner.RUDE, step.size() / 4, end);
            default -> throw new IllegalStateException("no such fault");
        }
    }

    private void discovery(StandInDiscovery.Mode mode, long end) {
        discovery.mode(mode);
        timers.at(end, () -> discovery.mode(StandInDiscovery.Mode.UP));
    }

    private void manner(Manner manner, double share, long end) {
        traffic.manner(manner, share);
        timers.at(end, () -> traffic.manner(manner, 0));
    }

    /** A proxy, in one life after the other. */
    private final class Proxy {
        private final int number;
        private final InetSocketAddress address;
        private final InetSocketAddress discoveryAt;
        private VirtualLoop loop;
        private Pool pool;
        private boolean[] alive;
        private boolean paused;
        private boolean dead = true;
        private String known;
        private long wokeAt = Long.MIN_VALUE;

        Proxy(int number, InetSocketAddress address, InetSocketAddress discoveryAt) {
            this.number = number;
            this.address = address;
            this.discoveryAt = discoveryAt;
            bound(discovery.listen(discoveryAt));
            known = random.nextBoolean() ? discovery.known() : null;
        }

        void live() {
            dead = false;
            paused = false;
            wokeAt = timers.now();
            loop = new VirtualLoop(ticker);
            var network = Network.inProcess(loop, inProcess);
            boolean[] life = {true};
            alive = life;
            var errors = new Errors();
            var host = new Pool.Host(
                    network, new LoopTimers(loop, timers.now()), new Sockets(loop, errors, SOCKETS), errors);
            var spec = new Pool.Spec(
                    "n" + number,
                    script.protocol().pool(),
                    settings(number),
                    discoveryAt,
                    IDLE_US,
                    200 * MS,
                    MAX_FRAME);
            pool = new Pool(
                    host,
                    spec,
                    new Pool.Wiring(
                            wiring.module(),
                            t -> new MortalTransport(wiring.transport().apply(t), life),
                            i -> new MortalIntake(wiring.intake().apply(i), life),
                            wiring.sink()));
            pool.begin(read(known));
            bound(front().listen(network, address));
            loop.runDue();
        }

        private Front front() {
            ThriftOptions options = script.protocol().options(script.seed(), CLASSES, MAX_FRAME);
            return options == null ? pool.httpFront() : pool.thriftFront(options, "n" + number + "-");
        }

        /** All that it holds is cut off, and nothing of it does anything any more. */
        void die() {
            dead = true;
            alive[0] = false;
            known = discovery.known();
            end(loop);
            loop = null;
            witness.forgetProxy(number);
        }

        void pause() {
            paused = !dead;
        }

        void wake() {
            if (paused) {
                paused = false;
                wokeAt = timers.now();
            }
        }

        boolean excused(long at) {
            return dead || paused || at - wokeAt < 20 * MS;
        }
    }

    private static JsonNode read(String json) {
        try {
            return json == null ? null : Json.read(new ByteArrayInputStream(json.getBytes(StandardCharsets.US_ASCII)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** An error inside the program is one, whether or not it breaks a rule this time. */
    private final class Errors implements Log {
        @Override
        public void line(String text) {}

        @Override
        public void failure(String what, Throwable cause) {
            errors.add(
                    what + ": " + cause + " at " + (cause.getStackTrace().length > 0 ? cause.getStackTrace()[0] : "?"));
        }
    }

    /** A process that has died sends nothing any more, whatever its objects are told while they are taken apart. */
    private record MortalTransport(Transport transport, boolean[] alive) implements Transport {
        @Override
        public List<? extends Attempt> members(Balancer.ListKind kind, List<Listed> listed) {
            return transport.members(kind, listed);
        }

        @Override
        public boolean anyReady() {
            return transport.anyReady();
        }

        @Override
        public Attempt attempt(String backend, Payload request, long deadlineUs, Attempt.End end) {
            return alive[0] ? transport.attempt(backend, request, deadlineUs, end) : null;
        }

        @Override
        public void release(String backend) {
            transport.release(backend);
        }
    }

    private record MortalIntake(Intake intake, boolean[] alive) implements Intake {
        @Override
        public boolean knows(String id) {
            return intake.knows(id);
        }

        @Override
        public void whole(String id, long deadlineUs) {
            intake.whole(id, deadlineUs);
        }

        @Override
        public void giveUp(String id, String why) {
            intake.giveUp(id, why);
        }

        @Override
        public void arrived(Request request, Responder responder) {
            intake.arrived(request, new Responder() {
                @Override
                public void served(Payload answer) {
                    if (alive[0]) {
                        responder.served(answer);
                    } else {
                        answer.release();
                    }
                }

                @Override
                public void refused(long retryAfterUs) {
                    if (alive[0]) {
                        responder.refused(retryAfterUs);
                    }
                }

                @Override
                public void failed() {
                    if (alive[0]) {
                        responder.failed();
                    }
                }
            });
        }

        @Override
        public void clientGone(String id) {
            intake.clientGone(id);
        }
    }
}
