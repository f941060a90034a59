package grebehoist.fleet.membership;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages as CBOR (RFC 8949): one array {@code [kind, seq, subject, incarnation, leaving, name, zone, news...]}. A rumour is
 * {@code [about, state, incarnation, by + 1, zone]}, zone only where it is told; a finding on reach {@code [by, 16, version, members and
 * zones...]}. Further fields of either are left alone, for versions to come.
 */
public final class MessageCodec {
    /** The most bytes of a name or a zone. */
    public static final int MOST_TEXT = 16;
    /** No incarnation is greater. */
    static final long MOST_INCARNATION = 1L << 48;

    private static final int REACH = 16;
    private static final int MOST_NEWS = 100;
    private static final int MOST_FIELDS = 16;
    private static final CBORFactory CBOR = new CBORFactory();

    private MessageCodec() {}

    /** Bytes that are no message. */
    public static final class BadMessage extends Exception {
        private static final long serialVersionUID = 1L;

        BadMessage(String what) {
            super(what);
        }
    }

    /** Returns the bytes of a message. */
    public static byte[] encode(Message m) {
        var out = new ByteArrayOutputStream(256);
        try (JsonGenerator cbor = CBOR.createGenerator(out)) {
            cbor.writeStartArray(null, 7 + m.news().size());
            cbor.writeNumber(m.kind().ordinal());
            cbor.writeNumber(m.seq());
            cbor.writeNumber(m.subject());
            cbor.writeNumber(m.self().incarnation());
            cbor.writeNumber(m.self().leaving() ? 1 : 0);
            cbor.writeString(m.self().name());
            cbor.writeString(m.self().zone());
            for (News n : m.news()) {
                write(cbor, n);
            }
            cbor.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("nothing is written to but memory", e);
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator cbor, News news) throws IOException {
        if (news instanceof News.Rumour r) {
            cbor.writeStartArray(null, r.zone().isEmpty() ? 4 : 5);
            cbor.writeNumber(r.about());
            cbor.writeNumber(r.state().ordinal());
            cbor.writeNumber(r.incarnation());
            cbor.writeNumber(r.by() + 1);
            if (!r.zone().isEmpty()) {
                cbor.writeString(r.zone());
            }
        } else if (news instanceof News.Reach r) {
            cbor.writeStartArray(null, 3 + r.members().size() + r.zones().size());
            cbor.writeNumber(r.by());
            cbor.writeNumber(REACH);
            cbor.writeNumber(r.version());
            for (int member : r.members()) {
                cbor.writeNumber(member);
            }
            for (String zone : r.zones()) {
                cbor.writeString(zone);
            }
        }
        cbor.writeEndArray();
    }

    /** Returns how many bytes one piece of news takes. */
    static int bytes(News news) {
        if (news instanceof News.Rumour r) {
            return 1
                    + number(r.about())
                    + 1
                    + number(r.incarnation())
                    + number(r.by() + 1)
                    + (r.zone().isEmpty() ? 0 : text(r.zone()));
        }
        var r = (News.Reach) news;
        return 1
                + number(r.by())
                + 1
                + number(r.version())
                + r.members().stream().mapToInt(MessageCodec::number).sum()
                + r.zones().stream().mapToInt(MessageCodec::text).sum();
    }

    /** Returns how many bytes a message takes without its news. */
    static int bytes(long seq, int subject, Message.Self self) {
        return 3
                + 1
                + number(seq)
                + number(subject)
                + number(self.incarnation())
                + 1
                + text(self.name())
                + text(self.zone());
    }

    private static int number(long n) {
        return n < 24 ? 1 : n < 1 << 8 ? 2 : n < 1 << 16 ? 3 : n < 1L << 32 ? 5 : 9;
    }

    private static int text(String s) {
        return 1 + s.getBytes(StandardCharsets.UTF_8).length;
    }

    /** Returns a text of {@link #MOST_TEXT} bytes at most, cut between characters. */
    static String cut(String text) {
        String cut = text;
        while (text(cut) > 1 + MOST_TEXT) {
            cut = cut.substring(0, cut.offsetByCodePoints(cut.length(), -1));
        }
        return cut;
    }

    /**
     * Reads a message.
     *
     * @param members how many there are; a number that is not one of theirs makes the message a bad one
     */
    public static Message decode(byte[] bytes, int members) throws BadMessage {
        try (JsonParser cbor = CBOR.createParser(bytes)) {
            expect(cbor.nextToken() == JsonToken.START_ARRAY, "no array");
            int kind = (int) number(cbor, Message.Kind.values().length - 1);
            long seq = number(cbor, Long.MAX_VALUE);
            int subject = (int) number(cbor, members);
            var self = new Message.Self(number(cbor, MOST_INCARNATION), number(cbor, 1) == 1, text(cbor), text(cbor));
            var news = new ArrayList<News>();
            while (cbor.nextToken() == JsonToken.START_ARRAY) {
                expect(news.size() < MOST_NEWS, "too much news");
                News read = read(cbor, members);
                if (read != null) {
                    news.add(read);
                }
            }
            return new Message(Message.Kind.values()[kind], seq, subject, self, news);
        } catch (IOException e) {
            throw new BadMessage(e.getMessage());
        }
    }

    /** Returns null for a kind of news that a later version may know. */
    private static News read(JsonParser cbor, int members) throws IOException, BadMessage {
        int about = (int) number(cbor, members - 1);
        int what = (int) number(cbor, 255);
        long incarnation = number(cbor, Long.MAX_VALUE);
        var numbers = new ArrayList<Long>();
        var texts = new ArrayList<String>();
        for (JsonToken t = cbor.nextToken(); t != JsonToken.END_ARRAY; t = cbor.nextToken()) {
            expect(numbers.size() + texts.size() < MOST_FIELDS, "too many fields");
            if (t == JsonToken.VALUE_NUMBER_INT) {
                numbers.add(cbor.getLongValue());
            } else {
                expect(t == JsonToken.VALUE_STRING && text(cbor.getText()) <= 1 + MOST_TEXT, "a field of another form");
                texts.add(cbor.getText());
            }
        }
        if (what == REACH) {
            expect(
                    numbers.size() + texts.size() <= News.MOST_REACH
                            && numbers.stream().allMatch(n -> n >= 0 && n < members),
                    "reach");
            return new News.Reach(
                    about, incarnation, numbers.stream().map(Long::intValue).toList(), texts);
        }
        if (what <= 0 || what >= State.values().length) {
            return null;
        }
        long by = numbers.isEmpty() ? 0 : numbers.get(0);
        expect(by >= 0 && by <= members && incarnation <= MOST_INCARNATION, "a rumour out of bounds");
        return new News.Rumour(
                about, State.values()[what], incarnation, (int) by - 1, texts.isEmpty() ? "" : texts.get(0));
    }

    private static long number(JsonParser cbor, long most) throws IOException, BadMessage {
        expect(cbor.nextToken() == JsonToken.VALUE_NUMBER_INT, "a whole number is wanted");
        expect(cbor.getNumberType() != JsonParser.NumberType.BIG_INTEGER, "a number out of bounds");
        long value = cbor.getLongValue();
        expect(value >= 0 && value <= most, "a number out of bounds");
        return value;
    }

    private static String text(JsonParser cbor) throws IOException, BadMessage {
        expect(cbor.nextToken() == JsonToken.VALUE_STRING && text(cbor.getText()) <= 1 + MOST_TEXT, "a text is wanted");
        return cbor.getText();
    }

    private static void expect(boolean holds, String what) throws BadMessage {
        if (!holds) {
            throw new BadMessage(what);
        }
    }

    /** Returns as many pieces of news, from the first, as fit. */
    static List<News> fitting(List<News> news, int room) {
        int left = room;
        var fit = new ArrayList<News>();
        for (News n : news) {
            left -= bytes(n);
            if (left < 0 || fit.size() == MOST_NEWS) {
                break;
            }
            fit.add(n);
        }
        return fit;
    }
}
