package grebehoist.fleet.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * What stands before the body of each datagram, in CBOR (RFC 8949): an array of whole numbers. The body follows it as a further item
 * (a CBOR sequence, RFC 8742), and the seal is last.
 *
 * @param key the id of the key that seals
 * @param sender its number among the members
 * @param life which life of the sender this is: drawn at its start
 * @param count grows with each datagram of one life to one member
 * @param echo the receiver's last word for the sender, as a proof that this is new
 * @param word the sender's word for the receiver, to be echoed
 * @param topic whose body this is
 */
record Header(int version, int key, int sender, long life, long count, long echo, long word, int topic) {
    static final int VERSION = 1;
    static final CBORFactory CBOR = new CBORFactory();
    private static final int FIELDS = 8;
    /** The most that it takes, with every number at its greatest. */
    static final int MOST_BYTES = 1 + 1 + 2 + 3 + 5 + 5 + 5 + 5 + 2;

    /** A header that can't be read. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        Unreadable(String what) {
            super(what);
        }
    }

    /** What was read, and how many bytes it took. */
    record Read(Header header, int length) {}

    void write(ByteArrayOutputStream to) {
        try (JsonGenerator cbor = CBOR.createGenerator(to)) {
            cbor.writeStartArray(null, FIELDS);
            cbor.writeNumber(version);
            cbor.writeNumber(key);
            cbor.writeNumber(sender);
            cbor.writeNumber(life);
            cbor.writeNumber(count);
            cbor.writeNumber(echo);
            cbor.writeNumber(word);
            cbor.writeNumber(topic);
            cbor.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("nothing is written to but memory", e);
        }
    }

    static Read read(byte[] bytes, int length) throws Unreadable {
        try (JsonParser cbor = CBOR.createParser(bytes, 0, length)) {
            if (cbor.nextToken() != JsonToken.START_ARRAY) {
                throw new Unreadable("no array");
            }
            long[] fields = new long[FIELDS];
            for (int i = 0; i < FIELDS; i++) {
                if (cbor.nextToken() != JsonToken.VALUE_NUMBER_INT
                        || cbor.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
                    throw new Unreadable("field " + i + " is no whole number");
                }
                fields[i] = cbor.getLongValue();
                if (fields[i] < 0 || fields[i] > 0xFFFF_FFFFL || (i < 3 || i == 7) && fields[i] > 0xFFFF) {
                    throw new Unreadable("field " + i + " is out of bounds");
                }
                if (i == 0 && fields[0] != VERSION) {
                    // What follows may be anything.
                    return new Read(new Header((int) fields[0], 0, 0, 0, 0, 0, 0, 0), 0);
                }
            }
            if (cbor.nextToken() != JsonToken.END_ARRAY) {
                throw new Unreadable("too many fields");
            }
            int end = (int) cbor.currentLocation().getByteOffset();
            return new Read(
                    new Header(
                            (int) fields[0],
                            (int) fields[1],
                            (int) fields[2],
                            fields[3],
                            fields[4],
                            fields[5],
                            fields[6],
                            (int) fields[7]),
                    end);
        } catch (IOException e) {
            throw new Unreadable(e.getMessage());
        }
    }
}
