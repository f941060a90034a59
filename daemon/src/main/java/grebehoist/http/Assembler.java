package grebehoist.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Puts messages together that are short, and hands on long ones as they come. Netty's aggregator does the first alone: past its
 * limit the bytes that it holds are gone.
 *
 * @param <H> what a message begins with
 */
abstract class Assembler<H extends HttpMessage> extends ChannelInboundHandlerAdapter {
    /** Where the parts of a long message go. */
    interface Sink {
        /** The next bytes, which the sink owns from here on. */
        void part(ByteBuf bytes);

        /** That was all of it. */
        void last();

        /**
         * The rest will not come.
         *
         * @param unreadable whether it is there, but can't be read
         */
        void broken(boolean unreadable);
    }

    /** What is as long goes on as it is; shorter pieces that come together go on together, as each costs the same whatever it holds. */
    private static final int LONG_PIECE = 4 * 1024;
    /** So much goes on at once, in bytes, however much has come together. */
    private static final int MOST_GATHERED = 16 * 1024;

    private final Class<H> type;
    private H head;
    private ByteBuf held;
    private Sink sink;
    /** Short pieces that are yet to be handed on, or null. */
    private ByteBuf gathered;

    Assembler(Class<H> type) {
        this.type = type;
    }

    /** A head has come. Returns whether its message is wanted: else all of it is dropped. */
    protected abstract boolean begins(ChannelHandlerContext ctx, H message);

    /** Returns whether a message that has so many bytes by now is still to be put together. */
    protected abstract boolean holds(H message, int bytes);

    /** A message is there as a whole; the body is the receiver's, and so is what the result says of it. */
    protected abstract void whole(ChannelHandlerContext ctx, H message, ByteBuf body, DecoderResult result);

    /** A message is too long to be held; what has come of it goes to the sink first. Returns null where it isn't wanted. */
    protected abstract Sink streams(ChannelHandlerContext ctx, H message);

    /** What was held of a message has been handed on, or dropped. */
    protected void forgets() {}

    /** Returns how many bytes of a body are held. */
    final int heldBytes() {
        return held == null ? 0 : held.readableBytes();
    }

    @Override
    public final void channelRead(ChannelHandlerContext ctx, Object object) {
        try {
            if (type.isInstance(object)) {
                head(ctx, type.cast(object));
            }
            if (object instanceof HttpContent content && head != null) {
                content(ctx, content);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void head(ChannelHandlerContext ctx, H message) {
        drop();
        if (begins(ctx, message)) {
            head = message;
            if (!holds(message, 0)) {
                handOn(ctx);
            }
        }
    }

    private void content(ChannelHandlerContext ctx, HttpContent content) {
        boolean bad = content.decoderResult().isFailure();
        boolean last = content instanceof LastHttpContent;
        if (sink == null && !bad && last && held == null) {
            held = content.content().retain();
        } else if (sink == null && !bad) {
            hold(ctx, content.content());
            if (!last && !holds(head, heldBytes())) {
                handOn(ctx);
            }
        } else if (!bad && content.content().isReadable()) {
            pass(ctx, content.content());
        }
        if (last || bad) {
            passGathered();
        }
        if (head == null || !last && !bad) {
            return;
        }
        if (sink != null) {
            Sink to = sink;
            forget();
            if (bad) {
                to.broken(true);
            } else {
                to.last();
            }
            return;
        }
        H message = head;
        ByteBuf body = held == null ? Unpooled.EMPTY_BUFFER : held;
        held = null;
        head = null;
        whole(ctx, message, body, bad ? content.decoderResult() : message.decoderResult());
        forgets();
    }

    private void pass(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (bytes.readableBytes() >= LONG_PIECE) {
            passGathered();
            if (sink != null) {
                sink.part(bytes.retain());
            }
            return;
        }
        if (gathered == null) {
            gathered = ctx.alloc().buffer(LONG_PIECE);
        }
        gathered.writeBytes(bytes);
        if (gathered.readableBytes() >= MOST_GATHERED) {
            passGathered();
        }
    }

    private void passGathered() {
        if (gathered != null) {
            ByteBuf bytes = gathered;
            gathered = null;
            sink.part(bytes);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        passGathered();
        super.channelReadComplete(ctx);
    }

    private void hold(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (bytes.isReadable()) {
            if (held == null) {
                held = ctx.alloc().buffer(bytes.readableBytes());
            }
            // Copied: small pieces would each keep a buffer as large as a read may be.
            held.writeBytes(bytes);
        }
    }

    /** Returns the message that is being put together, or null. */
    final H holding() {
        return sink == null ? head : null;
    }

    /** What is being put together is not held any longer. */
    final void handOn(ChannelHandlerContext ctx) {
        ByteBuf soFar = held == null ? Unpooled.EMPTY_BUFFER : held;
        held = null;
        sink = streams(ctx, head);
        forgets();
        if (sink == null) {
            soFar.release();
            head = null;
        } else if (soFar.isReadable()) {
            sink.part(soFar);
        } else {
            soFar.release();
        }
    }

    private void forget() {
        head = null;
        sink = null;
        forgets();
    }

    private void drop() {
        if (held != null) {
            held.release();
            held = null;
        }
        passGathered();
        Sink to = sink;
        forget();
        if (to != null) {
            to.broken(false);
        }
    }

    @Override
    public final void channelInactive(ChannelHandlerContext ctx) throws Exception {
        drop();
        super.channelInactive(ctx);
    }

    @Override
    public final void handlerRemoved(ChannelHandlerContext ctx) {
        drop();
    }
}
