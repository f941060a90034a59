package beechfall;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Decides where one proxy sends its requests. Settings, events and actions are in Balancer.java.
 *
 * <p>A request goes to the eligible backend with the earliest deadline (currentTime + 1) / weight, with
 * weight = c / sum of c and c = 1 / response time of the backend's kind, as this proxy has seen it.
 */
public final class Policy implements Balancer {
    /** A backend that is likely warm for a request's key counts as this many times its weight. */
    private static final double WARM = 4;
    /** A backend in the proxy's own zone counts as this many times its weight. */
    private static final double NEAR = 4;
    /** So many proxies share a backend, if there are no more proxies than backends. */
    private static final double PART = 1.5;
    /** A backend's c is never less than this part of the largest. */
    private static final double FLOOR = 0.05;
    /** One that is not trusted, or was tried before, comes after all others. */
    private static final double DISTRUST = 1e18;

    private static final double TRIED = 1e6;
    /** Attempts out may take this part of the shortest aim, by the rate of answers; held ones that again. */
    private static final double CROWD = 1 / 5.0;
    /** But never less than this part of the least mean response time, or backends idle and it cannot grow. */
    private static final double BUSY = 1.2;
    /** Attempts out for each backend, by all proxies, that are never too many; under 3 for one proxy it is a mean. */
    private static final double CROWD_FLOOR = 3;
    /** What a refresh keeps of what backends were seen to bear. */
    private static final double BORNE_KEPT = 0.8;
    /** Further attempts allowed for each request, and how many may be saved up. */
    private static final double RETRY_RATE = 0.2;

    private static final double RETRY_BURST = 10;
    /** An attempt is cut off after this multiple of the time to its aim: sooner, its work goes on unseen. */
    private static final double LATE = 3;
    /** A change counts as told 6 s after it can be heard: 1.2 s may go by between two calls, and a call takes 3.2 s at most. */
    private static final double LONGEST_PAUSE_US = 800_000;
    /** How many attempts the share of errors among all remembers. */
    private static final double ERROR_MEMORY = 256;

    private Settings settings;
    private final Rules rules;
    private final SlowStart slowStart;
    private final Random random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, TenantQuota> quotas = new HashMap<>();
    private final Map<String, Long> leastLeft = new HashMap<>();
    private final Map<String, Kind> kinds = new HashMap<>();
    private final Kind all = new Kind();
    private final Map<String, Server> byId = new HashMap<>();
    private final Order order = new Order();
    private final Map<String, Request> requests = new HashMap<>();
    private final long refreshUs;
    private final int flowsOfClass;
    private long refreshAt = Long.MIN_VALUE;
    private double retryTokens = RETRY_BURST;
    private long askAt = Long.MIN_VALUE;
    private int failedAsks;
    private int outstanding;
    private final long crowdUs;
    private final List<Request> held = new ArrayList<>();
    private double room;
    private double spare;
    private double acting = 1;
    private double errorShare;
    private long spareAt;
    private long wakeAt = Long.MIN_VALUE;
    private double answersPerUs;
    private double borne;
    private int refreshes;
    private double idleUs;
    private long answersAt;
    private long now;
    private Consumer<Action> out;
    private BiConsumer<Server, Server> oracle;

    /** Starts an instance that knows nothing but its settings. */
    public Policy(Settings settings) {
        this.settings = settings;
        this.rules = settings.rules();
        this.slowStart = new SlowStart(rules);
        this.random = new Random(settings.seed());
        settings.classes().forEach(c -> classes.put(c.name(), c));
        settings.tenants().forEach(t -> quotas.put(t.name(), new TenantQuota(t, quotas.size())));
        this.flowsOfClass = 1 + quotas.size();
        var aims = settings.classes().stream().mapToLong(RequestClass::aimUs).summaryStatistics();
        this.crowdUs = (long) (CROWD * aims.getMin());
        this.refreshUs = 2 * aims.getMax();
    }

    /** A request that has no final answer yet, or has attempts still out, and the ledger of its attempts. */
    private static final class Request {
        private final String id;
        private final RequestClass type;
        private final int flow;
        private final String key;
        private final double worth;
        private final long aimAt;
        private final long deadline;
        private final long readUs;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private int out;
        private boolean over;
        private long giveUpAt;
        private double cheaper;
        private Server home;

