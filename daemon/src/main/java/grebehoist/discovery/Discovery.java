package grebehoist.discovery;

import beechfall.Balancer;
import beechfall.Balancer.ListKind;
import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.config.Json;
import grebehoist.engine.Counter;
import grebehoist.engine.Listed;
import grebehoist.engine.Log;
import grebehoist.engine.LogEvent;
import grebehoist.engine.MemberSource;
import grebehoist.engine.Timers;
import grebehoist.net.LoopTasks;
import grebehoist.net.Network;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Watches discovery for the list of backends. A watch is a row of calls, each sent as soon as the last is answered; when
 * one fails the watch is over, the module is notified, and it is the module that asks again, later each time. A call whose answer is
 * overdue may have lost its other end, or wait for a discovery that is slow: a second call is made, and the first of the two that
 * is answered is the watch from then on.
 *
 * <p>Whether a watch is wanted is kept as a state, and a supervisor compares it with what is there: where a watch is wanted, and no call
 * is out and nobody has asked anew for longer than anybody may wait, the watch is opened again, and that is counted. So no single step that
 * goes wrong, whatever it was, ends the watch.
 */
public final class Discovery implements MemberSource, DiscoveryCall.Owner {
    /**
     * An answer that is later than this, beyond the time it may wait, is not coming: the other end is silent. A change counts as notified 6 s
     * after discovery had it and could be reached: of these, the pause that the module makes takes 1.2 s and a call's own way the rest.
     */
    private static final long SILENCE_MS = 3_200;
    /**
     * So long after the end of its wait an answer is overdue. What a silent watch has missed counts as notified 2 s after that end: this
     * leaves a second call 1.5 s, and a discovery that is merely late is not asked twice for it.
     */
    private static final long OVERDUE_MS = 500;

    private static final long MOST_HOLD_MS = 60_000;
    private static final long LEAST_HOLD_MS = 1_500;
    /** Each empty answer is work for a service that all proxies share: so long for each of them. */
    private static final long HOLD_FOR_EACH_MS = 500;

    private static final long NO_NEWS_MS = 50;
    /**
     * An agent on the same machine answers at once, and at no cost: one that has not in this time is silent, and is asked again. What it
     * gets at discovery's return counts as notified at once, and nothing new may go to a drained backend 250 ms later.
     */
    private static final long AGENT_RETRY_MS = 100;

    /**
     * What discovery has written counts as notified, also where the connection broke under it: of the 250 ms that are left until nothing
     * new may go to a drained backend, this is the most that a new call waits. Drawn, as all proxies may have lost their watch at once.
     */
    private static final int BROKEN_RETRY_MS = 40;

    private static final long SUPERVISION_MS = 250;
    /** The module pauses for 1.2 s at most before it asks again: a watch that nobody opens for longer than this has been lost. */
    private static final long MOST_UNATTENDED_MS = 1_500;

    private final EventLoop loop;
    private final Network network;
    private final Log log;
    private final Sink sink;
    private InetSocketAddress address;
    private final boolean pushed;
    private final long holdMs;
    private final SplittableRandom random;
    private final Timers clock;
    private final StartTimes starts = new StartTimes();
    /** The call that the watch rests on, or null. */
    private DiscoveryCall watch;
    /** A second call, made as the answer to the watch is overdue, or null; never without a watch. */
    private DiscoveryCall second;

    private boolean wanted;
    private long version = -1;
    private boolean heard;
    /** Whether the last call was answered. */
    private boolean answers = true;
    /** Since when a watch is wanted and no call is out, by the loop's clock in nanoseconds; 0 while that is not so. */
    private long unattendedSince;

    private final Future<?> supervision;

