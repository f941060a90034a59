package grebehoist.fleet.lease;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages as CBOR (RFC 8949): one array {@code [kind, set, task, round, member + 1, life, highest, left, other's round, member + 1, life]}, of
 * 60 bytes at most. Further fields are left alone, for versions to come.
 */
public final class LeaseCodec {
    /** No round is greater: it is a token that every receiver can read as a JSON number. */
    public static final long MOST_ROUND = (1L << 53) - 1;

    private static final int FIELDS = 11;
    private static final CBORFactory CBOR = new CBORFactory();

    private LeaseCodec() {}

    /** Returns the bytes of a message. */
    public static byte[] encode(LeaseMessage m) {
        var out = new ByteArrayOutputStream(64);
        try (JsonGenerator cbor = CBOR.createGenerator(out)) {
            cbor.writeStartArray(null, FIELDS);
            cbor.writeNumber(m.kind().ordinal());
            cbor.writeNumber(m.set());
            cbor.writeNumber(m.task());
            write(cbor, m.ballot());
            cbor.writeNumber(m.highest());
            cbor.writeNumber(m.leftUs());
            write(cbor, m.other());
            cbor.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("nothing is written to but memory", e);
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator cbor, Ballot ballot) throws IOException {
        cbor.writeNumber(ballot.round());
        cbor.writeNumber(ballot.member() + 1);
        cbor.writeNumber(ballot.life());
    }

    /**
     * Reads messages, one behind the other.
     *
     * @param members how many there are
     * @param tasks how many there are
     * @return null for bytes that are none, or not only
     */
    public static List<LeaseMessage> decode(byte[] bytes, int members, int tasks) {
        var all = new ArrayList<LeaseMessage>();
        try (JsonParser cbor = CBOR.createParser(bytes)) {
            for (JsonToken t = cbor.nextToken(); t != null; t = cbor.nextToken()) {
                if (t != JsonToken.START_ARRAY) {
                    return null;
                }
                all.add(message(cbor, members, tasks));
            }
        } catch (IOException e) {
            return null;
        }
        return all.isEmpty() ? null : all;
    }

    private static LeaseMessage message(JsonParser cbor, int members, int tasks) throws IOException {
        var kind = LeaseMessage.Kind.values()[(int) number(cbor, LeaseMessage.Kind.values().length - 1)];
        var message = new LeaseMessage(
                kind,
                (int) number(cbor, Integer.MAX_VALUE),
                (int) number(cbor, Math.max(0, tasks - 1)),
                ballot(cbor, members),
                number(cbor, MOST_ROUND),
                number(cbor, Long.MAX_VALUE),
                ballot(cbor, members));
        // What a later version has to add is left alone.
        for (JsonToken t = cbor.nextToken(); t != JsonToken.END_ARRAY; t = cbor.nextToken()) {
            if (t == null || !t.isScalarValue()) {
                throw new IOException("a plain field is wanted");
            }
        }
        return message;
    }

    private static Ballot ballot(JsonParser cbor, int members) throws IOException {
        return new Ballot(number(cbor, MOST_ROUND), (int) number(cbor, members) - 1, number(cbor, Long.MAX_VALUE));
    }

    private static long number(JsonParser cbor, long most) throws IOException {
        if (cbor.nextToken() != JsonToken.VALUE_NUMBER_INT
                || cbor.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            throw new IOException("a whole number is wanted");
        }
        long value = cbor.getLongValue();
        if (value < 0 || value > most) {
            throw new IOException("a number out of bounds");
        }
        return value;
    }
}
