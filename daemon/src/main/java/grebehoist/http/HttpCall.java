package grebehoist.http;

import grebehoist.engine.Payload;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * What goes to a backend; it is the same for each attempt, but for the time left.
 *
 * @param body the body, or what has come of it where the upload brings it
 * @param upload the body where it goes on as it comes, else null
 */
record HttpCall(HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, Upload upload) implements Payload {
    @Override
    public void retain() {
        body.retain();
    }

    @Override
    public void release() {
        body.release();
    }
}
