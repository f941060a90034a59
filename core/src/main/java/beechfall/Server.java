package beechfall;

import beechfall.Balancer.Backend;

/** A backend as this proxy knows it: its place in the list, its weight and turn, what was seen of it. */
final class Server {
    /** A kind's mean counts as so many of a backend's own answers, of which a refresh keeps a part. */
    private static final double OWN_PRIOR = 4;

    private static final double OWN_KEPT = 0.8;
    /** So few of its own answers would move its weight by less than a thousandth, and count as none. */
    private static final double FORGOTTEN = 0.004;
    /** A backend that takes so many times its kind's mean is not counted as one that can be relied on. */
    private static final double UNSOUND = 4;

    /** Whether this proxy may send to it. */
    boolean ready;
    /** Where {@link Order} keeps it: the hash that it goes by, and its place by that, {@link Order#ABSENT} where it has none. */
    int hash;

    int index = Order.ABSENT;
    private final String id;
    private final Trust whole = new Trust();
    /** Made when a flow first comes here: most backends never see most flows. */
    private Trust[] flows;

    private Backend listed;
    private Group group;
    private double ownWeight;
    private double currentTime;
    private double ownUs;
    private double ownSamples;
    private boolean sound = true;
    private final TokenBucket coldTokens;
    private long putOffUntil = Long.MIN_VALUE;

    Server(String id, long now) {
        this.id = id;
        this.coldTokens = new TokenBucket(1, now);
    }

    String id() {
        return id;
    }

    Backend listed() {
        return listed;
    }

    Kind kind() {
        return group.key().kind();
    }

    Group group() {
        return group;
    }

    /** The list says this of it. */
    void listed(Backend news, Group itsGroup) {
        listed = news;
        group = itsGroup;
    }

    // Order

    /** Returns whether it has turns or answers of its own: else all that it goes by is its group's. */
    boolean touched() {
        return currentTime > 0 || ownSamples > 0;
    }

    double weight() {
        return touched() ? ownWeight : group.weight();
    }

    void ownWeight(double share) {
        ownWeight = share;
    }

    /** The paper's order: (currentTime + 1) / weight, a backend in the proxy's own zone being worth more. */
    double deadline() {
        return touched() ? (currentTime + 1) / (ownWeight * group.key().near()) : group.deadline();
    }

    // Answers

    void learn(double latencyUs) {
        kind().learn(latencyUs);
        ownWeight = weight();
        ownUs += latencyUs;
        ownSamples++;
        judgeSound();
    }

    /** Its turns and the half-forgotten past begin afresh. */
    void refresh() {
        currentTime = 0;
        ownUs *= OWN_KEPT;
        ownSamples *= OWN_KEPT;
        if (ownSamples < FORGOTTEN) {
            ownUs = 0;
            ownSamples = 0;
        }
        judgeSound();
    }

    private void judgeSound() {
        sound = kind().samples() == 0 || responseUs() < UNSOUND * kind().meanUs();
    }

    /** Returns whether its own answers are not far slower than its kind's, as of its last answer or refresh. */
    boolean sound() {
        return sound;
    }

    /** The response time of a backend: its kind's mean, drawn to its own by the number of its own answers. */
    double responseUs() {
        return (OWN_PRIOR * kind().meanUs() + ownUs) / (OWN_PRIOR + ownSamples);
    }

    // Attempts

    Trust whole() {
        return whole;
    }

    int out() {
        return whole.out();
    }

    boolean trusted(int flow, long now, long silenceUs) {
        return whole.holds(now, silenceUs)
                && (flows == null || flows[flow] == null || flows[flow].holds(now, silenceUs));
    }

    void sent(int flow, int allFlows, long now) {
        ownWeight = weight();
        currentTime += 1;
        whole.sent(now);
        flows = flows == null ? new Trust[allFlows] : flows;
        flows[flow] = flows[flow] == null ? new Trust() : flows[flow];
        flows[flow].sent(now);
        coldTokens.take();
    }

    void ended(int flow, long now, boolean heard) {
        whole.ended(now, heard);
        flows[flow].ended(now, heard);
    }

    void judgeWhole(boolean good, long now, long leastUs) {
        whole.judge(good, now, leastUs);
        putOffUntil = Math.max(putOffUntil, whole.tryAt());
    }

    void judgeFlow(int flow, boolean good, long now, long leastUs) {
        flows[flow].judge(good, now, leastUs);
        putOffUntil = Math.max(putOffUntil, flows[flow].tryAt());
    }

    boolean badLuck(int flow, boolean error, double share) {
        return flows[flow].badLuck(error, share);
    }

    /** Returns whether every flow trusts it and it has nothing out; all else has to be looked at one by one. */
    boolean calm(long now) {
        return whole.out() == 0 && now >= putOffUntil;
    }

    // Warmth

    /** Returns what this proxy may still send it in slow start. */
    TokenBucket coldTokens() {
        return coldTokens;
    }

    /** Returns the part of its capacity that it is sure to have: 1 once it is warm. */
    double warmth(long now, Balancer.Rules rules) {
        long started = listed.startedAtUs();
        if (started <= 0 || now - started >= rules.coldUs()) {
            return 1;
        }
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, now - started) / rules.coldUs();
    }
}
