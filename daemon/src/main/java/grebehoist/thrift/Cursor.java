package grebehoist.thrift;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Reads a frame byte by byte; past its end there is nothing but {@link BadFrame}. The frame's indices stay. */
final class Cursor {
    private final ByteBuf frame;
    private final int end;
    private int at;

    Cursor(ByteBuf frame) {
        this.frame = frame;
        this.at = frame.readerIndex();
        this.end = frame.writerIndex();
    }

    int at() {
        return at;
    }

    int left() {
        return end - at;
    }

    void to(int index) {
        at = index;
    }

    void back(int bytes) {
        at -= bytes;
    }

    private void need(long bytes) throws BadFrame {
        if (bytes < 0 || bytes > end - at) {
            throw new BadFrame("cut short");
        }
    }

    int u8() throws BadFrame {
        need(1);
        return frame.getUnsignedByte(at++);
    }

    int i16() throws BadFrame {
        need(2);
        at += 2;
        return frame.getShort(at - 2);
    }

    int i32() throws BadFrame {
        need(4);
        at += 4;
        return frame.getInt(at - 4);
    }

    long i64() throws BadFrame {
        need(8);
        at += 8;
        return frame.getLong(at - 8);
    }

    void skip(long bytes) throws BadFrame {
        need(bytes);
        at += (int) bytes;
    }

    String text(int length) throws BadFrame {
        need(length);
        at += length;
        return frame.toString(at - length, length, StandardCharsets.UTF_8);
    }

    /** Five bytes at most: what goes on longer never ends. */
    int varint32() throws BadFrame {
        long value = varint(5);
        return (int) value;
    }

    long varint64() throws BadFrame {
        return varint(10);
    }

    private long varint(int mostBytes) throws BadFrame {
        long value = 0;
        for (int i = 0; i < mostBytes; i++) {
            int b = u8();
            value |= (long) (b & 0x7F) << 7 * i;
            if ((b & 0x80) == 0) {
                return value;
            }
        }
        throw new BadFrame("a varint without end");
    }

    static long unzigzag(long value) {
        return value >>> 1 ^ -(value & 1);
    }

    static void writeVarint(ByteBuf out, int value) {
        int rest = value;
        while ((rest & ~0x7F) != 0) {
            out.writeByte(rest & 0x7F | 0x80);
            rest >>>= 7;
        }
        out.writeByte(rest);
    }
}
