package grebehoist.trial;

import grebehoist.fleet.lease.Ballot;
import grebehoist.fleet.lease.Claim;
import grebehoist.fleet.lease.Claim.Phase;
import grebehoist.fleet.lease.LeaseTerms;
import grebehoist.fleet.lease.Protocol;
import grebehoist.fleet.lease.Vote;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Goes through every state that the functions of {@link Protocol} can get into, the shortest ways first: some voters, two members that want one
 * task. What was once said may arrive at any later time, again and again, or never; so it is kept as a set that only grows. Everybody may be
 * stopped at any point: that is a way on which time passes and others act. Voters crash, and come back with no memory and in silence; members
 * that want the task crash and come back as somebody else. Voters have the fastest clocks that are allowed, and one member the slowest.
 * Tries and crashes are bounded, time is not.
 *
 * <p>States are one if they differ only by which voter is which, by how long ago something was that is over, or by answers to a try that is over:
 * nobody asks for those again. A question whether a ballot may come is not delivered once its member has given that try up: it could only make a
 * voter promise more, and refuse more.
 */
public final class LeaseExplorer {
    /** Of clocks that are wrong by a quarter: a slow one shows 3 while a fast one shows 5. */
    static final LeaseTerms TERMS = new LeaseTerms(10, 0.25, 1, 1, 4, 1);

    private static final int FAST = 5;
    private static final int[] SPEEDS = {3, FAST};
    private static final int MEMBERS = 2;
    /** While a try is in these, somebody wants to know whether its ballot may come, or hears what voters say of it. */
    private static final Set<Phase> ASKED = EnumSet.of(Phase.PREPARING);

    private static final Set<Phase> HEARD = EnumSet.of(Phase.PREPARING, Phase.PROPOSING);
    /** Of each ballot: whether its grant was asked for, and given back; then promises and grants by voter. */
    private static final int PROPOSED = 0;

    private static final int RELEASED = 1;
    private static final int KINDS = 2;

    /**
     * How far it goes.
     *
     * @param ballots tries of all members at most
     * @param voterCrashes and {@code memberCrashes}: so many at most
     * @param mostStates it stops there, and says so
     */
    public record Bounds(int voters, int ballots, int voterCrashes, int memberCrashes, int mostStates) {}

    /**
     * What was gone through.
     *
     * @param depth steps of the longest way
     * @param complete whether all states within the bounds were seen
     * @param found the shortest way to what must not be, or an empty list
     */
    public record Result(long states, int depth, boolean complete, List<String> found) {}

    /** A state; the arrays are not changed. */
    private record World(
            int time,
            Ballot[] ballots,
            long[] said,
            Vote[] votes,
            int[] silentUntil,
            Claim[] claims,
            int[] lives,
            int voterCrashes,
            int memberCrashes,
            long lastToken) {
        World copy() {
            return new World(
                    time,
                    ballots.clone(),
                    said.clone(),
                    votes.clone(),
                    silentUntil.clone(),
                    claims.clone(),
                    lives.clone(),
                    voterCrashes,
                    memberCrashes,
                    lastToken);
        }

        World later() {
            return new World(
                    time + 1, ballots, said, votes, silentUntil, claims, lives, voterCrashes, memberCrashes, lastToken);
        }

        World crashed(int ofVoters, int ofMembers) {
            return new World(
                    time,
                    ballots,
                    said,
                    votes,
                    silentUntil,
                    claims,
                    lives,
                    voterCrashes + ofVoters,
                    memberCrashes + ofMembers,
                    lastToken);
        }

        World heldWith(long token) {
            return new World(
                    time, ballots, said, votes, silentUntil, claims, lives, voterCrashes, memberCrashes, token);
        }

        World asking(Ballot ballot) {
            Ballot[] more = Arrays.copyOf(ballots, ballots.length + 1);
            more[ballots.length] = ballot;
            return new World(
                    time,
                    more,
                    Arrays.copyOf(said, more.length),
                    votes,
                    silentUntil,
                    claims.clone(),
                    lives,
                    voterCrashes,
                    memberCrashes,
                    lastToken);
        }

        long highest() {
            return Arrays.stream(ballots).mapToLong(Ballot::round).max().orElse(0);
        }

        /** Whether a try of a ballot is in one of some phases, so that somebody listens for it. */
        boolean isOpen(int ballot, Set<Phase> phases) {
            return Arrays.stream(claims)
                    .anyMatch(c -> phases.contains(c.phase()) && c.ballot().equals(ballots[ballot]));
        }
    }

    private record Step(long from, String what) {}

    private record Reached(World world, long print) {}

    private final Protocol protocol;
    private final Bounds bounds;
    private final Map<Long, Step> seen = new HashMap<>();
    private final ArrayDeque<Reached> next = new ArrayDeque<>();
    private String wrong;
    private long wrongFrom;

