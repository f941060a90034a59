package grebehoist.fleet.lease;

import grebehoist.fleet.lease.Claim.Phase;

/**
 * All that safety rests on. Pure functions: what is remembered and the time by the clock of the one that remembers it go in, what is to be
 * remembered and said comes out.
 *
 * <p>Why no two hold a task at once, with rates of clocks between 1 - d and 1 + d: of two ballots the majority that promised the later one and
 * the majority that granted the earlier one share a voter. It granted the earlier one first, as it grants nothing below what it promised; and
 * it promised the later one when that grant was over for it, which is after it was over for its holder: a holder counts
 * {@code lease (1 - d) / (1 + d)} from before it asked, at most {@code lease / (1 + d)} of real time, a voter {@code lease} from after that, at least as
 * much; and a voter that starts anew is silent for so long. docs/leases.md has more. The steps that a search has to find missing can
 * be overridden.
 */
public class Protocol {
    /** What a voter says. */
    public sealed interface Say permits Yes, Held, Higher {}

    /** Yes, to the ballot that was asked about. */
    public record Yes() implements Say {}

    /** Somebody else has it. */
    public record Held(Ballot by, long leftUs) implements Say {}

    /** A higher ballot was promised. */
    public record Higher(Ballot than) implements Say {}

    /** What a voter remembers from now on, and what it says. */
    public record Answer(Vote vote, Say say) {}

    private static final Yes YES = new Yes();

    private final LeaseTerms terms;
    private final int voters;

    /** Makes the protocol of so many voters. */
    public Protocol(LeaseTerms terms, int voters) {
        if (voters < 1 || voters > Long.SIZE) {
            throw new IllegalArgumentException(voters + " voters");
        }
        this.terms = terms;
        this.voters = voters;
    }

    /** Returns the times. */
    public LeaseTerms terms() {
        return terms;
    }

    /** Returns how many voters there are. */
    public int voters() {
        return voters;
    }

    // A voter

    /** What a voter that has started remembers, after its silence: what others have told it of rounds, and nothing else. */
    public Vote fresh(long highest) {
        return new Vote(new Ballot(highest, -1, 0), null, 0, Ballot.NONE);
    }

    /** May this ballot come? As long as somebody has it, nobody else is promised anything: a holder is not disturbed. */
    public Answer prepare(Vote before, long nowUs, Ballot ballot) {
        Vote vote = before.at(nowUs);
        if (vote.accepted() != null && !own(vote.accepted(), ballot)) {
            return new Answer(vote, new Held(vote.accepted(), vote.untilUs() - nowUs));
        }
        if (ballot.below(vote.promised())) {
            return new Answer(vote, new Higher(vote.promised()));
        }
        return new Answer(new Vote(ballot, vote.accepted(), vote.untilUs(), vote.released()), YES);
    }

    /** Is this ballot granted? */
    public Answer propose(Vote before, long nowUs, Ballot ballot) {
        Vote vote = before.at(nowUs);
        if (below(ballot, vote.promised()) || ballot.equals(vote.released())) {
            return new Answer(vote, new Higher(vote.promised()));
        }
        return new Answer(new Vote(ballot, ballot, nowUs + terms.leaseUs(), vote.released()), YES);
    }

    /** A ballot that was granted is given back. An old one that comes late gives nothing back. */
    public Vote release(Vote vote, Ballot ballot) {
        return vote.accepted() != null && isOf(vote.accepted(), ballot)
                ? new Vote(vote.promised(), null, 0, ballot)
                : vote;
    }

    /** Whether a grant is the one that a release is about. */
    protected boolean isOf(Ballot accepted, Ballot released) {
        return accepted.equals(released);
    }

    /** Whether a grant does not stand in the way of a ballot: it is of the same life. */
    protected boolean own(Ballot accepted, Ballot asking) {
        return accepted.sameLife(asking);
    }

    /** Whether a promise stands in the way of a ballot. */
    protected boolean below(Ballot ballot, Ballot promised) {
        return ballot.below(promised);
    }

    /** Returns how long a voter says nothing after its start. */
    public long silenceUs() {
        return terms.silenceUs();
    }

    // Who wants the task

    /** A try begins. The ballot must be one that was never used; its round is greater than any that this member has heard of. */
    public Claim begin(Claim claim, long nowUs, Ballot ballot) {
        return new Claim(Phase.PREPARING, ballot, nowUs, 0, claim.token(), claim.held(), claim.untilUs());
    }

    /** A voter has promised. With a majority the grant is asked for; its time begins now, before anybody can hear the question. */
    public Claim promised(Claim claim, long nowUs, int voter, Ballot ballot) {
        if (claim.phase() != Phase.PREPARING || !claim.ballot().equals(ballot)) {
            return claim;
        }
        if (nowUs - claim.sinceUs() > terms.tryUs()) {
            return claim.rest();
        }
        long answers = claim.answers() | 1L << voter;
        return enough(Long.bitCount(answers))
                ? new Claim(Phase.PROPOSING, ballot, nowUs, 0, claim.token(), claim.held(), claim.untilUs())
                : new Claim(
                        Phase.PREPARING,
                        ballot,
                        claim.sinceUs(),
                        answers,
                        claim.token(),
                        claim.held(),
                        claim.untilUs());
    }

    /** A voter has granted. With a majority the task is held: anew, or on, where it was still held. */
    public Claim granted(Claim claim, long nowUs, int voter, Ballot ballot) {
        if (claim.phase() != Phase.PROPOSING || !claim.ballot().equals(ballot)) {
            return claim;
        }
        long answers = claim.answers() | 1L << voter;
        if (!enough(Long.bitCount(answers))) {
            return new Claim(
                    Phase.PROPOSING, ballot, claim.sinceUs(), answers, claim.token(), claim.held(), claim.untilUs());
        }
        long untilUs = countsFrom(claim.sinceUs(), nowUs) + heldUs();
        if (nowUs >= untilUs) {
            return claim.rest();
        }
        return new Claim(
                Phase.RESTING,
                Ballot.NONE,
                0,
                0,
                claim.holds(nowUs) ? claim.token() : token(ballot, nowUs),
                ballot,
                untilUs);
    }

    /** The holder gives it back: from here on it does not hold it, whatever becomes of the release. Nothing that it asked counts any more. */
    public Claim give(Claim claim) {
        return Claim.NONE;
    }

    /** From when a grant's time counts. */
    protected long countsFrom(long askedUs, long nowUs) {
        return askedUs;
    }

    /** How long a holder may act from then, by its own clock. */
    protected long heldUs() {
        return terms.heldUs();
    }

    /** Whether so many voters are a majority of all. */
    protected boolean enough(int answers) {
        return 2 * answers > voters;
    }

    /** What the holding of a ballot is known by. */
    protected long token(Ballot ballot, long nowUs) {
        return ballot.round();
    }
}
