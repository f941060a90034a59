package grebehoist.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One member, told by hand what others say. */
class MembershipTest implements Membership.Output {
    private static final long S = 1_000_000;
    private static final Terms TERMS = Terms.standard();
    private final List<Message> sent = new ArrayList<>();
    private final List<Integer> receivers = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final Membership member = new Membership(TERMS, 0, 4, "n0", "ulven", new SplittableRandom(1), this);
    private long now = 100 * S;

    @Override
    public void send(int to, Message message) {
        sent.add(message);
        receivers.add(to);
    }

    @Override
    public void changed(Change change) {
        changes.add(change);
    }

    private static Message.Self word(int of, long incarnation) {
        return new Message.Self(incarnation, false, "n" + of, "lysaker");
    }

    /** Time passes; the others answer what they are asked, but for those that are silent. */
    private void pass(long us, Integer... silent) {
        for (long until = now + us; now < until; now += TERMS.tickUs()) {
            sent.clear();
            receivers.clear();
            member.tick(now);
            for (int i = 0; i < sent.size(); i++) {
                Message m = sent.get(i);
                int to = receivers.get(i);
                if (m.kind() == Message.Kind.PING && !List.of(silent).contains(to)) {
                    member.received(now, to, new Message(Message.Kind.ACK, m.seq(), to, word(to, 1), List.of()));
                } else if (m.kind() == Message.Kind.ASK && !List.of(silent).contains(to)) {
                    member.received(
                            now, to, new Message(Message.Kind.NACK, m.seq(), m.subject(), word(to, 1), List.of()));
                }
            }
        }
    }

    private void tells(int by, News... news) {
        member.received(now, by, new Message(Message.Kind.NEWS, 0, 0, word(by, 1), List.of(news)));
    }

    private void begin() {
        member.start(now);
        pass(5 * S);
        assertThat(member.present()).isTrue();
        assertThat(member.state(1)).isEqualTo(State.ALIVE);
    }

    @Test
    void whoAnswersNobodyIsDoubtedThenDead() {
        begin();
        pass(4 * S, 2);
        assertThat(member.state(2)).isEqualTo(State.SUSPECT);
        pass(TERMS.mostSuspicionUs(4), 2);
        assertThat(member.state(2)).isEqualTo(State.DEAD);
        Change.Viewed why = changes.stream()
                .filter(c -> c instanceof Change.Viewed v && v.state() == State.DEAD)
                .map(Change.Viewed.class::cast)
                .findFirst()
                .orElseThrow();
        assertThat(why.doubters()).containsExactly(0);
        assertThat(why.why()).contains("suspected by [n0]");
    }

    @Test
    void theDeadComeBackByTheirOwnHigherWordAlone() {
        begin();
        pass(20 * S, 2);
        assertThat(member.state(2)).isEqualTo(State.DEAD);
        tells(1, new News.Rumour(2, State.ALIVE, 1, News.NOBODY, ""));
        tells(2);
        assertThat(member.state(2)).isEqualTo(State.DEAD);
        member.received(now, 2, new Message(Message.Kind.NEWS, 0, 0, word(2, 2), List.of()));
        assertThat(member.state(2)).isEqualTo(State.ALIVE);
    }

    @Test
    void itObjectsToWhatIsSaidOfItAndNeverBelievesIt() {
        begin();
        tells(1, new News.Rumour(0, State.DEAD, member.incarnation(0), 1, ""));
        assertThat(member.incarnation(0)).isEqualTo(2);
        assertThat(member.state(0)).isEqualTo(State.ALIVE);
        pass(S);
        assertThat(changes).noneMatch(c -> c instanceof Change.Viewed v && v.member() == 0 && v.state() != State.ALIVE);
    }

    /** A liar at the highest number shuts nobody up: what is beyond belief is counted and left alone. */
    @Test
    void aLieAtTheHighestNumberChangesNothing() {
        begin();
        tells(1, new News.Rumour(2, State.DEAD, MessageCodec.MOST_INCARNATION, 1, ""));
        assertThat(member.state(2)).isEqualTo(State.ALIVE);
        pass(12 * S);
        tells(1, new News.Rumour(0, State.DEAD, MessageCodec.MOST_INCARNATION, 1, ""));
        assertThat(member.incarnation(0)).isLessThan(10);
        assertThat(member.incredible()).isEqualTo(2);
    }

    @Test
    void oneMemberThatBuriesAnotherIsNotEnough() {
        begin();
        tells(1, new News.Rumour(2, State.DEAD, 1, 1, ""));
        assertThat(member.state(2)).isEqualTo(State.SUSPECT);
        assertThat(sent).isNotNull();
        pass(2 * S);
        member.received(now, 2, new Message(Message.Kind.NEWS, 0, 0, word(2, 2), List.of()));
        assertThat(member.state(2)).isEqualTo(State.ALIVE);
    }

