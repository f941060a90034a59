package grebehoist.fleet.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What proves a datagram, and what does not. */
class PostTest {
    private static final KeyRing.Key OLD = key(1, "the old key of this fleet");
    private static final KeyRing.Key NEW = key(2, "the new key of this fleet");
    private static final byte[] HEY = "hey".getBytes(StandardCharsets.UTF_8);
    private long seed = 1;
    private long now = 1_000_000;

    private static KeyRing.Key key(int id, String text) {
        return new KeyRing.Key(id, text.getBytes(StandardCharsets.UTF_8));
    }

    private Post post(int self, KeyRing.Key... keys) {
        return new Post(self, 3, new KeyRing(List.of(keys)), new SplittableRandom(seed++));
    }

    /** Has one say something, carries all that follows, and returns the bodies that were handed on. */
    private List<String> say(Post from, int fromNumber, Post to, int toNumber) {
        return carry(from.seal(now, toNumber, Post.FIRST_TOPIC, HEY), from, fromNumber, to, toNumber);
    }

    private List<String> carry(byte[] datagram, Post from, int fromNumber, Post to, int toNumber) {
        now += 120_000;
        var bodies = new ArrayList<String>();
        Post.Opened opened = to.open(now, fromNumber, datagram);
        if (opened instanceof Post.Body b) {
            bodies.add(new String(b.bytes(), StandardCharsets.UTF_8));
        } else if (opened instanceof Post.Words w) {
            w.again().forEach(d -> bodies.addAll(carry(d, to, toNumber, from, fromNumber)));
        }
        return bodies;
    }

    @Test
    void theFirstWordGetsThroughAfterWordsWereExchanged() {
        Post a = post(0, OLD);
        Post b = post(1, OLD);
        assertThat(say(a, 0, b, 1)).containsExactly("hey");
        byte[] second = a.seal(now, 1, Post.FIRST_TOPIC, HEY);
        assertThat(b.open(now, 0, second)).isInstanceOf(Post.Body.class);
        assertThat(b.open(now, 0, second)).isEqualTo(new Post.Dropped(Refused.REPEATED));
    }

    @Test
    void whatComesOutOfOrderCountsOnceAndWhatIsTooOldNot() {
        Post a = post(0, OLD);
        Post b = post(1, OLD);
        say(a, 0, b, 1);
        var sealed = new ArrayList<byte[]>();
        for (int i = 0; i < 100; i++) {
            sealed.add(a.seal(now, 1, Post.FIRST_TOPIC, HEY));
        }
        assertThat(b.open(now, 0, sealed.get(99))).isInstanceOf(Post.Body.class);
        assertThat(b.open(now, 0, sealed.get(60))).isInstanceOf(Post.Body.class);
        assertThat(b.open(now, 0, sealed.get(60))).isEqualTo(new Post.Dropped(Refused.REPEATED));
        assertThat(b.open(now, 0, sealed.get(10))).isEqualTo(new Post.Dropped(Refused.REPEATED));
    }

    /** The receiver starts anew, knows nothing, and an hour's datagrams are played to it again. */
    @Test
    void whatWasRecordedIsWorthNothingToALaterLife() {
        Post a = post(0, OLD);
        Post b = post(1, OLD);
        var recorded = new ArrayList<byte[]>();
        say(a, 0, b, 1);
        for (int i = 0; i < 50; i++) {
            recorded.add(a.seal(now, 1, Post.FIRST_TOPIC, HEY));
        }
        Post later = post(1, OLD);
        for (byte[] datagram : recorded) {
            now += 1_000_000;
            assertThat(later.open(now, 0, datagram)).isNotInstanceOf(Post.Body.class);
        }
        assertThat(later.refused().get(Refused.UNPROVEN)).isEqualTo(50);
        assertThat(say(a, 0, later, 1))
                .as("what is said now is heard all the same")
                .containsExactly("hey");
    }

    /** The sender starts anew; what its earlier lives said, and was lost on the way then, comes now. */
    @Test
    void whatAnEarlierLifeSaidIsWorthNothingOnceALaterOneHasSpoken() {
        Post b = post(1, OLD);
        var recorded = new ArrayList<byte[]>();
        for (int life = 0; life < 7; life++) {
            Post a = post(0, OLD);
            assertThat(say(a, 0, b, 1)).containsExactly("hey");
            recorded.add(a.seal(now, 1, Post.FIRST_TOPIC, HEY));
        }
        for (byte[] datagram : recorded.subList(0, 6)) {
            now += 1_000_000;
            assertThat(b.open(now, 0, datagram)).isNotInstanceOf(Post.Body.class);
        }
        assertThat(b.twins(0)).isZero();
    }

    @Test
    void twoProcessesWithOneNumberAreTold() {
        Post b = post(1, OLD);
        Post a = post(0, OLD);
        Post twin = post(0, OLD);
        for (int i = 0; i < 3; i++) {
            assertThat(say(a, 0, b, 1)).containsExactly("hey");
            assertThat(say(twin, 0, b, 1)).containsExactly("hey");
        }
        assertThat(b.twins(0)).isGreaterThanOrEqualTo(2);
    }

