package grebehoist.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.apache.thrift.transport.TTransport;

/**
 * Framed Thrift, written and read by libthrift, so that nothing of the proxy's own codec is on this side. A method is its
 * class, with {@code _later} behind it where it is oneway:
 *
 * <pre>
 * string CLASS(1: string requestId, 2: Subject subject, 4: i32 timeoutMs, 5: bool retried, 6: i64 workUs, 7: string text)
 * struct Subject { 1: string tenant, 2: string operation, 3: string key }
 * </pre>
 */
public final class ThriftWire implements StandInWire {
    /** What a method's name ends with where nobody answers it. */
    public static final String ONEWAY = "_later";

    /** In which protocol clients write. */
    public enum Kind {
        BINARY,
        COMPACT,
        /** Binary and compact in turn on one connection. */
        BOTH
    }

    private static final int LONGEST = 1 << 20;
    private static final Pattern RETRY_AFTER = Pattern.compile("retry_after_ms=(\\d+)");

    private final Kind kind;
    private final int maxOpen;
    private final int taken;
    private final boolean inOrder;

    /**
     * Makes it.
     *
     * @param maxOpen how many calls a client may have open on a connection
     * @param taken how many of them the listener reads
     * @param inOrder whether the listener promises replies in the order of the calls
     */
    public ThriftWire(Kind kind, int maxOpen, int taken, boolean inOrder) {
        this.kind = kind;
        this.maxOpen = maxOpen;
        this.taken = taken;
        this.inOrder = inOrder;
    }

    @Override
    public int maxOpen() {
        return maxOpen;
    }

    @Override
    public int taken() {
        return taken;
    }

    @Override
    public boolean inOrder() {
        return inOrder;
    }

    @Override
    public byte[] rubbish() {
        return ByteBuffer.allocate(24).putInt(-4).array();
    }

    private interface Writing {
        void write(TProtocol out) throws TException;
    }

    private static TProtocol protocol(boolean compact, TTransport transport) {
        return compact ? new TCompactProtocol(transport) : new TBinaryProtocol(transport);
    }

    private static byte[] frame(boolean compact, TMessage head, Writing body) {
        try {
            var buffer = new TMemoryBuffer(256);
            TProtocol out = protocol(compact, buffer);
            out.writeMessageBegin(head);
            body.write(out);
            out.writeMessageEnd();
            return ByteBuffer.allocate(4 + buffer.length())
                    .putInt(buffer.length())
                    .put(buffer.getArray(), 0, buffer.length())
                    .array();
        } catch (TException e) {
            throw new IllegalStateException("written to memory", e);
        }
    }

    private static void text(TProtocol out, int id, String value) throws TException {
        if (value != null) {
            out.writeFieldBegin(new TField("", TType.STRING, (short) id));
            out.writeString(value);
            out.writeFieldEnd();
        }
    }

    /** What stands in a struct by field ids, those of structs in it behind a dot; strings and numbers alone. */
    private static Map<String, String> fields(TProtocol in, String path) throws TException {
        Map<String, String> found = new HashMap<>();
        in.readStructBegin();
        for (TField f = in.readFieldBegin(); f.type != TType.STOP; f = in.readFieldBegin()) {
            switch (f.type) {
                case TType.STRING -> found.put(path + f.id, in.readString());
                case TType.I32 -> found.put(path + f.id, Integer.toString(in.readI32()));
                case TType.I64 -> found.put(path + f.id, Long.toString(in.readI64()));
                case TType.BOOL -> found.put(path + f.id, Boolean.toString(in.readBool()));
                case TType.STRUCT -> found.putAll(fields(in, path + f.id + "."));
                default -> TProtocolUtil.skip(in, f.type);
            }
            in.readFieldEnd();
        }
        in.readStructEnd();
        return found;
    }

