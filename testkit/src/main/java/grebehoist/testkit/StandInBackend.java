package grebehoist.testkit;

import beechfall.Balancer;
import grebehoist.engine.Timers;
import grebehoist.net.Network;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;

/**
 * A backend that does as it is told: serves with a number of cores of some speed, cold after a start, and fails in the
 * ways of {@link Act}. Each thing that it sees goes to the witness. Used by the stand-ins' one thread.
 */
public final class StandInBackend {
    /** What it does with a request. */
    public enum Act {
        /** Runs it and answers. */
        SERVE,
        /** Takes it, runs it, and never answers. */
        SILENT,
        /** Takes it and neither runs nor answers it. */
        VANISH,
        /** Ends the connection once the head is there, before the request's last byte counts. */
        RESET_EARLY,
        /** Runs it and ends the connection without an answer. */
        RESET_LATE,
        /** Runs it, answers half, and ends the connection. */
        HALF,
        /** Runs it, answers half, and says no more. */
        HALF_SILENT,
        /** Runs it and answers in a few pieces. */
        DRIP,
        /** Runs it and answers twice. */
        TWICE,
        /** Turns it away: never ran. */
        NEVER_RAN,
        /** Says that it can't now, without the mark that proves that it never ran; it has run. */
        UNAVAILABLE,
        /** Runs it and answers 500. */
        ERROR,
        /** Runs it and answers with noise. */
        NOISE,
        /** Runs it, answers, and ends the connection without a word about that. */
        CLOSE
    }

    /**
     * A machine.
     *
     * @param cell where keys are remembered in cells
     * @param speed of a core, 1 for one that does a microsecond of work in a microsecond
     * @param queue how many may wait beside those that run
     * @param idleUs a connection that has stood idle for so long is closed
     */
    public record Machine(
            String id, String kind, String zone, int cell, int cores, double speed, int queue, long idleUs) {}

    private static final StandInWire.Pace DRIP = new StandInWire.Pace(4, 30_000);
    private static final long SWEEP_US = 50_000;
    /** What it costs to see that a key is known. */
    private static final long REPEAT_US = 500;

    private final Machine machine;
    private final InetSocketAddress address;
    private final StandInWire wire;
    private final Network network;
    private final Timers timers;
    private final Witness witness;
    private final Balancer.Rules rules;
    private final Map<String, Balancer.RequestClass> classes;
    private final KeyMemories memories;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Queue<Job> queue = new ArrayDeque<>();
    private Channel listener;
    private Act act = Act.SERVE;
    private double slower = 1;
    private long startedAtUs;
    private int running;
    private int life;
    private boolean fallen;
    private long made;
    private long runs;

    /**
     * Makes a backend that is yet to be started.
     *
     * @param wire what it speaks
     * @param memories what its groups remember of keys
     */
    public StandInBackend(
            Machine machine,
            InetSocketAddress address,
            StandInWire wire,
            Network network,
            Timers timers,
            Witness witness,
            Balancer.Rules rules,
            Map<String, Balancer.RequestClass> classes,
            KeyMemories memories) {
        this.machine = machine;
        this.address = address;
        this.wire = wire;
        this.network = network;
        this.timers = timers;
        this.witness = witness;
        this.rules = rules;
        this.classes = classes;
        this.memories = memories;
    }

    /** Returns what it is made of. */
    public Machine machine() {
        return machine;
    }

    /** Returns where it listens, once it has been started; the port is the system's choice if the one asked for was 0. */
    public InetSocketAddress address() {
        return listener != null && listener.localAddress() instanceof InetSocketAddress bound ? bound : address;
    }

    /** Returns when it last started, in microseconds; 0 for long ago. */
    public long startedAtUs() {
        return startedAtUs;
    }

    /** Returns how many requests it has run. */
    public long runs() {
        return runs;
    }

    /** Returns how many requests it holds. */
    public int held() {
        return running + queue.size();
    }

    /** Starts it: warm, as one that has run for long, or cold from now on. */
    public ChannelFuture start(boolean warm) {
        startedAtUs = warm ? 0 : timers.now();
        fallen = false;
        return listen();
    }

