package grebehoist.thrift;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.fail;

import grebehoist.thrift.ThriftBytes.Kind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CodecException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.thrift.protocol.TMessageType;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Frames, heads and structs: what libthrift writes is read, and whatever else comes is a {@link BadFrame} and no more. */
class CodecTest {
    private static final int MAX = 64 * 1024;

    private static byte[] everything(Kind kind, int sequenceId) {
        return ThriftBytes.message(kind, TMessageType.CALL, "Billing:everything", sequenceId, ThriftBytes::everything);
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void readsTheHeadAndFindsTheFigures(Kind kind) throws Exception {
        ByteBuf frame = ThriftBytes.buf(everything(kind, -77));
        Message message = Message.read(frame);
        assertThat(message.name()).isEqualTo("Billing:everything");
        assertThat(message.type()).isEqualTo(Message.CALL);
        assertThat(message.sequenceId()).isEqualTo(-77);
        var paths = new FieldPaths();
        int[] slots = new int[] {
            paths.add("8"),
            paths.add("14.5.300"),
            paths.add("32000"),
            paths.add("6"),
            paths.add("5"),
            paths.add("1"),
            paths.add("3"),
            paths.add("4"),
            paths.add("2"),
            paths.add("99"),
            paths.add("14.6"),
            paths.add("8")
        };
        String[] found = StructWalk.walk(frame, message, paths);
        assertThat(Arrays.stream(slots).mapToObj(s -> found[s]))
                .containsExactly(
                        "blåbær",
                        "42",
                        "far away",
                        Long.toString(Long.MAX_VALUE),
                        Integer.toString(Integer.MIN_VALUE),
                        "1",
                        "-7",
                        "-300",
                        "0",
                        null,
                        null,
                        "blåbær");
        assertThat(frame.readerIndex()).isZero();
    }

    /** Only the sequence id changes, whatever its length; the frame keeps its owner. */
    @ParameterizedTest
    @EnumSource(Kind.class)
    void rewritesTheSequenceIdAlone(Kind kind) throws Exception {
        for (int from : new int[] {0, 1, 127, 128, 1 << 20, Integer.MAX_VALUE, -1}) {
            for (int to : new int[] {1, 300, -5}) {
                ByteBuf frame = ThriftBytes.buf(everything(kind, from));
                ByteBuf framed = Message.read(frame).framed(ByteBufAllocator.DEFAULT, frame, to);
                byte[] wanted = everything(kind, to);
                assertThat(framed.readInt()).isEqualTo(wanted.length);
                assertThat(ByteBufUtil.getBytes(framed)).isEqualTo(wanted);
                framed.release();
                assertThat(frame.refCnt()).isEqualTo(1);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void aMessageCutShortAtAnyByteIsABadFrame(Kind kind) {
        byte[] whole = everything(kind, 5);
        for (int length = 0; length < whole.length; length++) {
            ByteBuf part = ThriftBytes.buf(Arrays.copyOf(whole, length));
            assertThatThrownBy(() -> StructWalk.walk(part, Message.read(part), FieldPaths.NONE))
                    .isInstanceOf(BadFrame.class);
        }
        ByteBuf more = ThriftBytes.buf(Arrays.copyOf(whole, whole.length + 1));
        assertThatThrownBy(() -> StructWalk.walk(more, Message.read(more), FieldPaths.NONE))
                .hasMessageContaining("behind the message");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "81",
                "8002",
                "820201",
                "8222",
                "8224",
                "ffffffff",
                "474554202f",
                "80010001ffffffff",
                "8001000100000000",
                "8001000900000001610000000100",
                "00000000",
                "7fffffff",
                "8221ffffffffff",
                "822101ffffffff7f"
            })
    void aHeadThatIsNoneIsABadFrame(String hex) {
        ByteBuf frame = ThriftBytes.buf(ByteBufUtil.decodeHexDump(hex));
        assertThatThrownBy(() -> Message.read(frame)).isInstanceOf(BadFrame.class);
    }

    private static ByteBuf binary(String... parts) {
        ByteBuf out = Unpooled.buffer()
                .writeInt(0x80010001)
                .writeInt(1)
                .writeByte('m')
                .writeInt(1);
        return append(out, parts);
    }

    private static ByteBuf compact(String... parts) {
        ByteBuf out = Unpooled.buffer()
                .writeByte(0x82)
                .writeByte(0x21)
                .writeByte(1)
                .writeByte(1)
                .writeByte('m');
        return append(out, parts);
    }

    private static ByteBuf append(ByteBuf out, String... parts) {
        for (String part : parts) {
            out.writeBytes(ByteBufUtil.decodeHexDump(part));
        }
        return out;
    }

    private static void assertBad(ByteBuf frame, String why) {
        assertThatThrownBy(() -> StructWalk.walk(frame, Message.read(frame), FieldPaths.NONE))
                .isInstanceOf(BadFrame.class)
                .hasMessageContaining(why);
    }

    @Test
    void hostileStructsAreBadFrames() {
        assertBad(binary("0c0001".repeat(10_000), "00".repeat(10_001)), "deep");
        assertBad(compact("1c".repeat(10_000), "00".repeat(10_001)), "deep");
        assertBad(binary("0f0001", "0f00000001".repeat(10_000)), "deep");
        assertBad(binary("0f0001", "03", "7fffffff", "00"), "cut short");
        assertBad(binary("0f0001", "03", "ffffffff", "00"), "a container of -1");
        assertBad(binary("0d0001", "0b0c", "80000000", "00"), "a container of");
        assertBad(binary("0b0001", "ffffffff", "00"), "cut short");
        assertBad(binary("0b0001", "7fffffff", "00"), "cut short");
        assertBad(binary("010001", "00"), "no such type");
        assertBad(compact("19", "f3", "ffffffff07", "00"), "cut short");
        assertBad(compact("19", "f3", "ffffffff0f", "00"), "a container of -1");
        assertBad(compact("1b", "ffffffff07", "88", "00"), "cut short");
        assertBad(compact("16", "ff".repeat(20), "00"), "a varint without end");
        assertBad(compact("18", "ffffffff0f", "00"), "cut short");
        assertBad(compact("1e", "00"), "no such type");
    }

    /** Wherever the network cuts them, the frames are the same. */
    @Test
    void framesComeWholeHoweverTheyAreCut() {
        byte[] one = everything(Kind.COMPACT, 1);
        byte[] two = everything(Kind.BINARY, 2);
        ByteBuf stream = Unpooled.buffer()
                .writeInt(one.length)
                .writeBytes(one)
                .writeInt(two.length)
                .writeBytes(two);
        for (int cut = 0; cut <= stream.readableBytes(); cut++) {
            var channel = new EmbeddedChannel(new Frames(MAX));
            channel.writeInbound(stream.copy(0, cut));
            channel.writeInbound(stream.copy(cut, stream.readableBytes() - cut));
            for (byte[] wanted : new byte[][] {one, two}) {
                ByteBuf frame = channel.readInbound();
                assertThat(ByteBufUtil.getBytes(frame)).isEqualTo(wanted);
                frame.release();
            }
            assertThat(channel.inboundMessages()).isEmpty();
            channel.finishAndReleaseAll();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, Integer.MIN_VALUE, Integer.MAX_VALUE, MAX + 1})
    void aLengthThatCannotBeIsRefusedBeforeTheFrameIsRead(int length) {
        var channel = new EmbeddedChannel(new Frames(MAX));
        assertThatThrownBy(() -> channel.writeInbound(Unpooled.buffer().writeInt(length)))
                .isInstanceOf(CodecException.class);
        channel.finishAndReleaseAll();
    }

    /** What the proxy answers itself, libthrift reads: see {@link ThriftProxyTest}; here the declared exception's form. */
    @ParameterizedTest
    @EnumSource(Kind.class)
    void aDeclaredRefusalIsAStructInTheResult(Kind kind) throws Exception {
        ByteBuf frame = ThriftBytes.buf(everything(kind, 9));
        Message call = Message.read(frame);
        for (var declared : new ThriftMethod.Refusal[] {
            new ThriftMethod.Refusal(2, 1, 3),
            new ThriftMethod.Refusal(20, 5, 4),
            new ThriftMethod.Refusal(1, 0, 2),
            new ThriftMethod.Refusal(1, 7, 0)
        }) {
            ByteBuf reply = Replies.refused(ByteBufAllocator.DEFAULT, call, declared, 1_500)
                    .skipBytes(4);
            Message head = Message.read(reply);
            var paths = new FieldPaths();
            int text = declared.message() == 0 ? -1 : paths.add(declared.field() + "." + declared.message());
            int wait = declared.retryAfterMs() == 0 ? -1 : paths.add(declared.field() + "." + declared.retryAfterMs());
            String[] found = StructWalk.walk(reply, head, paths);
            assertThat(head.type()).isEqualTo(Message.REPLY);
            assertThat(head.name()).isEqualTo("everything");
            assertThat(head.sequenceId()).isEqualTo(9);
            if (text >= 0) {
                assertThat(found[text]).isEqualTo(Replies.REFUSED + "; retry_after_ms=2");
            }
            if (wait >= 0) {
                assertThat(found[wait]).isEqualTo("2");
            }
            reply.release();
        }
    }

    /** No input makes the codec throw anything but {@link BadFrame}; the long run is {@link CodecFuzz}. */
    @Test
    void mutatedMessagesAreReadOrBad() {
        long seed = 20261201;
        long inputs = Long.getLong("grebehoist.fuzz.inputs", 300_000);
        System.out.println("codec: " + inputs + " mutated messages from seed " + seed);
        assertThat(CodecFuzz.run(seed, inputs)).isPositive();
    }

    /** What a message claims to hold is never made room for: only what came costs memory. */
    @Test
    void claimsCostNoMemory() {
        List<ByteBuf> claims = new ArrayList<>();
        for (int type : new int[] {11, 13, 14, 15}) {
            ByteBuf binary = Unpooled.buffer()
                    .writeInt(0x80010001)
                    .writeInt(3)
                    .writeBytes(new byte[] {'p', 'a', 'y'})
                    .writeInt(1)
                    .writeByte(type)
                    .writeShort(8);
            if (type != 11) {
                binary.writeByte(8);
            }
            if (type == 13) {
                binary.writeByte(8);
            }
            claims.add(binary.writeInt(Integer.MAX_VALUE).writeZero(100));
        }
        claims.add(Unpooled.buffer()
                .writeInt(0x80010001)
                .writeInt(Integer.MAX_VALUE)
                .writeZero(100));
        claims.add(Unpooled.wrappedBuffer(
                new byte[] {(byte) 0x82, 0x21, 1, 3, 'p', 'a', 'y', (byte) 0x88, -1, -1, -1, -1, 7, 0, 0}));
        claims.add(Unpooled.wrappedBuffer(
                new byte[] {(byte) 0x82, 0x21, 1, 3, 'p', 'a', 'y', (byte) 0x89, (byte) 0xF5, -1, -1, -1, -1, 7, 0}));
        var paths = new FieldPaths();
        paths.add("8");
        var thread = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long rounds = 2_000;
        for (ByteBuf claim : claims) {
            long before = thread.getCurrentThreadAllocatedBytes();
            for (int i = 0; i < rounds; i++) {
                assertThatBad(claim, paths);
            }
            long each = (thread.getCurrentThreadAllocatedBytes() - before) / rounds;
            assertThat(each).as(ByteBufUtil.hexDump(claim)).isLessThan(4_096);
        }
    }

    private static void assertThatBad(ByteBuf frame, FieldPaths paths) {
        try {
            StructWalk.walk(frame, Message.read(frame), paths);
        } catch (BadFrame e) {
            return;
        }
        fail("taken for a good one: " + ByteBufUtil.hexDump(frame));
    }

    @Test
    void fieldPathsAreNumbersBetweenDots() {
        assertThat(new ArrayList<>(Arrays.asList("1", "2.1", "32767.1.2"))).allMatch(FieldPaths::isPath);
        assertThat(new ArrayList<>(Arrays.asList("", ".", "1.", "a", "-1", "40000", "1..2", "1 ")))
                .noneMatch(FieldPaths::isPath);
    }

    /** Mutates good messages and feeds them to the codec. */
    static final class CodecFuzz {
        private CodecFuzz() {}

        /** Returns how many of the inputs were good messages all the same. */
        static long run(long seed, long inputs) {
            var random = new SplittableRandom(seed);
            var paths = new FieldPaths();
            paths.add("2.1");
            paths.add("14.5.300");
            paths.add("8");
            byte[][] good = new byte[6][];
            for (Kind kind : Kind.values()) {
                good[kind.ordinal()] = everything(kind, 3);
                good[3 + kind.ordinal()] =
                        ThriftBytes.message(kind, TMessageType.CALL, "pay", 1, ThriftBytes.payment("r", "s", "k"));
            }
            long read = 0;
            for (long i = 0; i < inputs; i++) {
                byte[] bytes = good[random.nextInt(good.length)].clone();
                for (int change = random.nextInt(5); change >= 0; change--) {
                    int at = random.nextInt(bytes.length);
                    switch (random.nextInt(4)) {
                        case 0 -> bytes[at] = (byte) random.nextInt();
                        case 1 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
                        case 2 -> bytes = Arrays.copyOf(bytes, 1 + random.nextInt(bytes.length));
                        default -> {
                            int from = random.nextInt(bytes.length);
                            System.arraycopy(
                                    bytes,
                                    Math.min(from, at),
                                    bytes,
                                    Math.max(from, at),
                                    bytes.length - Math.max(from, at));
                        }
                    }
                }
                ByteBuf frame = ThriftBytes.buf(bytes);
                try {
                    Message message = Message.read(frame);
                    StructWalk.walk(frame, message, paths);
                    ByteBuf framed = message.framed(ByteBufAllocator.DEFAULT, frame, random.nextInt());
                    framed.release();
                    read++;
                } catch (BadFrame e) {
                    // As it should be.
                } catch (RuntimeException | StackOverflowError e) {
                    fail(
                            "input " + i + " of seed " + seed + ": " + ByteBufUtil.hexDump(bytes) + " "
                                    + new String(bytes, StandardCharsets.ISO_8859_1),
                            e);
                }
            }
            return read;
        }
    }
}
