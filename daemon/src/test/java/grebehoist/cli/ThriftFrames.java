package grebehoist.cli;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;

/** Framed messages in the binary protocol whose struct has one text, as libthrift writes and reads them. */
final class ThriftFrames {
    private static final int CALL_FIELD = 1;
    private static final int RESULT_FIELD = 0;

    /** A message as it was read; the text is null where its struct does not begin with one. */
    record Message(byte type, String name, int sequenceId, String text) {
        /** Returns whether a backend's own reply has come, and not what the proxy says in its place. */
        boolean isReply() {
            return type == TMessageType.REPLY;
        }
    }

    private ThriftFrames() {}

    /** Returns a call whose argument 1 is a text. */
    static byte[] call(String method, int sequenceId, String text) {
        return frame(TMessageType.CALL, method, sequenceId, CALL_FIELD, text);
    }

    /** Returns a reply whose result is a text. */
    static byte[] reply(String method, int sequenceId, String text) {
        return frame(TMessageType.REPLY, method, sequenceId, RESULT_FIELD, text);
    }

    private static byte[] frame(byte type, String method, int sequenceId, int field, String text) {
        try {
            var buffer = new TMemoryBuffer(256);
            TProtocol out = new TBinaryProtocol(buffer);
            out.writeMessageBegin(new TMessage(method, type, sequenceId));
            out.writeStructBegin(new TStruct("struct"));
            out.writeFieldBegin(new TField("", TType.STRING, (short) field));
            out.writeString(text);
            out.writeFieldStop();
            out.writeMessageEnd();
            return ByteBuffer.allocate(Integer.BYTES + buffer.length())
                    .putInt(buffer.length())
                    .put(buffer.getArray(), 0, buffer.length())
                    .array();
        } catch (TException e) {
            throw new IllegalStateException("written to memory", e);
        }
    }

    /** Reads a message; returns null where the connection ends before one begins. */
    static Message read(DataInputStream in) throws IOException {
        int length;
        try {
            length = in.readInt();
        } catch (EOFException e) {
            return null;
        }
        byte[] frame = in.readNBytes(length);
        if (frame.length < length) {
            throw new EOFException("cut short after " + frame.length + " of " + length);
        }
        try {
            TProtocol message = new TBinaryProtocol(new TMemoryInputTransport(frame));
            TMessage head = message.readMessageBegin();
            message.readStructBegin();
            TField field = message.readFieldBegin();
            String text = field.type == TType.STRING ? message.readString() : null;
            return new Message(head.type, head.name, head.seqid, text);
        } catch (TException e) {
            throw new IOException(e);
        }
    }
}
