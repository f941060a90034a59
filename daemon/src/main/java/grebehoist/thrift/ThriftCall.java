package grebehoist.thrift;

import grebehoist.engine.Payload;
import io.netty.buffer.ByteBuf;

/** A message and its frame, without the length ahead: a call on its way to a backend, or a reply on its way back. */
record ThriftCall(Message message, ByteBuf frame) implements Payload {
    boolean oneway() {
        return message.type() == Message.ONEWAY;
    }

    @Override
    public long bytes() {
        return frame.readableBytes();
    }

    @Override
    public void retain() {
        frame.retain();
    }

    @Override
    public void release() {
        frame.release();
    }
}
