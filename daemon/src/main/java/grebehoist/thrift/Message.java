package grebehoist.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;

/**
 * What stands at the head of a message, and where its parts are in the frame. The frame itself is not held.
 *
 * @param name the method, as on the wire: {@code Service:method} where it is multiplexed
 * @param sequenceAt where the sequence id stands in the frame, and how long it is
 * @param bodyAt where the struct of arguments or of the result begins
 */
record Message(
        Encoding encoding, int type, String name, int sequenceId, int sequenceAt, int sequenceLength, int bodyAt) {
    static final int CALL = 1;
    static final int REPLY = 2;
    static final int EXCEPTION = 3;
    static final int ONEWAY = 4;

    private static final int LONGEST_NAME = 1_024;

    /** Reads the head of a frame, from its reader index, which stays. */
    static Message read(ByteBuf frame) throws BadFrame {
        var in = new Cursor(frame);
        int first = in.u8();
        if (first == 0x82) {
            int typeAndVersion = in.u8();
            if ((typeAndVersion & 0x1F) != 1) {
                throw new BadFrame("an unknown version of the compact protocol");
            }
            int sequenceAt = in.at();
            int sequenceId = in.varint32();
            int length = in.at() - sequenceAt;
            String name = name(in, in.varint32());
            return checked(new Message(
                    Encoding.COMPACT, typeAndVersion >> 5 & 7, name, sequenceId, sequenceAt, length, in.at()));
        }
        if (first == 0x80) {
            if (in.u8() != 1) {
                throw new BadFrame("an unknown version of the binary protocol");
            }
            in.u8();
            int type = in.u8();
            String name = name(in, in.i32());
            int sequenceAt = in.at();
            int sequenceId = in.i32();
            return checked(new Message(Encoding.BINARY, type, name, sequenceId, sequenceAt, 4, in.at()));
        }
        if (first != 0) {
            throw new BadFrame("neither protocol begins like this");
        }
        in.back(1);
        String name = name(in, in.i32());
        int type = in.u8();
        int sequenceAt = in.at();
        int sequenceId = in.i32();
        return checked(new Message(Encoding.BINARY_OLD, type, name, sequenceId, sequenceAt, 4, in.at()));
    }

    private static Message checked(Message message) throws BadFrame {
        if (message.type < CALL || message.type > ONEWAY) {
            throw new BadFrame("no such type of message");
        }
        return message;
    }

    private static String name(Cursor in, int length) throws BadFrame {
        if (length <= 0 || length > LONGEST_NAME) {
            throw new BadFrame("a name of " + length + " bytes");
        }
        return in.text(length);
    }

    /**
     * Returns the frame with its length ahead and another sequence id, for the network. The bytes of the frame are shared,
     * and one more owner of them is counted.
     */
    ByteBuf framed(ByteBufAllocator allocator, ByteBuf frame, int otherId) {
        int start = frame.readerIndex();
        int after = sequenceAt + sequenceLength;
        ByteBuf head = allocator.buffer(4 + sequenceAt - start + 5);
        head.writeInt(0).writeBytes(frame, start, sequenceAt - start);
        if (encoding == Encoding.COMPACT) {
            Cursor.writeVarint(head, otherId);
        } else {
            head.writeInt(otherId);
        }
        int rest = frame.writerIndex() - after;
        head.setInt(0, head.readableBytes() - 4 + rest);
        CompositeByteBuf whole = allocator.compositeBuffer(2);
        whole.addComponent(true, head);
        whole.addComponent(true, frame.retainedSlice(after, rest));
        return whole;
    }
}