        Request(
                String id,
                RequestClass type,
                int flow,
                String key,
                double worth,
                long began,
                long deadline,
                long readUs) {
            this.id = id;
            this.readUs = readUs;
            this.type = type;
            this.flow = flow;
            this.key = key;
            this.worth = worth;
            this.deadline = deadline;
            this.aimAt = type.lateWorth() > 0 ? deadline : Math.min(deadline, began + type.aimUs());
        }

        boolean outranks(Request other) {
            return worth > other.worth || worth == other.worth && aimAt < other.aimAt;
        }
    }

    /** One attempt: {@code outcome} is null while it is out. */
    private static final class Attempt {
        private final Server server;
        private final Backend sentTo;
        private final long sentAt;
        private final long timeoutUs;
        private Outcome outcome;

        Attempt(Server server, long sentAt, long timeoutUs) {
            this.server = server;
            this.sentTo = server.listed();
            this.sentAt = sentAt;
            this.timeoutUs = timeoutUs;
        }
    }

    @Override
    public void handle(long nowUs, Event event, Consumer<Action> actions) {
        now = nowUs;
        room = crowd();
        // One of hundreds of proxies may have less than one attempt out: in the mean of a time.
        spare = Math.min(room * refreshUs, spare + (room - outstanding) * (now - spareAt));
        spareAt = now;
        out = actions;
        if (askAt == Long.MIN_VALUE) {
            ask();
        }
        if (event instanceof Arrival e) {
            arrival(e);
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof TimerFired e && e.token().equals("ask") && now >= askAt) {
            ask();
        } else if (event instanceof Members e) {
            members(e);
        } else if (event instanceof Acting e) {
            acting = e.part();
        } else if (event instanceof Fleet e) {
            settings = settings.among(e.balancers(), e.rank());
            refresh();
        } else if (event instanceof ClientGone e && requests.containsKey(e.id())) {
            close(requests.get(e.id()));
        }
        release();
    }

    /** What this proxy thinks of a backend that it may send to: for people to look at, on the module's thread. */
    public record View(String backend, double weight, int out, boolean avoided) {}

    /** Returns what it thinks of each backend now. */
    public List<View> view() {
        return order.all().stream()
                .map(s -> new View(s.id(), s.weight(), s.out(), now < s.whole().tryAt()))
                .toList();
    }

    /** How much it keeps of backends and requests; a test looks whether that grows. */
    int remembered() {
        return byId.size() + requests.size();
    }

    // Membership

    private void members(Members news) {
        if (news.kind() == ListKind.FAILED) {
            // A call that failed is made again, later each time up to a bound, and not in step with the other proxies.
            failedAsks = Math.min(failedAsks + 1, 4);
            double pauseUs = Math.min(rules.askWithinUs() / 64.0 * (1 << failedAsks), LONGEST_PAUSE_US);
            askIn((long) (pauseUs * (0.5 + random.nextDouble())));
            return;
        }
        if (news.kind() != ListKind.CACHED) {
            failedAsks = 0;
            askAt = Long.MAX_VALUE;
        }
        boolean whole = news.kind() != ListKind.DELTA;
        List<Server> before = List.copyOf(order.all());
        if (whole) {
            before.forEach(s -> s.ready = false);
        }
        news.backends().forEach(this::listed);
        if (whole) {
            byId.values().removeIf(s -> !s.ready);
        }
        before.forEach(this::releaseUnlessReady);
        order.change(news.backends().stream().map(b -> byId.get(b.id())).toList());
        refresh();
    }

    private void listed(Backend b) {
        Server s = byId.get(b.id());
        if (s == null || b.startedAtUs() != s.listed().startedAtUs()) {
            // What was seen of the process that ran under this id before tells nothing of the new one.
            if (s != null) {
                s.ready = false;
            }
            s = new Server(b.id(), now);
            byId.put(s.id(), s);
        }
        Kind kind = kinds.computeIfAbsent(String.valueOf(b.kind()), name -> new Kind());
        s.listed(b, order.group(new Group.Key(kind, b.weight(), settings.zone().equals(b.zone()) ? NEAR : 1)));
        s.ready = b.state() == State.READY;
        if (b.state() == State.GONE) {
            byId.remove(s.id());
        }
    }

    /** Rule 6: no idle connection is kept to a backend that drains or is gone: nobody has a use for it. */
    private void releaseUnlessReady(Server s) {
        if (!s.ready) {
            out.accept(new Release(s.id()));
        }
    }