    private LeaseExplorer(Protocol protocol, Bounds bounds) {
        this.protocol = protocol;
        this.bounds = bounds;
    }

    /** Goes through all of it until something is wrong. */
    public static Result explore(Protocol protocol, Bounds bounds) {
        return new LeaseExplorer(protocol, bounds).explore();
    }

    private Result explore() {
        int n = bounds.voters();
        var votes = new Vote[n];
        Arrays.fill(votes, protocol.fresh(0));
        var claims = new Claim[MEMBERS];
        Arrays.fill(claims, Claim.NONE);
        var first = new World(0, new Ballot[0], new long[0], votes, new int[n], claims, new int[MEMBERS], 0, 0, 0);
        seen.put(print(first), new Step(0, "the beginning"));
        next.add(new Reached(first, print(first)));
        int depth = 0;
        int level = 1;
        while (!next.isEmpty() && wrong == null && seen.size() < bounds.mostStates()) {
            Reached reached = next.poll();
            expand(reached.world(), reached.print());
            if (--level == 0 && !next.isEmpty()) {
                level = next.size();
                depth++;
            }
        }
        return new Result(seen.size(), depth, next.isEmpty(), wrong == null ? List.of() : way());
    }

    private List<String> way() {
        var steps = new ArrayList<String>(List.of(wrong));
        for (long at = wrongFrom;
                seen.containsKey(at) && seen.get(at).from() != 0;
                at = seen.get(at).from()) {
            steps.add(seen.get(at).what());
        }
        Collections.reverse(steps);
        return steps;
    }

    private void expand(World w, long from) {
        arrive(w.later(), from, "time passes");
        for (int m = 0; m < MEMBERS; m++) {
            member(w, from, m);
        }
        for (int b = 0; b < w.ballots().length; b++) {
            for (int v = 0; v < bounds.voters(); v++) {
                voter(w, from, b, v);
            }
        }
        for (int v = 0; v < bounds.voters() && w.voterCrashes() < bounds.voterCrashes(); v++) {
            World after = w.copy();
            // In its silence others tell it of the rounds that they had heard of by now.
            after.votes()[v] = protocol.fresh(w.highest());
            after.silentUntil()[v] = FAST * w.time() + (int) protocol.silenceUs();
            arrive(after.crashed(1, 0), from, "voter " + v + " crashes and begins from nothing");
        }
    }

    private int clock(World w, int member) {
        return SPEEDS[member] * w.time();
    }

    private void member(World w, long from, int m) {
        int now = clock(w, m);
        if (w.ballots().length < bounds.ballots()) {
            long most = w.highest();
            long own = Arrays.stream(w.ballots())
                    .filter(b -> b.member() == m && b.life() == w.lives()[m])
                    .mapToLong(Ballot::round)
                    .max()
                    .orElse(0);
            begin(w, from, m, now, most + 1);
            if (own < most && w.lives()[m] == 0) {
                begin(w, from, m, now, own + 1);
            }
        }
        Claim claim = w.claims()[m];
        if (claim.holds(now)) {
            World after = w.copy();
            after.claims()[m] = protocol.give(claim);
            for (int b = 0; b < w.ballots().length; b++) {
                if (w.ballots()[b].equals(claim.held())) {
                    after.said()[b] |= 1L << RELEASED;
                }
            }
            arrive(after, from, "member " + m + " gives back " + claim.held().round());
        }
        if (w.memberCrashes() < bounds.memberCrashes() && !claim.equals(Claim.NONE)) {
            World after = w.copy();
            after.claims()[m] = Claim.NONE;
            after.lives()[m]++;
            arrive(after.crashed(0, 1), from, "member " + m + " crashes and begins from nothing");
        }
        for (int b = 0; b < w.ballots().length; b++) {
            if (!w.ballots()[b].equals(claim.ballot())) {
                continue;
            }
            for (int v = 0; v < bounds.voters(); v++) {
                answer(w, from, m, now, b, v);
            }
        }
    }

    private void begin(World w, long from, int m, int now, long round) {
        var ballot = new Ballot(round, m, w.lives()[m]);
        World after = w.asking(ballot);
        after.claims()[m] = protocol.begin(w.claims()[m], now, ballot);
        arrive(after, from, "member " + m + " asks for ballot " + round);
    }

    private void answer(World w, long from, int m, int now, int b, int v) {
        Claim claim = w.claims()[m];
        Ballot ballot = w.ballots()[b];
        Claim then = claim;
        if (claim.phase() == Phase.PREPARING && has(w, b, promise(v))) {
            then = protocol.promised(claim, now, v, ballot);
        } else if (claim.phase() == Phase.PROPOSING && has(w, b, grant(v))) {
            then = protocol.granted(claim, now, v, ballot);
        }
        if (then.equals(claim)) {
            return;
        }
        World after = w.copy();
        after.claims()[m] = then;
        String what = "member " + m + " hears of " + ballot.round() + " from voter " + v;
        if (then.phase() == Phase.PROPOSING && claim.phase() == Phase.PREPARING) {
            after.said()[b] |= 1L << PROPOSED;
        }
        if (then.holds(now) && then.token() != claim.token()) {
            what += ", and holds the task with token " + then.token();
            if (then.token() <= w.lastToken()) {
                wrong(from, what + ", after " + w.lastToken());
                return;
            }
            after = after.heldWith(then.token());
        }
        arrive(after, from, what);
    }

