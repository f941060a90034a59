package grebehoist.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/**
 * What clients are told by the proxy itself. Unless a method names an exception that its service declares, a refusal is a
 * {@code TApplicationException} of type 0 whose text begins with {@link #REFUSED}, a failure one of type 6 with
 * {@link #FAILED}.
 */
final class Replies {
    static final String REFUSED = "refused: not now; trying again is harmless";
    static final String FAILED = "failed: it may have taken effect";

    private Replies() {}

    static ByteBuf refused(ByteBufAllocator allocator, Message call, ThriftMethod.Refusal declared, long retryAfterUs) {
        long ms = (retryAfterUs + 999) / 1_000;
        String text = REFUSED + (ms > 0 ? "; retry_after_ms=" + ms : "");
        if (declared == null) {
            return exception(allocator, call, ThriftOutcomes.UNKNOWN, text);
        }
        ByteBuf out = begin(allocator, call, Message.REPLY);
        Encoding e = call.encoding();
        e.writeStructField(out, declared.field(), 0);
        boolean textFirst = declared.message() < declared.retryAfterMs() || declared.retryAfterMs() == 0;
        int before = 0;
        for (int i = 0; i < 2; i++) {
            if (i == 0 == textFirst && declared.message() > 0) {
                e.writeStringField(out, declared.message(), before, text);
                before = declared.message();
            } else if (i == 0 != textFirst && declared.retryAfterMs() > 0) {
                e.writeI32Field(out, declared.retryAfterMs(), before, (int) Math.min(ms, Integer.MAX_VALUE));
                before = declared.retryAfterMs();
            }
        }
        e.writeStop(out);
        e.writeStop(out);
        return end(out);
    }

    static ByteBuf failed(ByteBufAllocator allocator, Message call) {
        return exception(allocator, call, ThriftOutcomes.INTERNAL_ERROR, FAILED);
    }

    /** A {@code TApplicationException}: field 1 is the text, field 2 the type. */
    static ByteBuf exception(ByteBufAllocator allocator, Message call, int type, String text) {
        ByteBuf out = begin(allocator, call, Message.EXCEPTION);
        call.encoding().writeStringField(out, 1, 0, text);
        call.encoding().writeI32Field(out, 2, 1, type);
        call.encoding().writeStop(out);
        return end(out);
    }

    private static ByteBuf begin(ByteBufAllocator allocator, Message call, int type) {
        ByteBuf out = allocator.buffer(128).writeInt(0);
        String name = call.name().substring(call.name().indexOf(':') + 1);
        call.encoding().writeHeader(out, type, name.getBytes(StandardCharsets.UTF_8), call.sequenceId());
        return out;
    }

    private static ByteBuf end(ByteBuf out) {
        return out.setInt(0, out.readableBytes() - 4);
    }
}