    /** Stopped for a minute: it suspects nobody for what it did not hear, tells that it was away, and asks before it is sure again. */
    @Test
    void afterAStopItAsksBeforeItJudges() {
        begin();
        pass(3 * S, 2);
        changes.clear();
        now += 60 * S;
        member.tick(now);
        assertThat(changes).anyMatch(c -> c instanceof Change.Away a && a.forUs() >= 60 * S);
        assertThat(member.present()).isFalse();
        assertThat(member.state(2)).isNotEqualTo(State.DEAD);
        assertThat(member.count().sharedBy()).isEqualTo(4);
        pass(S);
        assertThat(member.present()).isTrue();
    }

    /** Nobody answers at all: that is this member's own trouble, and what it knew last stays. */
    @Test
    void whoHearsNobodyBuriesNobody() {
        begin();
        pass(120 * S, 1, 2, 3);
        assertThat(member.isCutOff()).isTrue();
        assertThat(List.of(member.state(1), member.state(2), member.state(3))).containsOnly(State.ALIVE);
        assertThat(member.count().sharedBy()).isEqualTo(4);
        pass(10 * S);
        assertThat(member.isCutOff()).isFalse();
    }

    @Test
    void theCountFallsForWhoLeavesAndMuchLaterForWhoDies() {
        begin();
        member.received(
                now, 3, new Message(Message.Kind.NEWS, 0, 0, new Message.Self(1, true, "n3", "lysaker"), List.of()));
        pass(2 * S, 3);
        assertThat(member.count()).isEqualTo(new Change.Count(3, 3, 0));
        pass(20 * S, 2, 3);
        assertThat(member.state(2)).isEqualTo(State.DEAD);
        assertThat(member.count().sharedBy()).as("it may be cut off and go on").isEqualTo(3);
        pass(TERMS.countHoldUs(), 2, 3);
        assertThat(member.count()).isEqualTo(new Change.Count(2, 2, 0));
        member.received(now, 3, new Message(Message.Kind.NEWS, 0, 0, word(3, 2), List.of()));
        pass(S, 2);
        assertThat(member.count().sharedBy()).as("who comes counts at once").isEqualTo(3);
    }

    /** It was killed and is back within a moment, from nothing: whoever it asks tells it which incarnation it has had. */
    @Test
    void aNextLifeIsToldOfTheOneBefore() {
        begin();
        sent.clear();
        member.received(now, 2, new Message(Message.Kind.PING, 77, 0, word(2, 0), List.of()));
        assertThat(sent.get(0).news()).contains(new News.Rumour(2, State.ALIVE, 1, News.NOBODY, ""));
        assertThat(member.state(2)).isEqualTo(State.ALIVE);
    }

    @Test
    void theNextLifeTakesTheIncarnationAfterThat() {
        member.start(now);
        member.received(
                now,
                2,
                new Message(
                        Message.Kind.ACK,
                        1,
                        2,
                        word(2, 5),
                        List.of(new News.Rumour(0, State.ALIVE, 7, News.NOBODY, ""))));
        assertThat(member.incarnation(0)).isEqualTo(8);
    }

    /** Another process speaks as this member: its incarnations are beyond what this one has ever said. */
    @Test
    void somebodyElseWithItsNumberIsTold() {
        begin();
        pass(12 * S);
        for (int i = 0; i < 2; i++) {
            tells(1, new News.Rumour(0, State.ALIVE, member.incarnation(0) + 1, News.NOBODY, ""));
        }
        assertThat(changes).anyMatch(c -> c instanceof Change.Twin t && t.member() == 0);
    }

    /** An hour of news, lies and questions that nobody answers leaves no more behind than a few things for each member. */
    @Test
    void whatItKeepsDoesNotGrow() {
        begin();
        var random = new SplittableRandom(3);
        for (int i = 0; i < 20_000; i++) {
            tells(
                    1 + random.nextInt(3),
                    new News.Rumour(
                            random.nextInt(4),
                            State.values()[1 + random.nextInt(4)],
                            random.nextInt(1_000),
                            random.nextInt(4),
                            ""),
                    new News.Reach(random.nextInt(4), i, List.of(random.nextInt(4)), List.of("z" + i % 9)));
            member.received(now, 1, new Message(Message.Kind.ASK, i, 2, word(1, 1), List.of()));
            if (i % 100 == 0) {
                pass(TERMS.tickUs(), 2);
                assertThat(member.kept()).isLessThanOrEqualTo(2 * 4 + Membership.MOST_RELAYS);
            }
        }
        pass(60 * S);
        assertThat(member.kept()).isLessThan(10);
    }
}
