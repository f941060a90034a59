package grebehoist.fleet.distribution;

/** Calls and answers as bytes, for whoever carries them. */
public final class CallCodec {
    private CallCodec() { }

    /** Returns the bytes of a call. */
    public static byte[] encode(Call call) {
        throw new UnsupportedOperationException("to come");
    }

    /** Reads a call; null for bytes that are none. */
    public static Call call(byte[] bytes) {
        throw new UnsupportedOperationException("to come");
    }

    /** Returns the bytes of an answer. */
    public static byte[] encode(Answer answer) {
        throw new UnsupportedOperationException("to come");
    }

    /** Reads an answer; null for bytes that are none. */
    public static Answer answer(byte[] bytes) {
        throw new UnsupportedOperationException("to come");
    }
}
