package grebehoist.thrift;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * The protocols in which a message may be written, told apart by its first bytes (Thrift, "Thrift Binary protocol encoding"
 * and "Thrift Compact protocol encoding").
 */
enum Encoding {
    /** Binary protocol with a version. */
    BINARY {
        @Override
        void writeHeader(ByteBuf out, int type, byte[] name, int sequenceId) {
            out.writeInt(0x80010000 | type)
                    .writeInt(name.length)
                    .writeBytes(name)
                    .writeInt(sequenceId);
        }
    },
    /** Binary protocol as it was before there was a version; read, and answered in kind. */
    BINARY_OLD {
        @Override
        void writeHeader(ByteBuf out, int type, byte[] name, int sequenceId) {
            out.writeInt(name.length).writeBytes(name).writeByte(type).writeInt(sequenceId);
        }
    },
    COMPACT {
        @Override
        void writeHeader(ByteBuf out, int type, byte[] name, int sequenceId) {
            out.writeByte(0x82).writeByte(type << 5 | 1);
            Cursor.writeVarint(out, sequenceId);
            Cursor.writeVarint(out, name.length);
            out.writeBytes(name);
        }

        @Override
        void writeStringField(ByteBuf out, int id, int before, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            compactField(out, id, before, 8);
            Cursor.writeVarint(out, bytes.length);
            out.writeBytes(bytes);
        }

        @Override
        void writeI32Field(ByteBuf out, int id, int before, int value) {
            compactField(out, id, before, 5);
            Cursor.writeVarint(out, value << 1 ^ value >> 31);
        }

        @Override
        void writeStructField(ByteBuf out, int id, int before) {
            compactField(out, id, before, 12);
        }
    };

    /** Writes what goes before the arguments or the result. */
    abstract void writeHeader(ByteBuf out, int type, byte[] name, int sequenceId);

    /** Writes a field; {@code before} is the id of the field before it in the same struct, 0 for the first. */
    void writeStringField(ByteBuf out, int id, int before, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeByte(11).writeShort(id).writeInt(bytes.length).writeBytes(bytes);
    }

    void writeI32Field(ByteBuf out, int id, int before, int value) {
        out.writeByte(8).writeShort(id).writeInt(value);
    }

    /** Begins a struct; {@link #writeStop} ends it. */
    void writeStructField(ByteBuf out, int id, int before) {
        out.writeByte(12).writeShort(id);
    }

    void writeStop(ByteBuf out) {
        out.writeByte(0);
    }

    private static void compactField(ByteBuf out, int id, int before, int type) {
        int delta = id - before;
        if (delta > 0 && delta <= 15) {
            out.writeByte(delta << 4 | type);
        } else {
            out.writeByte(type);
            Cursor.writeVarint(out, (short) id << 1 ^ (short) id >> 15);
        }
    }
}