    private void voter(World w, long from, int b, int v) {
        int now = FAST * w.time();
        if (now < w.silentUntil()[v]) {
            return;
        }
        Vote vote = w.votes()[v];
        Ballot ballot = w.ballots()[b];
        if (w.isOpen(b, ASKED)) {
            said(w, from, b, v, vote, protocol.prepare(vote, now, ballot), promise(v), "promises");
        }
        if (has(w, b, PROPOSED)) {
            said(w, from, b, v, vote, protocol.propose(vote, now, ballot), grant(v), "grants");
        }
        if (has(w, b, RELEASED)) {
            World after = w.copy();
            after.votes()[v] = protocol.release(vote, ballot);
            arrive(after, from, "voter " + v + " hears that " + ballot.round() + " is given back");
        }
    }

    private void said(World w, long from, int b, int v, Vote vote, Protocol.Answer answer, int bit, String what) {
        if (answer.say() instanceof Protocol.Yes) {
            World after = w.copy();
            after.votes()[v] = answer.vote();
            after.said()[b] |= 1L << bit;
            arrive(after, from, "voter " + v + " " + what + " " + w.ballots()[b].round());
        }
    }

    private static int promise(int voter) {
        return KINDS + 2 * voter;
    }

    private static int grant(int voter) {
        return KINDS + 2 * voter + 1;
    }

    private static boolean has(World w, int ballot, int bit) {
        return (w.said()[ballot] & 1L << bit) != 0;
    }

    private void wrong(long from, String what) {
        if (wrong == null) {
            wrong = what;
            wrongFrom = from;
        }
    }

    private void arrive(World w, long from, String what) {
        long print = print(w);
        if (wrong != null || seen.putIfAbsent(print, new Step(from, what)) != null) {
            return;
        }
        int holders = 0;
        for (int m = 0; m < MEMBERS; m++) {
            holders += w.claims()[m].holds(clock(w, m)) ? 1 : 0;
        }
        if (holders > 1) {
            wrong(from, what + "; both hold the task at time " + w.time());
        } else {
            next.add(new Reached(w, print));
        }
    }

    /** What is the same for two states that are one. */
    private long print(World w) {
        int voterNow = FAST * w.time();
        var voters = new long[bounds.voters()];
        for (int v = 0; v < voters.length; v++) {
            Vote vote = w.votes()[v].at(voterNow);
            long h = mix(
                    mix(
                            hash(vote.promised()),
                            vote.accepted() == null ? -5 : hash(vote.accepted()) + vote.untilUs() - voterNow),
                    mix(hash(vote.released()), Math.max(0, w.silentUntil()[v] - voterNow)));
            for (int b = 0; b < w.ballots().length; b++) {
                h = mix(h, w.isOpen(b, HEARD) ? w.said()[b] >>> promise(v) & 3 : 0);
            }
            for (Claim c : w.claims()) {
                h = mix(h, c.answers() >>> v & 1);
            }
            voters[v] = h;
        }
        Arrays.sort(voters);
        long h = mix(w.lastToken(), 31L * w.voterCrashes() + w.memberCrashes());
        for (long v : voters) {
            h = mix(h, v);
        }
        for (int b = 0; b < w.ballots().length; b++) {
            h = mix(mix(h, hash(w.ballots()[b])), w.said()[b] & (1L << KINDS) - 1);
        }
        for (int m = 0; m < MEMBERS; m++) {
            Claim c = w.claims()[m];
            int now = clock(w, m);
            boolean holds = c.holds(now);
            long ago = c.phase() == Phase.RESTING
                    ? 0
                    : Math.min(now - c.sinceUs(), 1 + (c.phase() == Phase.PREPARING ? TERMS.tryUs() : TERMS.leaseUs()));
            h = mix(mix(h, c.phase().ordinal() + 4L * w.lives()[m]), hash(c.ballot()));
            h = mix(mix(h, ago), holds ? mix(c.token(), c.untilUs() - now) + hash(c.held()) : 0);
        }
        return h == 0 ? 1 : h;
    }

    private static long hash(Ballot b) {
        return mix(mix(b.round(), b.member()), b.life());
    }

    private static long mix(long a, long b) {
        long z = (a ^ b + 0x9E3779B97F4A7C15L + (a << 12) + (a >>> 4)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