    /**
     * Makes a source that is yet to be begun with {@link #known}.
     *
     * @param clock the time that the decision module goes by
     * @param address where discovery is
     */
    public Discovery(
            Network network, Timers clock, Log log, Sink sink, InetSocketAddress address, Balancer.Settings settings) {
        this.clock = clock;
        this.loop = network.loop();
        this.network = network;
        this.log = log;
        this.sink = sink;
        this.address = address;
        this.random = new SplittableRandom(settings.seed());
        this.pushed = !settings.limits().listMustBeAsked();
        // A call whose other end has vanished looks like one that waits: until its answer is overdue no news comes.
        // Never more than twice the time within which a proxy has to ask.
        long share = pushed ? LEAST_HOLD_MS : Math.max(LEAST_HOLD_MS, HOLD_FOR_EACH_MS * settings.balancers());
        this.holdMs =
                Math.min(Math.min(MOST_HOLD_MS, share), 2 * settings.rules().askWithinUs() / 1_000);
        this.supervision = LoopTasks.every(loop, log, SUPERVISION_MS, TimeUnit.MILLISECONDS, this::supervise);
    }

    /** Returns whether a first call has ended: until then the list is as old as the last life of this proxy. */
    public boolean heard() {
        return heard;
    }

    /** Takes in the list that this proxy had in its last life, if any; the module begins with this. */
    public void known(JsonNode list) {
        if (list != null) {
            version = list.path("version").asLong(-1);
        }
        take(ListKind.CACHED, new EndpointList(list == null ? Json.object() : list));
        if (pushed) {
            watch(true);
        }
    }

    @Override
    public void watch(boolean on) {
        wanted = on;
        if (!on) {
            endWatch();
        } else if (watch == null) {
            // The first call does not wait: what was missed comes at once, or the news that there is none.
            watch = watchCall(0);
        }
    }

    /** Ends the watch and its supervision; nothing is asked from then on. */
    public void end() {
        supervision.cancel(false);
        watch(false);
    }

    private void supervise() {
        if (!wanted || watch != null && !watch.hasEnded()) {
            unattendedSince = 0;
            return;
        }
        long now = loop.ticker().nanoTime();
        if (unattendedSince == 0) {
            unattendedSince = now;
        } else if (now - unattendedSince > TimeUnit.MILLISECONDS.toNanos(MOST_UNATTENDED_MS)) {
            unattendedSince = 0;
            log.count(Counter.DISCOVERY_UNATTENDED);
            log.line("discovery: the watch was lost, it is opened again");
            endWatch();
            watch(true);
        }
    }

    private DiscoveryCall watchCall(long waitMs) {
        // Calls that fail at once come and go between two looks of the supervisor.
        unattendedSince = 0;
        // A call that does not wait may be one of many that discovery works through in turn: asked twice, it takes
        // twice as long.
        long overdueMs = waitMs == 0 && !pushed ? -1 : waitMs + (pushed ? AGENT_RETRY_MS : OVERDUE_MS);
        return call(version, waitMs, waitMs + SILENCE_MS, overdueMs);
    }

    private DiscoveryCall secondCall() {
        return call(version, 0, pushed ? AGENT_RETRY_MS : SILENCE_MS, -1);
    }

    private DiscoveryCall call(long from, long waitMs, long timeoutMs, long overdueMs) {
        return new DiscoveryCall(
                network, log, new DiscoveryCall.Question(address, from, waitMs, timeoutMs, overdueMs), this);
    }

    private void endWatch() {
        if (watch != null) {
            watch.cancel();
            watch = null;
        }
        endSecond();
    }

    private void endSecond() {
        if (second != null) {
            second.cancel();
            second = null;
        }
    }

    /** The answer to the watch is overdue, or the second call has failed. */
    private void askAgain() {
        if (watch != null && watch.isOverdue() && second == null) {
            second = secondCall();
        }
    }

    @Override
    public void overdue(DiscoveryCall call) {
        if (call == watch) {
            askAgain();
        }
    }

