package grebehoist.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebehoist.fleet.lease.LeaseMessage.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Members that talk without loss or delay unless a test takes messages away; one task. */
class LeasesTest {
    private static final LeaseTerms TERMS = LeaseTerms.standard();
    private static final long STEP_US = 20_000;

    private record Sent(int from, int to, LeaseMessage message) {}

    private final Leases[] members = new Leases[4];
    private final List<List<LeaseChange>> changes = new ArrayList<>();
    private final Deque<Sent> way = new ArrayDeque<>();
    private final List<Sent> all = new ArrayList<>();
    private final BitSet dead = new BitSet();
    private long now = 1_000_000_000;

    LeasesTest() {
        for (int i = 0; i < members.length; i++) {
            changes.add(new ArrayList<>());
            members[i] = member(i, 1, 1, 100);
        }
        for (Leases m : members) {
            m.start(now);
        }
    }

    private Leases member(int number, long life, int set, long floor) {
        return new Leases(
                new Protocol(TERMS, 3),
                new Leases.Setup(number, members.length, life, set, List.of(0, 1, 2), List.of("books")),
                floor,
                new SplittableRandom(number),
                m -> !dead.get(m),
                new Leases.Output() {
                    @Override
                    public void send(int to, LeaseMessage message) {
                        way.add(new Sent(number, to, message));
                        all.add(way.getLast());
                    }

                    @Override
                    public void changed(LeaseChange change) {
                        changes.get(number).add(change);
                    }
                });
    }

    private void go(long forUs) {
        for (long until = now + forUs; now < until; now += STEP_US) {
            for (int i = 0; i < members.length; i++) {
                if (!dead.get(i)) {
                    members[i].tick(now);
                }
            }
            deliver();
        }
    }

    private void deliver() {
        for (Sent s = way.poll(); s != null; s = way.poll()) {
            if (!dead.get(s.from()) && !dead.get(s.to())) {
                members[s.to()].received(now, s.from(), s.message());
            }
        }
    }

    private int holder() {
        int holder = -1;
        for (int i = 0; i < members.length; i++) {
            if (!dead.get(i) && members[i].mayAct(now, 0, 0) > 0) {
                assertThat(holder).as("one holder").isNegative();
                holder = i;
            }
        }
        return holder;
    }

    @Test
    void nobodyIsGrantedAnythingInTheSilenceOfTheVoters() {
        go(TERMS.silenceUs() - STEP_US);
        assertThat(all)
                .noneMatch(
                        s -> s.message().kind() == Kind.PROMISE || s.message().kind() == Kind.GRANT);
        go(1_000_000);
        assertThat(holder()).isNotNegative();
    }

    @Test
    void aHolderKeepsItsTaskAndItsToken() {
        go(5_000_000);
        int first = holder();
        long token = members[first].mayAct(now, 0, 0);
        assertThat(token).isGreaterThan(100);
        go(60_000_000);
        assertThat(members[first].mayAct(now, 0, 0)).isEqualTo(token);
        assertThat(changes.get(first)).hasSize(1);
    }

    @Test
    void whoTakesOverFromADeadHolderHasAGreaterToken() {
        go(5_000_000);
        int first = holder();
        long token = members[first].mayAct(now, 0, 0);
        dead.set(first);
        long died = now;
        while (holder() < 0) {
            go(STEP_US);
        }
        assertThat(members[holder()].mayAct(now, 0, 0)).isGreaterThan(token);
        assertThat(now - died).isBetween(TERMS.leaseUs() - TERMS.renewUs() - TERMS.tryUs(), 3_000_000L);
    }

    @Test
    void aLeavingHolderHandsOverAtOnce() {
        go(5_000_000);
        int first = holder();
        members[first].leave(now);
        assertThat(members[first].mayAct(now, 0, 0)).isZero();
        go(200_000);
        assertThat(holder()).isNotNegative().isNotEqualTo(first);
        assertThat(changes.get(first))
                .last()
                .isEqualTo(new LeaseChange.Ended(
                        0, ((LeaseChange.Held) changes.get(first).get(0)).token(), LeaseChange.Why.GIVEN_BACK));
    }

    /** A holder that gave a task back while its call was out had the next one begin beside it (TrialIT). */
    @Test
    void nothingIsGivenBackWhileACallIsOut() {
        go(5_000_000);
        int first = holder();
        long token = members[first].act(now, 0, 500_000, 500_000);
        assertThat(token).isPositive();
        members[first].giveBack(now, 0);
        assertThat(members[first].mayAct(now, 0, 0)).isEqualTo(token);
        members[first].done(0);
        members[first].giveBack(now, 0);
        assertThat(members[first].mayAct(now, 0, 0)).isZero();
        go(200_000);
        int second = holder();
        members[second].act(now, 0, 500_000, 500_000);
        members[second].leave(now);
        assertThat(members[second].act(now, 0, 0, 0)).as("nothing new is begun").isZero();
        go(500_000);
        assertThat(holder()).as("nobody else begins while it may be under way").isEqualTo(second);
        go(3_000_000);
        assertThat(holder()).isNotNegative().isNotEqualTo(second);
    }