    /** Guards against backends hung, dead, slow or ill for some requests only, whatever the cause. */
    private boolean trusted(Server s, Request r) {
        return s.trusted(r.flow, now, (long) Math.max(2 * crowdUs, s.kind().meanUs()));
    }

    private boolean calm(Server s) {
        return s.calm(now) && s.warmth(now, rules) >= 1;
    }

    // Weights

    /** Sets w = c / sum of c and starts the earliest-deadline order afresh, once in twice the longest aim. */
    private void refresh() {
        refreshAt = now + refreshUs;
        order.refresh(FLOOR, settings.balancers(), settings.rank(), this::calm);
    }

    // Pick

    private void arrival(Arrival a) {
        RequestClass type = classes.get(a.requestClass());
        if (type == null) {
            throw new IllegalArgumentException("request of a class not in the settings: " + a.requestClass());
        }
        if (now >= refreshAt) {
            // Slowly: the answers of backends that have just left the list tell nothing of those that stay.
            double mean = all.samples() < Kind.MEMORY / 32 ? 0 : all.meanUs();
            idleUs = idleUs == 0 ? mean : Math.min(idleUs, mean);
            borne += (answerRate() / Math.max(1, order.size()) - borne) * Math.max(1.0 / ++refreshes, 1 - BORNE_KEPT);
            refresh();
        }
        retryTokens = Math.min(RETRY_BURST, retryTokens + RETRY_RATE);
        TenantQuota quota = quotas.get(a.tenant());
        int tenant = quota == null ? quotas.size() : quota.number();
        int flow = settings.classes().indexOf(type) * flowsOfClass + tenant;
        boolean overShare = quota != null && quota.isOverShare(settings.balancers(), refreshUs, a.repeat(), now);
        double worth = overShare ? settings.overShareWorth() : 1;
        // A repeat that is left less than first tries get began so long ago: past its aim, it ranks as late.
        long least = leastLeft.merge(type.name(), a.repeat() ? Long.MAX_VALUE : a.leftUs(), Math::min);
        long began = a.leftUs() < least ? now + a.leftUs() - type.deadlineUs() : now;
        worth *= type.worth() * (now < began + type.aimUs() ? 1 : type.lateWorth());
        String key = settings.warmKeys() ? a.key() : null;
        var r = new Request(a.id(), type, flow, key, worth, began, now + a.leftUs(), a.readUs());
        requests.put(r.id, r);
        hold(r);
    }

    /** The backend that a request goes to now, or null: what {@link #scan} finds, without a look at all of them. */
    private Server pick(Request r) {
        if (!r.attempts.isEmpty() || r.home != null) {
            return scan(r);
        }
        Server found = find(r);
        if (oracle != null) {
            oracle.accept(found, scan(r));
        }
        return found;
    }

    /** From now on whoever listens hears of each pick, and of what the rule itself finds in the same state. */
    void oracle(BiConsumer<Server, Server> listener) {
        oracle = listener;
    }

    private Server find(Request r) {
        // Time has made some warm, or they are put off no more.
        order.restless().stream().filter(this::calm).forEach(s -> order.update(s, true));
        List<Server> restless = order.restless();
        int border = border(r, restless);
        int balance = 3 * order.calm();
        Server best = null;
        double earliest = Double.POSITIVE_INFINITY;
        for (Server s : restless) {
            boolean trust = trusted(s, r);
            balance += trust ? 3 : -1;
            double deadline = s.deadline() * (trust ? 1 : DISTRUST);
            // Few have a cold backend in their part: it would get nothing of what the rest may send it.
            boolean open = !trust || order.position(s) <= border || s.warmth(now, rules) < 1;
            if (coldBudget(s) >= 1 && open && deadline < earliest && hasRoom(s)) {
                best = s;
                earliest = deadline;
            }
        }
        Server calm = border < 0 ? null : order.earliest(border);
        if (calm != null
                && (calm.deadline() < earliest
                        || calm.deadline() == earliest && order.position(calm) < order.position(best))) {
            best = calm;
        }
        // If nearly all look ill, it is this proxy that is cut off, or the load: then all are tried on.
        return best == null || balance < 0 || trusted(best, r) ? best : null;
    }