    @Test
    void whatIsNotSealedForTheReceiverIsRefusedByCause() {
        Post a = post(0, OLD);
        Post b = post(1, OLD);
        Post c = post(2, OLD);
        say(a, 0, b, 1);
        say(a, 0, c, 2);
        byte[] forB = a.seal(now, 1, Post.FIRST_TOPIC, HEY);
        assertThat(c.open(now, 0, forB)).as("for another").isEqualTo(new Post.Dropped(Refused.SEAL));
        assertThat(b.open(now, 2, forB)).as("from elsewhere").isEqualTo(new Post.Dropped(Refused.WRONG_PLACE));
        assertThat(b.open(now, -1, forB)).as("from nobody's address").isEqualTo(new Post.Dropped(Refused.WRONG_PLACE));
        assertThat(post(1, NEW).open(now, 0, forB)).isEqualTo(new Post.Dropped(Refused.KEY));
        assertThat(post(1, key(1, "another secret of this id")).open(now, 0, forB))
                .isEqualTo(new Post.Dropped(Refused.SEAL));
        assertThat(b.open(now, 0, new byte[257])).isEqualTo(new Post.Dropped(Refused.TOO_LONG));
        assertThat(b.open(now, 0, new byte[0])).isEqualTo(new Post.Dropped(Refused.UNREADABLE));
        for (int bit = 0; bit < 8 * forB.length; bit++) {
            now += 10_000;
            byte[] damaged = forB.clone();
            damaged[bit / 8] ^= (byte) (1 << bit % 8);
            assertThat(b.open(now, 0, damaged)).as("bit " + bit).isInstanceOf(Post.Dropped.class);
        }
        assertThat(b.open(now, 0, forB)).as("none of that did harm").isInstanceOf(Post.Body.class);
    }

    @Test
    void bytesThatAreNoDatagramNeverThrow() {
        var random = new SplittableRandom(9);
        Post b = post(1, OLD);
        for (int i = 0; i < 20_000; i++) {
            now += 10_000;
            byte[] bytes = new byte[random.nextInt(300)];
            random.nextBytes(bytes);
            assertThat(b.open(now, 0, bytes)).isInstanceOf(Post.Dropped.class);
        }
    }

    /** All have the old key; each gets the new one behind it, then before it, then alone: at each step any two hear each other. */
    @Test
    void aKeyChangesWithoutAGap() {
        List<KeyRing.Key[]> steps = List.of(
                new KeyRing.Key[] {OLD}, new KeyRing.Key[] {OLD, NEW}, new KeyRing.Key[] {NEW, OLD}, new KeyRing.Key[] {
                    NEW
                });
        for (int i = 0; i < steps.size(); i++) {
            for (int j = Math.max(0, i - 1); j <= Math.min(steps.size() - 1, i + 1); j++) {
                assertThat(say(post(0, steps.get(i)), 0, post(1, steps.get(j)), 1))
                        .as(i + " to " + j)
                        .containsExactly("hey");
            }
        }
        assertThat(say(post(0, OLD), 0, post(1, NEW), 1))
                .as("one that was away for all of it")
                .isEmpty();
    }

    @Test
    void aFloodIsCutAndOthersAreHeard() {
        Post a = post(0, OLD);
        Post b = post(1, OLD);
        Post c = post(2, OLD);
        say(a, 0, b, 1);
        say(c, 2, b, 1);
        int heard = 0;
        for (int i = 0; i < 10_000; i++) {
            now += 100;
            heard += b.open(now, 0, a.seal(now, 1, Post.FIRST_TOPIC, HEY)) instanceof Post.Body ? 1 : 0;
        }
        assertThat(heard).as("in a second").isBetween(200, 601);
        assertThat(b.refused().get(Refused.FLOOD)).isGreaterThan(9_000L);
        assertThat(b.open(now, 2, c.seal(now, 1, Post.FIRST_TOPIC, HEY))).isInstanceOf(Post.Body.class);
    }

    @Test
    void noDatagramIsLongerThanThePlatformAllows() {
        Post a = new Post(
                65_000,
                65_535,
                new KeyRing(List.of(key(255, "a key whose id takes two bytes"))),
                new SplittableRandom(3));
        assertThat(a.seal(now, 1, Post.FIRST_TOPIC, new byte[Post.ROOM])).hasSizeLessThanOrEqualTo(Post.MOST_BYTES);
        assertThatThrownBy(() -> a.seal(now, 1, Post.FIRST_TOPIC, new byte[Post.ROOM + 1]))
                .hasMessageContaining("a body of");
    }

    @Test
    void badKeysAreToldApart() {
        assertThatThrownBy(() -> key(256, "long enough for a key.")).hasMessageContaining("key id 256");
        assertThatThrownBy(() -> key(1, "short")).hasMessageContaining("at least 16 bytes");
        assertThatThrownBy(() -> new KeyRing(List.of(OLD, OLD))).hasMessageContaining("two keys");
    }

    @Test
    void theSenderThatADatagramNamesIsReadWithoutProof() {
        Post a = post(0, OLD);
        assertThat(Post.sender(a.seal(now, 1, Post.FIRST_TOPIC, HEY))).isZero();
        assertThat(Post.sender(post(2, OLD).seal(now, 1, Post.FIRST_TOPIC, HEY)))
                .isEqualTo(2);
        assertThat(Post.sender(new byte[0])).isEqualTo(-1);
        assertThat(Post.sender(new byte[100])).isEqualTo(-1);
        assertThat(Post.sender(new byte[257])).isEqualTo(-1);
    }

    @Test
    void nothingIsKeptOfAMemberBeforeASealWasRight() {
        Post b = post(1, OLD);
        Post stranger = post(0, key(1, "another secret of this id"));
        b.open(now, 0, stranger.seal(now, 1, Post.FIRST_TOPIC, HEY));
        assertThat(b.kept()).isZero();
        say(post(0, OLD), 0, b, 1);
        assertThat(b.kept()).isEqualTo(1);
        assertThat(b.twins(2)).isZero();
    }
}