    /** Frames in, one at a time. */
    private abstract static class Frames extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            byte[] bytes = ByteBufUtil.getBytes(frame);
            try {
                boolean compact = bytes.length > 0 && bytes[0] == (byte) 0x82;
                read(compact, protocol(compact, new TMemoryInputTransport(bytes)));
            } catch (TException e) {
                ctx.close();
            }
        }

        abstract void read(boolean compact, TProtocol in) throws TException;

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static LengthFieldBasedFrameDecoder decoder() {
        return new LengthFieldBasedFrameDecoder(LONGEST, 0, 4, 0, 4);
    }

    private static final class Server extends Frames implements BackendEnd {
        private final BackendSide side;
        private TMessage head = new TMessage();
        private boolean compact;

        Server(BackendSide side) {
            this.side = side;
        }

        @Override
        void read(boolean inCompact, TProtocol in) throws TException {
            compact = inCompact;
            head = in.readMessageBegin();
            Map<String, String> f = fields(in, "");
            boolean oneway = head.type == TMessageType.ONEWAY;
            String type = oneway ? head.name.substring(0, head.name.length() - ONEWAY.length()) : head.name;
            side.began(new Call(
                    f.getOrDefault("1", ""),
                    f.get("2.2"),
                    type,
                    false,
                    f.get("2.1"),
                    f.get("2.3"),
                    Long.parseLong(f.getOrDefault("6", "1000")),
                    Call.NOT_TOLD,
                    Boolean.parseBoolean(f.get("5")),
                    oneway));
            side.whole();
        }

        @Override
        public byte[] reply(Reply reply, String body) {
            return switch (reply) {
                case OK ->
                    frame(compact, new TMessage(head.name, TMessageType.REPLY, head.seqid), out -> {
                        out.writeStructBegin(new TStruct(""));
                        text(out, 0, body);
                        out.writeFieldStop();
                        out.writeStructEnd();
                    });
                case NEVER_RAN -> exception(TApplicationException.UNKNOWN_METHOD, "not here");
                case UNAVAILABLE -> exception(TApplicationException.UNKNOWN, "busy");
                case ERROR -> exception(TApplicationException.INTERNAL_ERROR, "went wrong");
                case NOISE -> StandInWire.NOISE.getBytes(StandardCharsets.US_ASCII);
            };
        }

        private byte[] exception(int type, String text) {
            return frame(
                    compact,
                    new TMessage(head.name, TMessageType.EXCEPTION, head.seqid),
                    out -> new TApplicationException(type, text).write(out));
        }
    }

    @Override
    public BackendEnd backend(Channel channel, BackendSide side) {
        var server = new Server(side);
        channel.pipeline().addLast(decoder(), server);
        return server;
    }

    @Override
    public ClientEnd client(Channel channel, ClientSide side) {
        channel.pipeline().addLast(decoder(), new Frames() {
            @Override
            void read(boolean compact, TProtocol in) throws TException {
                TMessage head = in.readMessageBegin();
                if (head.type != TMessageType.EXCEPTION) {
                    side.answered(
                            new Answer(head.seqid, Heard.SERVED, fields(in, "").getOrDefault("0", ""), -1, true));
                    return;
                }
                TApplicationException told = TApplicationException.readFrom(in);
                String text = String.valueOf(told.getMessage());
                Matcher after = RETRY_AFTER.matcher(text);
                boolean refused = told.getType() == TApplicationException.UNKNOWN && text.startsWith("refused: ");
                side.answered(new Answer(
                        head.seqid,
                        refused ? Heard.REFUSED : Heard.FAILED,
                        "",
                        after.find() ? 1_000 * Long.parseLong(after.group(1)) : -1,
                        true));
            }
        });
        return new ClientEnd() {
            private boolean compact = kind == Kind.COMPACT;

            @Override
            public byte[] request(Call call, int tag) {
                compact = kind == Kind.BOTH ? !compact : compact;
                byte type = call.oneway() ? TMessageType.ONEWAY : TMessageType.CALL;
                return frame(
                        compact, new TMessage(call.requestClass() + (call.oneway() ? ONEWAY : ""), type, tag), out -> {
                            out.writeStructBegin(new TStruct(""));
                            text(out, 1, call.id());
                            out.writeFieldBegin(new TField("", TType.STRUCT, (short) 2));
                            out.writeStructBegin(new TStruct(""));
                            text(out, 1, call.tenant());
                            text(out, 2, call.operation());
                            text(out, 3, call.key());
                            out.writeFieldStop();
                            out.writeStructEnd();
                            out.writeFieldBegin(new TField("", TType.I32, (short) 4));
                            out.writeI32((int) (call.patienceUs() / 1_000));
                            out.writeFieldBegin(new TField("", TType.BOOL, (short) 5));
                            out.writeBool(call.retried());
                            out.writeFieldBegin(new TField("", TType.I64, (short) 6));
                            out.writeI64(call.workUs());
                            text(out, 7, "do " + call.operation() + " once, please");
                            out.writeFieldStop();
                            out.writeStructEnd();
                        });
            }
        };
    }
}
