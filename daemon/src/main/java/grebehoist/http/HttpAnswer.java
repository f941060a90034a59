package grebehoist.http;

import grebehoist.engine.Payload;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** A backend's 200. */
record HttpAnswer(HttpHeaders headers, ByteBuf body) implements Payload {
    @Override
    public void retain() {
        body.retain();
    }

    @Override
    public void release() {
        body.release();
    }
}
