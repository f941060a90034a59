package grebehoist.fleet.distribution;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads arrays of plain fields and of such arrays; whatever else comes is an {@link IOException}. */
final class CborReader implements AutoCloseable {
    private static final CBORFactory CBOR = new CBORFactory();

    private final JsonParser cbor;

    CborReader(byte[] bytes) throws IOException {
        cbor = CBOR.createParser(bytes);
    }

    /** Returns whether an array begins here; false at the end of all. */
    boolean next() throws IOException {
        JsonToken token = cbor.nextToken();
        if (token != null && token != JsonToken.START_ARRAY) {
            throw new IOException("an array is wanted");
        }
        return token != null;
    }

    /** An array begins here. */
    void array() throws IOException {
        if (!next()) {
            throw new IOException("an array is wanted");
        }
    }

    /** Returns whether another array begins here; false where the one around it ends. */
    boolean another() throws IOException {
        JsonToken token = cbor.nextToken();
        if (token != JsonToken.START_ARRAY && token != JsonToken.END_ARRAY) {
            throw new IOException("an array is wanted");
        }
        return token == JsonToken.START_ARRAY;
    }

    long number(long most) throws IOException {
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

    String text(int least, int mostBytes) throws IOException {
        if (cbor.nextToken() != JsonToken.VALUE_STRING) {
            throw new IOException("a text is wanted");
        }
        String value = cbor.getText();
        int bytes = value.getBytes(StandardCharsets.UTF_8).length;
        if (bytes < least || bytes > mostBytes) {
            throw new IOException("a text of " + bytes + " bytes");
        }
        return value;
    }

    byte[] bytesOrNull(int most) throws IOException {
        JsonToken token = cbor.nextToken();
        if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        if (token != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new IOException("bytes are wanted");
        }
        byte[] value = cbor.getBinaryValue();
        if (value.length > most) {
            throw new IOException(value.length + " bytes");
        }
        return value;
    }

    /** What a later version has to add is left alone. */
    void end() throws IOException {
        for (JsonToken token = cbor.nextToken(); token != JsonToken.END_ARRAY; token = cbor.nextToken()) {
            if (token == null) {
                throw new IOException("cut off");
            }
            cbor.skipChildren();
        }
    }

    @Override
    public void close() throws IOException {
        cbor.close();
    }
}
