package grebehoist.thrift;

import grebehoist.backend.AttemptConnection;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Cuts a stream into frames: four bytes of length ahead of each (Thrift, "Thrift Remote Procedure Call", framed transport).
 * A length that is negative, zero or more than allowed ends it before anything of the frame is read. What is held is what
 * has come.
 */
final class Frames extends LengthFieldBasedFrameDecoder implements AttemptConnection.Counted {
    /** A frame that fills less of what has been read than so many of four parts is copied: it would hold the rest as well. */
    private static final int QUARTERS_FILLED = 3;

    private long bytes;

    Frames(int maxFrame) {
        // The limit counts the length itself.
        super(maxFrame + 4, 0, 4, 0, 4, true);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        bytes += message instanceof ByteBuf read ? read.readableBytes() : 0;
        super.channelRead(ctx, message);
    }

    @Override
    public long bytes() {
        return bytes;
    }

    @Override
    public void countAfresh() {
        bytes = 0;
    }

    @Override
    protected ByteBuf extractFrame(ChannelHandlerContext ctx, ByteBuf buffer, int index, int length) {
        if (4L * length >= (long) QUARTERS_FILLED * buffer.capacity()) {
            return buffer.retainedSlice(index, length);
        }
        return ctx.alloc().buffer(length, length).writeBytes(buffer, index, length);
    }

    /** Returns the memory that a frame takes which has not come whole: the buffers' size, and not the bytes in them. */
    int held() {
        return holdsMore() ? internalBuffer().capacity() : 0;
    }

    @Override
    public boolean holdsMore() {
        return actualReadableBytes() > 0;
    }
}
