import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The framed binary protocol of Thrift, as far as the stand-ins need it: messages whose struct has one text. */
final class Thrift {
    static final byte CALL = 1;
    static final byte REPLY = 2;
    static final byte EXCEPTION = 3;
    private static final int VERSION_1 = 0x80010000;

    private Thrift() {}

    /** A frame of the binary protocol: a message whose struct has one text. */
    static byte[] frame(byte type, String name, int sequence, int field, String text) throws IOException {
        var body = new ByteArrayOutputStream();
        var out = new DataOutputStream(body);
        out.writeInt(VERSION_1 | type);
        text(out, name);
        out.writeInt(sequence);
        out.writeByte(11);
        out.writeShort(field);
        text(out, text);
        out.writeByte(0);
        var whole = new ByteArrayOutputStream();
        new DataOutputStream(whole).writeInt(body.size());
        body.writeTo(whole);
        return whole.toByteArray();
    }

    static void text(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    /** A message that was read; the text is null where its struct begins with something else. */
    record Message(byte type, String name, int sequence, String text) {}

    static Message read(DataInputStream in) throws IOException {
        int length;
        try {
            length = in.readInt();
        } catch (EOFException e) {
            return null;
        }
        return parse(in.readNBytes(length));
    }

    static Message parse(byte[] frame) throws IOException {
        var in = new DataInputStream(new java.io.ByteArrayInputStream(frame));
        byte type = (byte) in.readInt();
        String name = new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
        int sequence = in.readInt();
        String text = null;
        if (in.readByte() == 11) {
            in.readShort();
            text = new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
        }
        return new Message(type, name, sequence, text);
    }
}