    /** How many backends a proxy spreads over; far busier than others, it takes one for each attempt that may be out by its rate. */
    private double part() {
        return Math.max(PART * order.size() / settings.balancers(), byRate());
    }

    private boolean inPart(Server s, boolean trust) {
        return trust && s.sound() && s.warmth(now, rules) >= 1;
    }

    /** Returns the last place of this proxy's part of the order: where the backends that can be relied on are enough. */
    private int border(Request r, List<Server> restless) {
        if (settings.balancers() <= 2 * PART) {
            return order.size() - 1;
        }
        int wanted = (int) Math.ceil(part());
        int border = order.placeOfSound(wanted);
        for (Server s : restless) {
            if (order.position(s) > border) {
                return border;
            }
            if (inPart(s, trusted(s, r))) {
                border = Math.max(order.position(s), order.placeOfSound(--wanted));
            }
        }
        return border;
    }

    /** The rule itself, over all backends in this proxy's order: for requests that some may not be sent, or not as readily. */
    private Server scan(Request r) {
        Server best = null;
        double earliest = Double.POSITIVE_INFINITY;
        int balance = 0;
        double left = part();
        for (int i = 0; i < order.size(); i++) {
            Server s = order.at(i);
            if (!effectAllows(s, r)) {
                continue;
            }
            boolean trust = trusted(s, r);
            balance += trust ? 3 : -1;
            double deadline = s.deadline() / (s == r.home ? WARM : 1);
            deadline *= r.attempts.stream().noneMatch(a -> a.server == s) ? 1 : TRIED;
            deadline *= trust ? 1 : DISTRUST;
            boolean open = !trust || left > 0 || s.warmth(now, rules) < 1;
            if (coldBudget(s) >= 1 && open && deadline < earliest && hasRoom(s)) {
                best = s;
                earliest = deadline;
            }
            left -= settings.balancers() > 2 * PART && inPart(s, trust) ? 1 : 0;
        }
        return best == null || balance < 0 || trusted(best, r) ? best : null;
    }

    /** The backend where a key is likely to be warm: all proxies find the same one, by rendezvous hashing. */
    private Server home(String key) {
        return order.all().stream()
                .max(Comparator.comparingInt((Server s) -> mix(key.hashCode() ^ s.id().hashCode()))
                        .thenComparing(Server::id))
                .orElse(null);
    }

    static int mix(int hash) {
        int mixed = hash * 0x9E3779B1;
        mixed = (mixed ^ mixed >>> 15) * 0x85EBCA6B;
        return mixed ^ mixed >>> 13;
    }

    /**
     * A backend may have its weight's share of all attempts out, at least 1. Counters see sends alone; this
     * sees a backend that answers late or not at all, whatever the cause.
     */
    private boolean hasRoom(Server s) {
        return s.out() < Math.max(1, Math.ceil(s.weight() * (outstanding + 1)));
    }

    /** Rule 2: a request that may have run goes only where its class lets it run again, and where it is read while its key is known. */
    private boolean effectAllows(Server s, Request r) {
        return r.attempts.isEmpty()
                || r.type.effect() == Effect.SAFE
                || r.attempts.stream()
                        .allMatch(a -> !mayHaveRun(a)
                                || r.type.effect() == Effect.KEYED
                                        && now + r.readUs < a.sentAt + r.type.windowUs()
                                        && !mayBeReplaced(a, s)
                                        && sameGroup(r.type.scope(), a.sentTo, s.listed()));
    }

    /** A connection that broke may have ended with its process: another at the same address knows nothing of what it has run. */
    private static boolean mayBeReplaced(Attempt a, Server s) {
        return a.outcome == Outcome.RESET && a.server.id().equals(s.id());
    }

    /** Rule 5: where 'full' is no proof, it counts as any other failure, for sends and refusals alike. */
    private boolean mayHaveRun(Attempt a) {
        return a.outcome == null || !a.outcome.neverRan() || a.outcome == Outcome.FULL && rules.fullUnproven();
    }

    private static boolean sameGroup(Scope scope, Backend a, Backend b) {
        boolean sameZone = String.valueOf(a.zone()).equals(b.zone());
        return scope == Scope.ALL || (scope == Scope.ZONE ? sameZone : a.cell() == b.cell());
    }

    /** Rule 4: what a cold backend may still be sent, in requests. */
    private double coldBudget(Server s) {
        double warmth = s.warmth(now, rules);
        return warmth >= 1
                ? Double.POSITIVE_INFINITY
                : slowStart.budget(s, warmth, borneBy(s), acting, settings.balancers(), settings.rank(), now);
    }

