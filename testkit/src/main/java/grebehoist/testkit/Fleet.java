package grebehoist.testkit;

import beechfall.Balancer;
import beechfall.Balancer.State;
import grebehoist.engine.Timers;
import grebehoist.net.Network;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Backends of different speeds and their places in the list: they crash and come back, are drained and replaced, move.
 * Used by the stand-ins' one thread.
 */
public final class Fleet {
    private static final long MS = 1_000;
    private static final List<String> ZONES = List.of("u", "l", "s");
    private static final int QUEUE = 12;
    /** Only so long after the news that a machine leaves may another have its address: who was not told yet can't know. */
    private static final long TOLD_US = 500 * MS;

    private final StandInWire wire;
    private final Network network;
    private final Timers timers;
    private final Witness witness;
    private final StandInDiscovery discovery;
    private final Balancer.Rules rules;
    private final long idleUs;
    private final SplittableRandom random;
    private final Supplier<InetSocketAddress> addresses;
    private final boolean reuse;
    private final Consumer<ChannelFuture> started;
    private final Map<String, Balancer.RequestClass> classes = new HashMap<>();
    private final KeyMemories memories = new KeyMemories();
    private final List<Machine> machines = new ArrayList<>();
    private double capacity;

    /**
     * Makes a fleet without machines.
     *
     * @param wire what the backends speak
     * @param settings the rules' figures and the classes
     * @param idleUs a connection that has stood idle for so long is closed by a backend
     * @param addresses where the next machine is to listen; port 0 leaves it to the system
     * @param reuse whether a new machine may have the address of one that has gone. A proxy that is told an old list, or
     *         nothing, would find it where it looks for the old one, and can't know
     * @param started hears of each listener
     */
    public Fleet(
            StandInWire wire,
            Network network,
            Timers timers,
            Witness witness,
            StandInDiscovery discovery,
            Balancer.Settings settings,
            long idleUs,
            SplittableRandom random,
            Supplier<InetSocketAddress> addresses,
            boolean reuse,
            Consumer<ChannelFuture> started) {
        this.wire = wire;
        this.network = network;
        this.timers = timers;
        this.witness = witness;
        this.discovery = discovery;
        this.rules = settings.rules();
        this.idleUs = idleUs;
        this.random = random;
        this.addresses = addresses;
        this.reuse = reuse;
        this.started = started;
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    /** Returns the machines that are not about to leave, in the order in which they came. */
    public List<Machine> staying() {
        return machines.stream().filter(m -> !m.leaving).toList();
    }

    /** Returns all machines that have not gone. */
    public List<Machine> present() {
        return machines.stream().filter(m -> !m.gone).toList();
    }

    /** Returns what those that stay are worth in warm cores of speed 1. */
    public double capacity() {
        return capacity;
    }

    /** Adds a machine: warm, as one that has run for long, or cold; at an address that another has left, if there may be. */
    public Machine add(boolean warm) {
        InetSocketAddress left = machines.stream()
                .filter(m -> reuse && m.gone && m.told())
                .map(m -> m.address)
                .filter(a -> machines.stream().noneMatch(m -> !m.gone && m.address.equals(a)))
                .findFirst()
                .orElse(null);
        return new Machine(left != null ? left : addresses.get(), warm);
    }

    /** Ends all of it at once. */
    public void close() {
        machines.forEach(m -> m.backend.die());
    }

    /** A backend and its place in the list. */
    public final class Machine {
        private final String id = "m" + machines.size();
        private final int cell = machines.size() % 2;
        private final String zone = ZONES.get(random.nextInt(ZONES.size()));
        private final boolean fast = random.nextInt(3) > 0;
        private final double speed = fast ? random.nextDouble(0.85, 1.1) : random.nextDouble(0.64, 0.86);
        private final int cores = 1 + random.nextInt(2);
        private InetSocketAddress address;
        private StandInBackend backend;
        private boolean up;
        private boolean leaving;
        private boolean gone;
        private long drainedAtUs;

        private Machine(InetSocketAddress address, boolean warm) {
            this.address = address;
            machines.add(this);
            capacity += cores * speed;
            start(warm, () -> list(State.READY));
        }

        /** Returns its id in the list. */
        public String id() {
            return id;
        }

        /** Returns the process on it. */
        public StandInBackend backend() {
            return backend;
        }

        /** Returns what it is worth in warm cores of speed 1. */
        public double worth() {
            return cores * speed;
        }

        /** Returns whether its process runs. */
        public boolean up() {
            return up;
        }

        /** Returns whether it is drained, to go. */
        public boolean leaving() {
            return leaving;
        }

        private void start(boolean warm, Runnable then) {
            up = true;
            backend = new StandInBackend(
                    new StandInBackend.Machine(id, fast ? "std" : "old", zone, cell, cores, speed, QUEUE, idleUs),
                    address,
                    wire,
                    network,
                    timers,
                    witness,
                    rules,
                    classes,
                    memories);
            ChannelFuture listening = backend.start(warm);
            started.accept(listening);
            StandInBackend starting = backend;
            listening.addListener(f -> {
                // It may have been told to die before it could listen.
                if (f.isSuccess() && up && backend == starting) {
                    address = starting.address();
                    then.run();
                }
            });
        }

        private void list(State state) {
            discovery.put(new StandInDiscovery.Entry(
                    id,
                    "127.0.0.1:" + address.getPort(),
                    zone,
                    fast ? "std" : "old",
                    cell,
                    state,
                    fast ? 1 : 0.8,
                    backend.startedAtUs()));
        }

        /** Returns whether all that can hear have heard that it leaves. */
        private boolean told() {
            return timers.now() - drainedAtUs >= TOLD_US;
        }

        private void die() {
            up = false;
            backend.die();
        }

        /** The process dies, and comes back cold in the same place; discovery notices either after a moment. */
        public void crash(long backAtUs) {
            if (leaving || !up) {
                return;
            }
            die();
            timers.at(timers.now() + random.nextLong(50 * MS, 2_000 * MS), () -> {
                if (!leaving && !up) {
                    discovery.state(id, State.GONE);
                }
            });
            timers.at(backAtUs, () -> {
                if (!leaving) {
                    start(
                            false,
                            () -> timers.at(timers.now() + random.nextLong(1 * MS, 500 * MS), () -> {
                                if (!leaving) {
                                    list(State.READY);
                                }
                            }));
                }
            });
        }

        /** It is drained, and goes; a cold successor may come under a new id, perhaps at the same address. */
        public void leave(long goneAtUs, boolean successor) {
            if (leaving) {
                return;
            }
            leaving = true;
            capacity -= worth();
            drainedAtUs = timers.now();
            discovery.state(id, State.DRAINING);
            timers.at(goneAtUs, () -> {
                die();
                gone = true;
                discovery.state(id, State.GONE);
                if (successor) {
                    new Machine(reuse && random.nextBoolean() && told() ? address : addresses.get(), false);
                }
            });
        }

        /** The same id is at another address from now on, with a process that has just started. */
        public void move() {
            if (up && !leaving) {
                die();
                address = addresses.get();
                start(false, () -> list(State.READY));
            }
        }

        /** It is drained, and wanted again later. */
        public void drainUntil(long backAtUs) {
            discovery.state(id, State.DRAINING);
            timers.at(backAtUs, () -> {
                if (!leaving) {
                    discovery.state(id, State.READY);
                }
            });
        }
    }
}
