package grebehoist.http;

import grebehoist.engine.Payload;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Map;

/**
 * What goes to a backend; it is the same for each attempt, but for the time left.
 *
 * @param body the body, or what has come of it where the upload brings it
 * @param upload the body where it goes on as it comes, else null
 */
record HttpCall(HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, Upload upload) implements Payload {
    private static final int FIELD_OVERHEAD = ": \r\n".length();

    @Override
    public long bytes() {
        long bytes = uri.length() + body.readableBytes();
        for (Map.Entry<String, String> field : headers) {
            bytes += field.getKey().length() + field.getValue().length() + FIELD_OVERHEAD;
        }
        return bytes;
    }

    @Override
    public void retain() {
        body.retain();
    }

    @Override
    public void release() {
        body.release();
    }
}
