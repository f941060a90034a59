package grebehoist.fleet.distribution;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Writes what is needed of CBOR (RFC 8949), the shortest way. */
final class CborWriter {
    private static final int UNSIGNED = 0;
    private static final int BYTES = 2;
    private static final int TEXT = 3;
    private static final int ARRAY = 4;
    private static final int NULL = 0xF6;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream(64);

    CborWriter array(int size) {
        head(ARRAY, size);
        return this;
    }

    CborWriter number(long value) {
        if (value < 0) {
            throw new IllegalArgumentException("negative: " + value);
        }
        head(UNSIGNED, value);
        return this;
    }

    CborWriter text(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        head(TEXT, bytes.length);
        out.writeBytes(bytes);
        return this;
    }

    /** Null is written as such. */
    CborWriter bytes(byte[] value) {
        if (value == null) {
            out.write(NULL);
        } else {
            head(BYTES, value.length);
            out.writeBytes(value);
        }
        return this;
    }

    /** What was written elsewhere. */
    CborWriter raw(byte[] written) {
        out.writeBytes(written);
        return this;
    }

    byte[] done() {
        return out.toByteArray();
    }

    private void head(int major, long value) {
        int type = major << 5;
        if (value < 24) {
            out.write(type | (int) value);
            return;
        }
        int form = value < 1 << 8 ? 0 : value < 1 << 16 ? 1 : value < 1L << 32 ? 2 : 3;
        out.write(type | 24 + form);
        for (int shift = (8 << form) - 8; shift >= 0; shift -= 8) {
            out.write((int) (value >>> shift));
        }
    }
}