    private ChannelFuture listen() {
        int thisLife = life;
        ChannelFuture bound = network.server()
                .clone()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        var connection = new Connection(channel);
                        connection.end = wire.backend(channel, connection);
                        channel.pipeline().addLast(connection);
                    }
                })
                .bind(network.address(address));
        listener = bound.channel();
        timers.at(timers.now() + SWEEP_US, () -> sweep(thisLife));
        return bound;
    }

    /** From now on it does this with each request that comes whole. */
    public void act(Act next) {
        act = next;
    }

    /** From now on work takes so many times as long. */
    public void slower(double times) {
        slower = times;
    }

    /** The process dies: connections are reset, new ones refused, what it had is gone. */
    public void die() {
        life++;
        if (listener != null) {
            listener.close();
        }
        List.copyOf(connections).forEach(Connection::breakOff);
        queue.clear();
        running = 0;
        witness.coldNoMore(machine.id());
    }

    private void sweep(int thisLife) {
        if (thisLife != life) {
            return;
        }
        long now = timers.now();
        List.copyOf(connections).forEach(c -> {
            if (c.job == null && now - c.idleSinceUs > machine.idleUs()) {
                c.channel.close();
            }
        });
        timers.at(now + SWEEP_US, () -> sweep(thisLife));
    }

    private double warmth(long now) {
        if (startedAtUs == 0 || now - startedAtUs >= rules.coldUs()) {
            return 1;
        }
        return rules.coldFrom() + (1 - rules.coldFrom()) * (now - startedAtUs) / rules.coldUs();
    }

    /** A request that has come whole. */
    private final class Job {
        private final Connection connection;
        private final Witness.Sent sent;
        private final String id;
        private final Balancer.RequestClass type;
        private final String key;
        private final long workUs;
        private final Act how = act;
        private final int itsLife = life;
        private String body;
        private boolean repeat;

        Job(Connection connection, Witness.Sent sent, StandInWire.Call call) {
            this.connection = connection;
            this.sent = sent;
            this.id = call.id();
            this.type = classes.get(call.requestClass());
            this.key = call.key();
            this.workUs = call.workUs();
        }

        /** It is taken in. Its key counts from now on, wherever in the group a repeat comes: the windows are of sends. */
        void accept() {
            long now = timers.now();
            KeyMemory memory = key == null || type == null ? null : memories.of(group(type));
            String remembered = memory == null ? null : memory.recall(type.name() + key, now);
            repeat = remembered != null;
            body = repeat ? remembered : id + " by " + machine.id() + " " + ++made;
            if (memory != null && !repeat) {
                memory.remember(type.name() + key, body, now, type.windowUs());
            }
            witness.made(body, id);
            queue.add(this);
        }

        void run() {
            long now = timers.now();
            running++;
            if (repeat) {
                sent.repeatDropped();
            } else {
                runs++;
                sent.ran(now);
            }
            double speed = machine.speed() * warmth(now) / slower;
            timers.at(now + (long) (repeat ? REPEAT_US : workUs / speed), () -> done(body));
        }

        private void done(String body) {
            if (itsLife != life) {
                return;
            }
            running--;
            connection.answer(this, body);
            next();
        }
    }

    private void next() {
        while (running < machine.cores() && !queue.isEmpty()) {
            queue.remove().run();
        }
    }

    private String group(Balancer.RequestClass type) {
        return KeyMemories.group(type == null ? Balancer.Scope.ALL : type.scope(), machine);
    }

    private final class Connection extends ChannelInboundHandlerAdapter implements StandInWire.BackendSide {
        private final Channel channel;
        private StandInWire.BackendEnd end;
        private StandInWire.Call call;
        private Witness.Sent sent;
        private Job job;
        private long idleSinceUs = timers.now();

        Connection(Channel channel) {
            this.channel = channel;
            connections.add(this);
        }

        @Override
        public void began(StandInWire.Call begun) {
            call = begun;
            long now = timers.now();
            sent = witness.began(machine.id(), group(classes.get(call.requestClass())), call.id(), now);
            if (call.patienceUs() != StandInWire.Call.NOT_TOLD) {
                sent.told(call.patienceUs(), now);
            }
            if (act == Act.RESET_EARLY) {
                call = null;
                channel.close();
            }
        }

        @Override
        public void garbled() {
            if (call != null) {
                witness.garbled(call.id(), timers.now());
            }
        }

        @Override
        public void whole() {
            if (call == null) {
                return;
            }
            long now = timers.now();
            sent.whole(now);
            var next = new Job(this, sent, call);
            boolean oneway = call.oneway();
            call = null;
            job = oneway ? null : next;
            if (fallen) {
                channel.close();
                return;
            }
            double capacity = machine.cores() * machine.speed() * warmth(now);
            if (warmth(now) < 1 && witness.coldWork(machine.id(), next.workUs, capacity, now)) {
                fallen = true;
                die();
                return;
            }
            if (next.how == Act.VANISH) {
                return;
            }
            if (next.how == Act.NEVER_RAN || held() >= machine.cores() + machine.queue()) {
                sent.turnedAway(now);
                if (!oneway) {
                    write(end.reply(StandInWire.Reply.NEVER_RAN, ""));
                }
                return;
            }
            next.accept();
            if (oneway) {
                oneway(next);
            }
            next();
        }

        /** Nobody is told how it ends; but some servers answer what they don't like all the same. */
        private void oneway(Job taken) {
            over();
            switch (taken.how) {
                case ERROR, UNAVAILABLE -> write(end.reply(StandInWire.Reply.ERROR, ""));
                case NOISE -> write(end.reply(StandInWire.Reply.NOISE, ""));
                case RESET_LATE, CLOSE -> channel.close();
                default -> {}
            }
        }

        private void answer(Job done, String body) {
            if (job != done || !channel.isActive()) {
                return;
            }
            byte[] ok = end.reply(StandInWire.Reply.OK, body);
            switch (done.how) {
                case SERVE -> drip(ok, 0, end.pace(body));
                case TWICE -> {
                    byte[] both = new byte[2 * ok.length];
                    System.arraycopy(ok, 0, both, 0, ok.length);
                    System.arraycopy(ok, 0, both, ok.length, ok.length);
                    write(both);
                }
                case CLOSE -> {
                    write(ok);
                    channel.close();
                }
                case HALF -> {
                    send(ok, ok.length - body.length() / 2 - 1);
                    breakOff();
                }
                case HALF_SILENT -> {
                    send(ok, ok.length - body.length() / 2 - 1);
                    witness.brokeOff(done.id);
                }
                case DRIP -> drip(ok, 0, DRIP);
                case ERROR -> write(end.reply(StandInWire.Reply.ERROR, ""));
                case UNAVAILABLE -> write(end.reply(StandInWire.Reply.UNAVAILABLE, ""));
                case NOISE -> write(end.reply(StandInWire.Reply.NOISE, ""));
                case RESET_LATE -> channel.close();
                default -> {}
            }
        }

        /** Ends the connection from this side, whatever is on its way. */
        private void breakOff() {
            if (job != null) {
                witness.brokeOff(job.id);
            }
            channel.close();
        }

        private void drip(byte[] bytes, int from, StandInWire.Pace pace) {
            if (!channel.isActive()) {
                return;
            }
            int to = pace.end(from, bytes.length);
            if (to == bytes.length) {
                over();
            }
            channel.writeAndFlush(Unpooled.copiedBuffer(bytes, from, to - from));
            if (to < bytes.length) {
                timers.at(timers.now() + pace.pauseUs(), () -> drip(bytes, to, pace));
            }
        }

        private void send(byte[] bytes, int length) {
            channel.writeAndFlush(Unpooled.copiedBuffer(bytes, 0, length));
        }

        private void write(byte[] bytes) {
            over();
            ByteBuf all = Unpooled.wrappedBuffer(bytes);
            channel.writeAndFlush(all);
        }

        /** The attempt is out no more, and the connection is free for the next. */
        private void over() {
            if (sent != null) {
                sent.over(timers.now());
            }
            job = null;
            idleSinceUs = timers.now();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            connections.remove(this);
            over();
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
