package grebehoist.fleet.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.fleet.wire.Post;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The bytes of messages. */
class DistributionCodecTest {
    private static final long MOST = Item.MOST_VERSION;
    private static final Message.Have HAVE = new Message.Have(Long.MAX_VALUE, MOST, -1, true, List.of());
    private static final Message.Listed LISTED = new Message.Listed("s".repeat(24), MOST, MOST, MOST, MOST);
    private static final List<Message> PLAIN = List.of(
            new Message.Digest(0, 1, List.of()),
            new Message.Digest(
                    7,
                    64,
                    List.of(
                            HAVE,
                            new Message.Have(
                                    3, 1, 5, false, List.of(new Message.Gap(1, 4), new Message.Gap(9, MOST))))),
            new Message.Seen(9, 5),
            new Message.Head(4, 5, -6, 3, 2),
            new Message.Unheld(8, true),
            new Message.Unheld(8, false),
            new Message.Left(12),
            new Message.Holds(1, MOST, MOST, MOST),
            new Message.ListAfter(5, ""),
            new Message.ListAfter(5, "c1/s"),
            new Message.Listing(5, "", true, List.of()),
            new Message.Listing(5, "s".repeat(24), false, List.of(LISTED)),
            new Message.Ask(6),
            new Message.Named("c1/s"),
            new Message.Changes(77, List.of()),
            new Message.Changes(77, List.of(new Link(4, 9, 255, "k", null))));

    @Test
    void eachMessageIsReadAsItWasWritten() {
        for (Message m : PLAIN) {
            assertThat(DistributionCodec.decode(DistributionCodec.encode(m))).containsExactly(m);
        }
        byte[] two = join(DistributionCodec.encode(PLAIN.get(2)), DistributionCodec.encode(PLAIN.get(3)));
        assertThat(DistributionCodec.decode(two)).containsExactly(PLAIN.get(2), PLAIN.get(3));
    }

    private static byte[] join(byte[] a, byte[] b) {
        byte[] both = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, both, a.length, b.length);
        return both;
    }

    @Test
    void theGreatestItemFitsADatagram() {
        var value = new byte[Item.VALUE_BYTES];
        new SplittableRandom(3).nextBytes(value);
        var link = new Link(0, MOST, 255, "k".repeat(48), value);
        byte[] bytes = DistributionCodec.encode(new Message.Changes(Long.MAX_VALUE, List.of(link)));
        assertThat(bytes.length).isLessThanOrEqualTo(Post.ROOM);
        var back = (Message.Changes) DistributionCodec.decode(bytes).get(0);
        assertThat(back.links().get(0).item("s")).isEqualTo(link.item("s"));
        byte[] pending = DistributionCodec.encode(new Message.Pending(Long.MAX_VALUE, MOST, link));
        assertThat(pending.length).isLessThanOrEqualTo(Post.ROOM);
        assertThat(((Message.Pending) DistributionCodec.decode(pending).get(0))
                        .link()
                        .item("s"))
                .isEqualTo(link.item("s"));
        assertThat(DistributionCodec.DIGEST_FRAME + DistributionCodec.encode(HAVE).length)
                .isLessThanOrEqualTo(Post.ROOM);
        assertThat(DistributionCodec.LISTING_FRAME + DistributionCodec.encode(LISTED).length)
                .isLessThanOrEqualTo(Post.ROOM);
    }

    @Test
    void whatALaterVersionAddsIsLeftAlone() {
        byte[] more = new CborWriter()
                .array(5)
                .number(1)
                .number(9)
                .number(5)
                .text("more")
                .array(1)
                .number(3)
                .done();
        assertThat(DistributionCodec.decode(more)).containsExactly(new Message.Seen(9, 5));
        byte[] unknown = new CborWriter()
                .array(3)
                .number(99)
                .text("?")
                .array(2)
                .array(0)
                .bytes(null)
                .done();
        assertThat(DistributionCodec.decode(join(unknown, DistributionCodec.encode(PLAIN.get(3)))))
                .containsExactly(PLAIN.get(3));
        byte[] link = new CborWriter()
                .array(4)
                .number(2)
                .number(77)
                .array(1)
                .array(6)
                .number(9)
                .number(5)
                .number(3)
                .text("k")
                .bytes(null)
                .number(1)
                .text("more")
                .done();
        assertThat(DistributionCodec.decode(link))
                .containsExactly(new Message.Changes(77, List.of(new Link(4, 9, 3, "k", null))));
    }

    @Test
    void garbageIsNothingAndNeverThrows() {
        var random = new SplittableRandom(5);
        for (int i = 0; i < 20_000; i++) {
            var bytes = new byte[random.nextInt(Post.ROOM)];
            random.nextBytes(bytes);
            DistributionCodec.decode(bytes);
            byte[] message = DistributionCodec.encode(PLAIN.get(random.nextInt(PLAIN.size())));
            message[random.nextInt(message.length)] ^= (byte) (1 << random.nextInt(8));
            DistributionCodec.decode(message);
            DistributionCodec.decode(Arrays.copyOf(message, random.nextInt(message.length)));
        }
        assertThat(DistributionCodec.decode(new byte[0])).isNull();
        assertThat(DistributionCodec.decode(new byte[] {1})).isNull();
        assertThat(DistributionCodec.decode(
                        new CborWriter().array(3).number(1).number(9).text("?").done()))
                .isNull();
        assertThat(DistributionCodec.decode(
                        new CborWriter().array(2).number(2).number(9).done()))
                .as("cut off")
                .isNull();
        byte[] before = new CborWriter()
                .array(3)
                .number(2)
                .number(77)
                .array(1)
                .array(5)
                .number(9)
                .number(0)
                .number(3)
                .text("k")
                .bytes(null)
                .done();
        assertThat(DistributionCodec.decode(before))
                .as("a change before itself")
                .isNull();
        byte[] far = new CborWriter()
                .array(3)
                .number(2)
                .number(77)
                .array(1)
                .array(5)
                .number(9)
                .number(10)
                .number(3)
                .text("k")
                .bytes(null)
                .done();
        assertThat(DistributionCodec.decode(far)).as("a change before all").isNull();
    }
}
