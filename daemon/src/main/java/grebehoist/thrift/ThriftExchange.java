package grebehoist.thrift;

import grebehoist.engine.ClientState;
import grebehoist.engine.Payload;
import grebehoist.engine.Responder;
import grebehoist.net.Arrival;
import io.netty.buffer.ByteBuf;

/** A call and its one reply, which waits here until its turn has come. */
final class ThriftExchange implements Responder {
    /** Half of the time after a client's leaving in which an attempt may still begin. */
    private static final long ONEWAY_GRACE_US = 50_000;

    private final ThriftClientConnection connection;
    private final Message message;
    private final ByteBuf frame;
    private final int bytes;
    private final Arrival arrival;
    private CallReader.Read read;
    /** Null as long as it is not handed in. */
    private String id;

    /** Null as long as it is not begun. */
    private CallWindow window;
    /** What it has reserved of the memory for answers. */
    private long reserved;

    private ByteBuf reply;
    private boolean done;

    ThriftExchange(ThriftClientConnection connection, Message message, ByteBuf frame, Arrival arrival) {
        this.connection = connection;
        this.message = message;
        this.frame = frame;
        this.bytes = frame.readableBytes();
        this.arrival = arrival;
    }

    /** Returns when the last of its bytes came. */
    @Override
    public String whereItWaited() {
        return arrival.toString();
    }

    Arrival arrival() {
        return arrival;
    }

    Message message() {
        return message;
    }

    ByteBuf frame() {
        return frame;
    }

    int bytes() {
        return bytes;
    }

    /** It can be passed on. */
    void read(CallReader.Read asked) {
        read = asked;
    }

    CallReader.Read read() {
        return read;
    }

    /** It is handed in under its id, in a window, and its reply may take so much memory. */
    void begun(CallWindow in, long reservedBytes) {
        id = read.request().id();
        window = in;
        reserved = reservedBytes;
    }

    CallWindow window() {
        return window;
    }

    long reserved() {
        return reserved;
    }

    /** Returns the bytes of the reply that waits here. */
    long replyBytes() {
        return reply == null ? 0 : reply.readableBytes();
    }

    String id() {
        return id;
    }

    boolean done() {
        return done;
    }

    boolean oneway() {
        return message.type() == Message.ONEWAY;
    }

    /** Takes the reply out; null for a oneway call. */
    ByteBuf takeReply() {
        ByteBuf taken = reply;
        reply = null;
        return taken;
    }

    @Override
    public void served(Payload answer) {
        long bytes = answer.bytes();
        ByteBuf framed = null;
        if (answer instanceof ThriftCall served) {
            try {
                framed = served.message().framed(connection.alloc(), served.frame(), message.sequenceId());
            } finally {
                served.release();
            }
        }
        connection.calls().served(this, bytes);
        finish(framed);
    }

    @Override
    public void refused(long retryAfterUs) {
        connection.calls().refused(this, retryAfterUs, connection.now());
        finish(refusal(retryAfterUs));
    }

    private ByteBuf refusal(long retryAfterUs) {
        ThriftMethod.Refusal declared = read == null ? null : read.method().refusal();
        return oneway() ? null : Replies.refused(connection.alloc(), message, declared, retryAfterUs);
    }

    @Override
    public void failed() {
        connection.calls().failed(this);
        finish(oneway() ? null : Replies.failed(connection.alloc(), message));
    }

    /** Nobody waits for a oneway call, so a client may close right behind it: that is not held against one that has just come. */
    @Override
    public ClientState clientState() {
        return oneway() && connection.cameWithin(arrival, ONEWAY_GRACE_US)
                ? ClientState.PRESENT
                : connection.clientState(arrival);
    }

    /** The call could not be passed on; its client is told why. */
    void rejected(CallReader.Rejected why) {
        if (why.harmless()) {
            finish(refusal(0));
        } else {
            finish(oneway() ? null : Replies.exception(connection.alloc(), message, why.type(), why.getMessage()));
        }
    }

    /** Its client has gone. */
    void drop() {
        if (!done) {
            done = true;
            frame.release();
        }
        if (reply != null) {
            reply.release();
            reply = null;
        }
    }

    private void finish(ByteBuf framed) {
        if (done) {
            if (framed != null) {
                framed.release();
            }
            return;
        }
        done = true;
        frame.release();
        reply = framed;
        connection.finished(this);
    }
}
