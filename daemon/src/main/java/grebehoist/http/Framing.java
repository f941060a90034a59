package grebehoist.http;

import grebehoist.backend.AttemptConnection;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Where a message ends, as both sides of a proxy must agree on it. What Netty's decoders mend or let pass is a failure
 * here: a guess may hide a request in the body of another, or give a client what no backend meant.
 */
final class Framing {
    /** Bodies are handed on in pieces of up to so many bytes. */
    private static final int PIECE = 64 * 1024;

    /** A head and its trailers hold so many fields at most: as objects, short ones take some hundred times their bytes. */
    static final int MOST_FIELDS = 256;

    private Framing() {}

    /** Counts the fields of a message as they come, before anything is made of them. */
    private static final class FieldCount {
        private int fields;

        void messageBegins() {
            fields = 0;
        }

        void another() {
            fields++;
            if (fields > MOST_FIELDS) {
                throw new TooLongHttpHeaderException("more than " + MOST_FIELDS + " header fields");
            }
        }
    }

    private static HttpDecoderConfig config() {
        return new HttpDecoderConfig().setMaxChunkSize(PIECE);
    }

    /** Decodes what clients send. */
    static final class Requests extends HttpRequestDecoder {
        private final FieldCount count = new FieldCount();

        Requests() {
            super(config());
        }

        /** Returns whether bytes have come that belong to no message so far. */
        boolean holdsMore() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) throws Exception {
            count.messageBegins();
            return super.createMessage(initialLine);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw twoLengths();
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            requireColon(line, start + length);
            count.another();
            return super.splitHeaderName(line, start, length);
        }
    }

    /** Decodes what a backend sends, and counts it. */
    static final class Responses extends HttpResponseDecoder implements AttemptConnection.Counted {
        private static final byte[] PROTOCOL = "HTTP/".getBytes(StandardCharsets.US_ASCII);

        private final FieldCount count = new FieldCount();
        private long bytes;
        private boolean reset;

        Responses() {
            super(config());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (message instanceof ByteBuf read) {
                if (bytes == 0 && !mayBegin(read)) {
                    read.release();
                    throw new CorruptedFrameException("no answer begins like this");
                }
                bytes += read.readableBytes();
            }
            super.channelRead(ctx, message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
            reset |= cause instanceof IOException;
            super.exceptionCaught(ctx, cause);
        }

        /** An answer without a length ends with its connection (RFC 9112, 6.3), but a reset is no end: the rest of it is lost. */
        @Override
        protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            if (!reset) {
                super.decodeLast(ctx, in, out);
            }
        }

        /** Noise may hold no end of a line for the decoder to judge, and would be waited on like a slow head. */
        private static boolean mayBegin(ByteBuf read) {
            int from = read.readerIndex();
            while (from < read.writerIndex() && (read.getByte(from) == '\r' || read.getByte(from) == '\n')) {
                from++;
            }
            int length = Math.min(PROTOCOL.length, read.writerIndex() - from);
            for (int i = 0; i < length; i++) {
                if (read.getByte(from + i) != PROTOCOL[i]) {
                    return false;
                }
            }
            return true;
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
        public boolean holdsMore() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            count.messageBegins();
            return super.createMessage(initialLine);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw twoLengths();
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            requireColon(line, start + length);
            count.another();
            return super.splitHeaderName(line, start, length);
        }
    }

    /** RFC 9112, 6.1: whoever sends both may be smuggling a second message in the first. */
    private static IllegalArgumentException twoLengths() {
        return new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /** A line without a colon is no header; Netty takes its first word for a name. */
    private static void requireColon(byte[] line, int from) {
        int i = from;
        while (i < line.length && (line[i] == ' ' || line[i] == '\t')) {
            i++;
        }
        if (i >= line.length || line[i] != ':') {
            throw new IllegalArgumentException("a header line without a colon");
        }
    }
}