    @Override
    public double slowStartAllowance(String backend, long nowUs) {
        Server s = byId.get(backend);
        double warmth = s == null ? 1 : s.warmth(nowUs, rules);
        return warmth >= 1 ? Double.POSITIVE_INFINITY : slowStart.allowance(warmth, borneBy(s), settings.balancers());
    }

    /** What a warm backend bears from each proxy, in requests a microsecond: what answers show, or one request at a time. */
    private double borneBy(Server s) {
        double requestUs = s.kind().samples() > 0
                ? s.kind().meanUs()
                : settings.classes().get(0).aimUs();
        return Math.max(1 / (requestUs * settings.balancers()), borne * s.weight() * order.size());
    }

    /** What may be out: what is answered in crowdUs, what keeps backends busy, or a floor. */
    private double crowd() {
        // A floor that falls with refusals feeds on itself: it rises where all is well, and chokes backends then.
        return Math.max(byRate(), CROWD_FLOOR * acting * order.size() / settings.balancers());
    }

    private double byRate() {
        return answerRate() * Math.max(crowdUs, BUSY * idleUs);
    }

    private double answerRate() {
        return answersPerUs * Math.exp((answersAt - now) / (double) refreshUs);
    }

    /** Whether one more may be out: the limit's whole part always, the rest as it was left unused. */
    private boolean mayGo(Request r) {
        // Dearer ones may overdraw: a proxy of hundreds never holds enough requests to order them by worth.
        return outstanding < Math.max(room, CROWD_FLOOR)
                && (outstanding + 1 <= room || spare >= -r.cheaper * room * refreshUs);
    }

    private void send(Request r, Server s) {
        s.sent(r.flow, classes.size() * flowsOfClass, now);
        order.update(s, false);
        outstanding++;
        r.out++;
        // A slow answer is worth waiting for, but not long past its aim: silence takes up the room of others.
        long cutUs = now < r.aimAt ? (long) (LATE * (r.aimAt - now)) : Long.MAX_VALUE;
        var a = new Attempt(s, now, Math.min(r.deadline - now, cutUs));
        r.attempts.add(a);
        out.accept(new Send(r.id, s.id(), a.timeoutUs));
    }

    // Attempt outcome

    private void attemptEnded(AttemptEnded e) {
        Request r = requests.get(e.id());
        if (r == null || e.attempt() >= r.attempts.size() || r.attempts.get(e.attempt()).outcome != null) {
            return;
        }
        Attempt a = r.attempts.get(e.attempt());
        a.outcome = e.outcome();
        boolean ok = e.outcome() == Outcome.OK;
        // Where nothing comes back, that it could be written tells of the way there alone.
        boolean silent = ok && e.latencyUs() == Balancer.UNTIMED;
        boolean heard = !silent && e.outcome() != Outcome.TIMEOUT && e.outcome() != Outcome.CANCELLED;
        a.server.ended(r.flow, now, heard);
        outstanding--;
        r.out--;
        releaseUnlessReady(a.server);
        // What cannot be reached fails for all; any other failure tells of the flow alone.
        if (e.outcome() != Outcome.CANCELLED && e.outcome() != Outcome.NOT_SENT) {
            a.server.judgeWhole(e.outcome() != Outcome.CONNECT_FAILED, now, refreshUs);
        }
        if (e.outcome() != Outcome.CANCELLED && e.outcome() != Outcome.NOT_SENT && !silent) {
            boolean error = e.outcome() == Outcome.ERROR;
            errorShare += ((error ? 1 : 0) - errorShare) / ERROR_MEMORY;
            boolean luck = a.server.badLuck(r.flow, error, errorShare);
            a.server.judgeFlow(r.flow, ok || luck, now, refreshUs);
            a.server.learn(ok ? e.latencyUs() : e.outcome() == Outcome.ERROR ? r.type.aimUs() : a.timeoutUs);
        }
        if (a.server.ready) {
            order.update(a.server, calm(a.server));
        }
        if (ok && !silent) {
            all.learn(e.latencyUs());
            answersPerUs = answerRate() + 1.0 / refreshUs;
            answersAt = now;
        }
        if (r.over || e.last()) {
            close(r);
        } else if (r.out == 0) {
            retry(r);
        }
    }

