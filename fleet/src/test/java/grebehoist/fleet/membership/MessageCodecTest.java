package grebehoist.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import grebehoist.fleet.wire.Post;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
    private static final int MEMBERS = 700;
    private final SplittableRandom random = new SplittableRandom(5);

    private long number(long most) {
        return random.nextLong(1L << random.nextInt(1, 64 - Long.numberOfLeadingZeros(most))) % (most + 1);
    }

    private News news() {
        int about = (int) number(MEMBERS - 1);
        if (random.nextInt(4) == 0) {
            return new News.Reach(
                    about, number(Long.MAX_VALUE / 2), List.of((int) number(MEMBERS - 1)), List.of("ulven", "ø"));
        }
        return new News.Rumour(
                about,
                State.values()[random.nextInt(1, 5)],
                number(MessageCodec.MOST_INCARNATION),
                random.nextInt(-1, MEMBERS),
                random.nextBoolean() ? "" : "lysaker");
    }

    private Message message() {
        var news = new ArrayList<News>();
        for (int i = random.nextInt(20); i > 0; i--) {
            news.add(news());
        }
        var self = new Message.Self(
                number(MessageCodec.MOST_INCARNATION),
                random.nextBoolean(),
                MessageCodec.cut("n" + random.nextInt(1_000)),
                MessageCodec.cut("skøyen-and-much-more-than-fits"));
        return new Message(
                Message.Kind.values()[random.nextInt(7)],
                number(Long.MAX_VALUE / 2),
                (int) number(MEMBERS),
                self,
                news);
    }

    @Test
    void whatIsWrittenIsReadAndItsLengthIsKnownBefore() throws Exception {
        for (int i = 0; i < 5_000; i++) {
            Message m = message();
            byte[] bytes = MessageCodec.encode(m);
            assertThat(MessageCodec.decode(bytes, MEMBERS)).isEqualTo(m);
            int before = MessageCodec.bytes(m.seq(), m.subject(), m.self())
                    + m.news().stream().mapToInt(MessageCodec::bytes).sum();
            assertThat(bytes.length)
                    .as("seed 5, message " + i)
                    .isLessThanOrEqualTo(before)
                    .isGreaterThan(before - 4);
        }
    }

    @Test
    void damagedBytesAreBadMessagesAndNothingElse() throws Exception {
        int bad = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = MessageCodec.encode(message());
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 + random.nextInt(255));
            try {
                MessageCodec.decode(bytes, MEMBERS);
            } catch (MessageCodec.BadMessage e) {
                bad++;
            }
        }
        assertThat(bad).isGreaterThan(1_000);
    }

    @Test
    void aNumberThatIsNobodysIsRefused() {
        byte[] bytes = MessageCodec.encode(new Message(
                Message.Kind.NEWS,
                1,
                0,
                new Message.Self(1, false, "n", ""),
                List.of(new News.Rumour(600, State.DEAD, 1, 2, ""))));
        assertThatThrownBy(() -> MessageCodec.decode(bytes, 600)).isInstanceOf(MessageCodec.BadMessage.class);
    }

    /** A later version may add kinds of news and fields: this one leaves them alone and takes the rest. */
    @Test
    void whatALaterVersionAddsIsLeftAlone() throws Exception {
        var out = new ByteArrayOutputStream();
        try (var cbor = new CBORFactory().createGenerator(out)) {
            cbor.writeStartArray(null, 10);
            for (long n : new long[] {6, 1, 0, 3, 0}) {
                cbor.writeNumber(n);
            }
            cbor.writeString("n7");
            cbor.writeString("ulven");
            cbor.writeArray(new long[] {4, 99, 7, 8, 9}, 0, 5);
            cbor.writeArray(new long[] {5, 1, 2, 0, 77}, 0, 5);
            cbor.writeArray(new long[] {6, 1, 2, 0}, 0, 4);
            cbor.writeEndArray();
        }
        assertThat(MessageCodec.decode(out.toByteArray(), MEMBERS).news())
                .extracting(News::subject)
                .containsExactly(5, 6);
    }

    @Test
    void aPageOfMembersFitsIntoADatagram() {
        var news = new ArrayList<News>();
        for (int i = 0; i < 100; i++) {
            news.add(new News.Rumour(400 + i, State.ALIVE, 3, News.NOBODY, "ulven"));
        }
        List<News> fit = MessageCodec.fitting(news, Post.ROOM - 40);
        assertThat(fit).hasSizeGreaterThan(12);
        assertThat(MessageCodec.encode(
                        new Message(Message.Kind.PAGE, 70_000, 420, new Message.Self(3, false, "n12", "ulven"), fit)))
                .hasSizeLessThanOrEqualTo(Post.ROOM);
    }
}
