package grebehoist.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Arrays;
import java.util.UUID;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TSet;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/** Messages as libthrift writes them. */
final class ThriftBytes {
    /** The protocols that a client may use. */
    enum Kind {
        BINARY,
        BINARY_OLD,
        COMPACT
    }

    interface Body {
        void write(TProtocol out) throws TException;
    }

    private ThriftBytes() {}

    static TProtocol protocol(Kind kind, TTransport transport) {
        return switch (kind) {
            case BINARY -> new TBinaryProtocol(transport);
            case BINARY_OLD -> new TBinaryProtocol(transport, false, false);
            case COMPACT -> new TCompactProtocol(transport);
        };
    }

    static byte[] message(Kind kind, byte type, String name, int sequenceId, Body body) {
        try {
            var buffer = new TMemoryBuffer(256);
            TProtocol out = protocol(kind, buffer);
            out.writeMessageBegin(new TMessage(name, type, sequenceId));
            out.writeStructBegin(new TStruct("x"));
            body.write(out);
            out.writeFieldStop();
            out.writeStructEnd();
            out.writeMessageEnd();
            return Arrays.copyOf(buffer.getArray(), buffer.length());
        } catch (TTransportException e) {
            throw new IllegalStateException(e);
        } catch (TException e) {
            throw new IllegalStateException(e);
        }
    }

    static ByteBuf buf(byte[] bytes) {
        return Unpooled.wrappedBuffer(bytes);
    }

    /** The arguments of a payment: 1 the request's id, 2 a struct of supplier (1), amount (2) and key (3), 4 a time-out. */
    static Body payment(String id, String supplier, String key) {
        return out -> {
            field(out, TType.STRING, 1);
            out.writeString(id);
            field(out, TType.STRUCT, 2);
            out.writeStructBegin(new TStruct("payment"));
            field(out, TType.STRING, 1);
            out.writeString(supplier);
            field(out, TType.I64, 2);
            out.writeI64(-123_456_789_012L);
            if (key != null) {
                field(out, TType.STRING, 3);
                out.writeString(key);
            }
            out.writeFieldStop();
            out.writeStructEnd();
            field(out, TType.I32, 4);
            out.writeI32(1_900);
        };
    }

    static void field(TProtocol out, byte type, int id) throws TException {
        out.writeFieldBegin(new TField("f", type, (short) id));
    }

    /** Every type there is, containers of containers, and a field far away. */
    static void everything(TProtocol out) throws TException {
        field(out, TType.BOOL, 1);
        out.writeBool(true);
        field(out, TType.BOOL, 2);
        out.writeBool(false);
        field(out, TType.BYTE, 3);
        out.writeByte((byte) -7);
        field(out, TType.I16, 4);
        out.writeI16((short) -300);
        field(out, TType.I32, 5);
        out.writeI32(Integer.MIN_VALUE);
        field(out, TType.I64, 6);
        out.writeI64(Long.MAX_VALUE);
        field(out, TType.DOUBLE, 7);
        out.writeDouble(Math.PI);
        field(out, TType.STRING, 8);
        out.writeString("blåbær");
        field(out, TType.UUID, 9);
        out.writeUuid(new UUID(1, 2));
        field(out, TType.MAP, 10);
        out.writeMapBegin(new TMap(TType.STRING, TType.LIST, 2));
        for (int i = 0; i < 2; i++) {
            out.writeString("k" + i);
            out.writeListBegin(new TList(TType.BOOL, 20));
            for (int j = 0; j < 20; j++) {
                out.writeBool(j % 2 == 0);
            }
            out.writeListEnd();
        }
        out.writeMapEnd();
        field(out, TType.SET, 11);
        out.writeSetBegin(new TSet(TType.I32, 3));
        for (int i = 0; i < 3; i++) {
            out.writeI32(i * 1_000_000);
        }
        out.writeSetEnd();
        field(out, TType.MAP, 12);
        out.writeMapBegin(new TMap(TType.I32, TType.STRING, 0));
        out.writeMapEnd();
        field(out, TType.LIST, 13);
        out.writeListBegin(new TList(TType.STRUCT, 2));
        for (int i = 0; i < 2; i++) {
            out.writeStructBegin(new TStruct("inner"));
            field(out, TType.DOUBLE, 3);
            out.writeDouble(i);
            out.writeFieldStop();
            out.writeStructEnd();
        }
        out.writeListEnd();
        field(out, TType.STRUCT, 14);
        out.writeStructBegin(new TStruct("union"));
        field(out, TType.STRUCT, 5);
        out.writeStructBegin(new TStruct("chosen"));
        field(out, TType.I32, 300);
        out.writeI32(42);
        out.writeFieldStop();
        out.writeStructEnd();
        out.writeFieldStop();
        out.writeStructEnd();
        field(out, TType.STRING, 32_000);
        out.writeString("far away");
    }
}