    /** Forgets a request that is over once none of its attempts is out, and calls off those that are. */
    private void close(Request r) {
        if (!r.over && settings.limits().cancel()) {
            for (int i = 0; i < r.attempts.size(); i++) {
                if (r.attempts.get(i).outcome == null) {
                    out.accept(new Cancel(r.id, i));
                }
            }
        }
        r.over = true;
        held.remove(r);
        if (r.out == 0) {
            requests.remove(r.id);
        }
    }

    // Retry

    private void retry(Request r) {
        // A request that no backend may be sent is over: held, it would only take up room.
        if (now < r.aimAt
                && retryTokens >= 1
                && r.attempts.size() < settings.limits().maxAttempts()
                && order.all().stream().anyMatch(s -> effectAllows(s, r))) {
            retryTokens -= 1;
            hold(r);
        } else {
            finish(r);
        }
    }

    // Refusal

    /** Queues a request, to be sent in this round if there is room: highest worth, then earliest aim. */
    private void hold(Request r) {
        // Sent at the last moment, it is to be answered in time: twice a crowd's time ahead.
        r.giveUpAt = Math.min(r.aimAt - 2 * crowdUs, r.deadline - 2 * settings.tickUs());
        r.cheaper =
                1.0 * classes.values().stream().filter(c -> c.worth() < r.worth).count() / classes.size();
        r.home = r.key == null ? null : home(r.key);
        int i = held.size();
        while (i > 0 && r.outranks(held.get(i - 1))) {
            i--;
        }
        held.add(i, r);
    }

    /** Sends what there is room for; the rest waits, if it can still be in time and is not too much. */
    private void release() {
        if (held.isEmpty()) {
            return;
        }
        // A key away from its home costs its full work: in a crowd, the very room that is missing.
        for (int i = 0; i < held.size() && held.get(i).worth == held.get(0).worth && mayGo(held.get(i)); ) {
            Request r = held.get(i);
            if (r.home != null && pick(r) == r.home) {
                held.remove(i);
                send(r, r.home);
            } else {
                i++;
            }
        }
        for (int i = 0; i < held.size() && mayGo(held.get(i)); ) {
            Request r = held.get(i);
            Server s = pick(r);
            if (s != null) {
                held.remove(i);
                send(r, s);
            } else {
                i++;
            }
        }
        for (int i = held.size() - 1; i >= 0; i--) {
            Request r = held.get(i);
            if (r.giveUpAt <= now || order.isEmpty() || i >= Math.max(room, 1)) {
                held.remove(i);
                finish(r);
            }
        }
        // Rule 1: whatever is held has a timer ahead of its deadline; sooner, as time brings room too.
        long next = held.stream().mapToLong(r -> r.giveUpAt).min().orElse(Long.MAX_VALUE);
        if (!held.isEmpty() && (now >= wakeAt || next < wakeAt)) {
            wakeAt = Math.min(now + crowdUs / 4, next);
            out.accept(new SetTimer(wakeAt, "held"));
        }
    }

    /** Gives the final answer: a refusal where a repeat is harmless, else a failure. */
    private void finish(Request r) {
        boolean harmless = r.type.effect() == Effect.SAFE
                || r.type.effect() == Effect.KEYED && r.type.scope() == Scope.ALL
                || r.attempts.stream().noneMatch(this::mayHaveRun);
        out.accept(harmless ? new Refuse(r.id, comeBackUs(r)) : new Fail(r.id));
        close(r);
    }

    /** When there may be room: what is held now has been answered by then. Not in step with the others refused. */
    private long comeBackUs(Request r) {
        double heldUs = order.isEmpty() ? refreshUs : held.size() / Math.max(answerRate(), 1.0 / refreshUs);
        double spread = 1 - (mix(r.id.hashCode()) >>> 16) / 262_144.0;
        return (long)
                (spread * Math.min(Math.max(crowdUs, heldUs), settings.limits().maxRetryAfterUs()));
    }

    // Timers

    private void ask() {
        askAt = Long.MAX_VALUE;
        if (settings.limits().listMustBeAsked()) {
            out.accept(new Watch(true));
            askIn(rules.askWithinUs());
        }
    }

    private void askIn(long delayUs) {
        askAt = now + delayUs;
        out.accept(new SetTimer(askAt, "ask"));
    }
}