    @Test
    void aHolderThatCannotRenewStopsByItself() {
        go(5_000_000);
        int first = holder();
        for (long until = now + TERMS.leaseUs(); now < until; now += STEP_US) {
            members[first].tick(now);
        }
        assertThat(members[first].mayAct(now, 0, 0)).isZero();
        assertThat(changes.get(first))
                .last()
                .isInstanceOfSatisfying(
                        LeaseChange.Ended.class, e -> assertThat(e.why()).isEqualTo(LeaseChange.Why.LAPSED));
    }

    /** What takes so long must be over before the lease is. */
    @Test
    void nothingIsBegunThatWouldOutlastTheLease() {
        go(5_000_000);
        assertThat(members[holder()].mayAct(now, 0, TERMS.leaseUs() / 4)).isPositive();
        assertThat(members[holder()].mayAct(now, 0, TERMS.leaseUs())).isZero();
    }

    @Test
    void whoFailsAtATaskLeavesItToOthers() {
        go(5_000_000);
        int first = holder();
        members[first].want(now, 0, false);
        go(300_000);
        int second = holder();
        assertThat(second).isNotNegative().isNotEqualTo(first);
        // The second looks for the first, to which the task belongs, and is told that it does not want it.
        go(30_000_000);
        assertThat(holder()).isEqualTo(second);
        members[first].want(now, 0, true);
        go(90_000_000);
        assertThat(holder()).as("home again").isEqualTo(first);
    }

    /** All voters begin again with their wall clocks at zero: another member that lives has heard of the tokens. */
    @Test
    void tokensGrowThoughAllVotersHaveForgotten() {
        go(5_000_000);
        long token = members[holder()].mayAct(now, 0, 0);
        long known = members[3].highest();
        for (int v = 0; v < 3; v++) {
            members[v] = member(v, 2, 1, 0);
            members[v].start(now);
        }
        go(10_000_000);
        assertThat(known).isGreaterThanOrEqualTo(token);
        assertThat(members[holder()].mayAct(now, 0, 0)).isGreaterThan(token);
    }

    @Test
    void anotherSetOfVotersIsNotAnswered() {
        members[3] = member(3, 2, 2, 100);
        members[3].start(now);
        go(10_000_000);
        assertThat(members[3].mayAct(now, 0, 0)).isZero();
        assertThat(members[0].otherSets()).isPositive();
    }

    /** A round at the end of all numbers would leave no token for anybody. */
    @Test
    void aRoundBeyondBeliefChangesNothing() {
        members[0] = member(0, 2, 1, 1_800_000_000_000L);
        members[0].start(now);
        members[0].received(
                now, 3, new LeaseMessage(Kind.KNOWN, 1, 0, Ballot.NONE, LeaseCodec.MOST_ROUND, 0, Ballot.NONE));
        assertThat(members[0].highest()).isLessThan(1_800_000_001_000L);
        assertThat(members[0].incredible()).isEqualTo(1);
    }

    /** A voter is asked by the member itself alone: nobody gets a ballot for somebody else. */
    @Test
    void aBallotOfSomebodyElseIsNotAnswered() {
        go(5_000_000);
        all.clear();
        members[0].received(
                now, 3, new LeaseMessage(Kind.PREPARE, 1, 0, new Ballot(1_000, 2, 1), 1_000, 0, Ballot.NONE));
        assertThat(all).isEmpty();
    }

    @Test
    void messagesAreReadAsTheyWereWritten() {
        var random = new SplittableRandom(5);
        for (int i = 0; i < 1_000; i++) {
            var ballot = new Ballot(
                    random.nextLong(LeaseCodec.MOST_ROUND), random.nextInt(-1, 2_000), random.nextLong(1L << 32));
            var message = new LeaseMessage(
                    Kind.values()[random.nextInt(Kind.values().length)],
                    random.nextInt(1 << 30),
                    random.nextInt(200),
                    ballot,
                    random.nextLong(LeaseCodec.MOST_ROUND),
                    random.nextLong(1L << 40),
                    i % 2 == 0 ? Ballot.NONE : ballot);
            byte[] bytes = LeaseCodec.encode(message);
            assertThat(bytes.length).isLessThanOrEqualTo(70);
            assertThat(LeaseCodec.decode(bytes, 2_000, 200)).containsExactly(message);
            byte[] two = Arrays.copyOf(bytes, 2 * bytes.length);
            System.arraycopy(bytes, 0, two, bytes.length, bytes.length);
            assertThat(LeaseCodec.decode(two, 2_000, 200)).containsExactly(message, message);
            assertThat(LeaseCodec.decode(Arrays.copyOf(bytes, random.nextInt(bytes.length - 2)), 2_000, 200))
                    .isNull();
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            List<LeaseMessage> spoilt = LeaseCodec.decode(bytes, 2_000, 200);
            assertThat(spoilt == null
                            || spoilt.stream()
                                    .allMatch(m -> m.task() < 200 && m.ballot().member() < 2_000))
                    .isTrue();
        }
    }

    @Test
    void termsThatContradictEachOtherAreNamed() {
        assertThatThrownBy(() -> new LeaseTerms(1_000_000, 0.01, 900_000, 40_000, 200_000, 1))
                .hasMessageContaining("lease 1000000 us");
        assertThat(TERMS.heldUs()).isLessThan(TERMS.leaseUs());
        assertThat(TERMS.silenceUs()).isGreaterThan(TERMS.leaseUs());
    }
}