    /**
     * Asks at another address from now on. The backends that are known stay until it has told its own list: the whole
     * of it, as its versions need not count what those of the old address did.
     */
    public void moveTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        version = -1;
        endWatch();
        if (wanted) {
            watch(true);
        }
    }

    @Override
    public void fetch() {
        call(-1, 0, SILENCE_MS, -1);
    }

    @Override
    public void ended(DiscoveryCall call, EndpointList list) {
        if (!call.question().address().equals(address)) {
            // A list from where this proxy asked before would undo what the new address has told meanwhile.
            fetch();
            return;
        }
        heard = true;
        // Once only: a discovery that goes down breaks connections, too, and the pauses after that are the module's.
        boolean retryAtOnce = answers && call.isBroken();
        answering(list != null);
        if (list == null) {
            failed(call);
            if (retryAtOnce && !pushed) {
                later(1 + random.nextInt(BROKEN_RETRY_MS), this::openAgain);
            }
            return;
        }
        if (call == second) {
            watch.cancel();
            watch = second;
            second = null;
        } else if (call == watch) {
            endSecond();
        }
        if (list.version() < call.question().from()) {
            regressed(call, list);
            return;
        }
        if (call == watch) {
            boolean news = list.version() > version && !list.isEmpty();
            version = list.version();
            if (call.question().holdMs() == 0 || news) {
                // Before the news is taken in: a watch is over 200 ms after its last answer.
                goOn(call);
            } else {
                // One that answers at once without any news would be asked as fast as the CPU allows.
                later(NO_NEWS_MS, () -> goOn(call));
            }
        }
        take(list.kind(), list);
    }

    /** After a connection broke: the watch, or the second call beside an overdue one. */
    private void openAgain() {
        if (wanted && watch == null) {
            watch = watchCall(0);
        } else {
            askAgain();
        }
    }

    private void answering(boolean now) {
        if (now != answers) {
            answers = now;
            log.event(new LogEvent(
                    "watch",
                    address.toString(),
                    now ? "FAILING" : "ANSWERED",
                    now ? "ANSWERED" : "FAILING",
                    "a call has ended"));
        }
    }

    private void later(long delayMs, Runnable step) {
        LoopTasks.after(loop, log, delayMs, TimeUnit.MILLISECONDS, step);
    }

    /**
     * A list older than the one that this proxy has: from a stale copy of the service, or from one that counts anew.
     * What it says is ready may have been told to drain since, so only its bad news is believed; and the whole list is
     * asked for, which is taken under whatever version it comes.
     */
    private void regressed(DiscoveryCall call, EndpointList list) {
        log.line("discovery: version " + list.version() + " after "
                + call.question().from() + ", asking for the whole list");
        version = -1;
        // Not at once: two copies that take turns would be asked as fast as the CPU allows.
        later(NO_NEWS_MS, () -> {
            if (watch == call) {
                watch = watchCall(0);
            }
        });
        List<Listed> bad = starts.translate(ListKind.DELTA, list.entries(log), clock.now()).stream()
                .filter(l -> l.backend().state() != Balancer.State.READY)
                .toList();
        if (!bad.isEmpty()) {
            sink.members(ListKind.DELTA, bad);
        }
    }

    private void goOn(DiscoveryCall answered) {
        if (watch == answered) {
            // Not in step with the other proxies, which all start together.
            watch = watchCall(holdMs - random.nextLong(holdMs / 4 + 1));
        }
    }

    /** Of two calls the other may still be answered. */
    private void failed(DiscoveryCall call) {
        if (call == second) {
            second = null;
            if (pushed) {
                later(AGENT_RETRY_MS, this::askAgain);
            }
        } else if (call == watch && second != null) {
            watch = second;
            second = null;
        } else {
            watch = call == watch ? null : watch;
            failed();
        }
    }

    /** Where the module has to ask, it decides when to ask again; an agent on the same machine is simply kept up. */
    private void failed() {
        if (pushed) {
            later(AGENT_RETRY_MS, () -> watch(true));
        } else {
            sink.members(ListKind.FAILED, List.of());
        }
    }

    private void take(ListKind kind, EndpointList list) {
        sink.members(kind, starts.translate(kind, list.entries(log), clock.now()));
    }
}
