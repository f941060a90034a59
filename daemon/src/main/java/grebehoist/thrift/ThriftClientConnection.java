package grebehoist.thrift;

import grebehoist.engine.ClientState;
import grebehoist.engine.Counter;
import grebehoist.engine.Request;
import grebehoist.net.AnswerMemory;
import grebehoist.net.Arrival;
import grebehoist.net.ClientFront;
import grebehoist.net.LoopTasks;
import grebehoist.net.SocketPeek;
import grebehoist.net.Sockets;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One client's connection. Many calls may be open on it; replies go back in the order of the calls, or as they come where
 * the listener allows that, but never two of the same sequence id out of order. Past the bounds of calls and bytes it is
 * not read any further, and nothing is dropped. A call is begun when the memory for answers has room for its reply: who does not take
 * replies waits with further calls. What can't be read ends it, once the calls before have their replies.
 */
final class ThriftClientConnection extends ChannelInboundHandlerAdapter implements ClientFront.Connection {
    /** A frame must have come whole by then, counted from its first byte: the time in which HTTP clients are cut off. */
    private static final long WHOLE_US = 2_200_000;
    /** After the last reply what else the client sends is dropped for so long. */
    private static final long LINGER_US = 1_000_000;
    /** So long at most a timer keeps a connection that has ended. */
    private static final long LONGEST_SLEEP_US = 1_000_000;
    /** Long enough that the loop reads on, and sees that a client has left. */
    private static final long LOOK_MS = 2;

    private final ThriftFront front;
    private final Sockets sockets;
    private final Frames frames;
    /** Calls that have been read and whose replies are yet to be written, in their order. */
    private final List<ThriftExchange> open = new ArrayList<>();

    private final AnswerMemory.Share answers;
    /** Those of them that are yet to be begun. */
    private final CallQueue calls;

    private Channel channel;
    private ReplyWriter replies;
    private long firstByteAt = -1;
    /** When what is being read may have come. */
    private long readAt;

    private long idleSince;
    private long openBytes;
    private long resumedAt;
    /** Since when what is read now may have waited in the socket, as reading had stopped; negative where it has not. */
    private long unreadSince = -1;

    private long reads;
    private Arrival lastArrival;
    /** Whether the last read left nothing in the socket. */
    private boolean drained;

    /** When the calls that wait are looked at again. */
    private long wakesAt = Long.MAX_VALUE;

    private boolean resuming;
    private long partedAt = -1;
    private boolean parting;
    private boolean closed;

    ThriftClientConnection(ThriftFront front, Sockets sockets) {
        this.front = front;
        this.sockets = sockets;
        this.frames = new Frames(front.options().maxFrame());
        this.answers = front.answers().share(this::giveUpAnswers);
        this.calls = new CallQueue(answers, front.replySizes(), this::begin);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        replies = new ReplyWriter(channel, answers, this::room);
        idleSince = front.now();
        front.opened(this);
        channel.pipeline().addLast(frames, new Calls());
    }

    /** Returns whether its client has not ended it, by what the kernel holds. */
    ClientState clientState(Arrival arrival) {
        return front.clientState(channel, arrival);
    }

    /** Returns whether bytes surely came not longer ago than so long. */
    boolean cameWithin(Arrival arrival, long us) {
        return front.now() - arrival.mayHaveComeUs() < us;
    }

    ByteBufAllocator alloc() {
        return channel.alloc();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (parting) {
            ((ByteBuf) message).release();
            return;
        }
        // Time that a call has waited unread is its client's all the same.
        lastArrival = front.arrival(channel, reads == 0);
        readAt = Math.min(front.countsFrom(lastArrival), unreadSince < 0 ? Long.MAX_VALUE : unreadSince);
        if (firstByteAt < 0) {
            firstByteAt = readAt;
            if (open.isEmpty()) {
                // A frame has begun, which has a time of its own: its place is nobody else's meanwhile.
                sockets.clientBusy(channel);
            }
        }
        reads++;
        drained = SocketPeek.drained(channel, (ByteBuf) message);
        super.channelRead(ctx, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (!frames.holdsMore()) {
            firstByteAt = -1;
            if (open.isEmpty() && !parting && !closed) {
                sockets.clientIdle(channel);
            }
        }
        beginReady();
        pace();
        if (drained && channel.config().isAutoRead()) {
            unreadSince = -1;
        }
        lookForMore();
        if (!closed && !parting) {
            front.half(this, frames.held());
        }
        super.channelReadComplete(ctx);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        closed = true;
        front.closed(this);
        front.half(this, 0);
        answers.close();
        calls.clear();
        List<ThriftExchange> gone = List.copyOf(open);
        open.clear();
        front.bytesOpen(-openBytes);
        openBytes = 0;
        for (ThriftExchange exchange : gone) {
            boolean wanted = !exchange.done();
            exchange.drop();
            if (wanted && exchange.id() != null) {
                front.log()
                        .reason(
                                Counter.CLOSED_CLIENT_LEFT,
                                exchange.id(),
                                () -> exchange.arrival().toString());
                front.intake().clientGone(exchange.id());
            }
        }
        super.channelInactive(ctx);
    }

    /** If nothing comes for a moment, all that had waited has been read. */
    private void lookForMore() {
        if (unreadSince >= 0 && channel.config().isAutoRead()) {
            long seen = reads;
            LoopTasks.after(channel.eventLoop(), front.log(), LOOK_MS, TimeUnit.MILLISECONDS, () -> {
                if (seen == reads && channel.config().isAutoRead()) {
                    unreadSince = -1;
                }
            });
        }
    }

    private void call(ByteBuf frame) {
        if (parting || closed) {
            frame.release();
            return;
        }
        // What is held now of the next frame has come with this read: it is not as old as the frame before.
        firstByteAt = readAt;
        front.half(this, 0);
        Message message;
        try {
            message = Message.read(frame);
            if (message.type() != Message.CALL && message.type() != Message.ONEWAY) {
                throw new BadFrame("not a call");
            }
        } catch (BadFrame e) {
            frame.release();
            part();
            return;
        }
        var exchange = new ThriftExchange(this, message, frame, lastArrival);
        if (open.isEmpty()) {
            sockets.clientBusy(channel);
        }
        open.add(exchange);
        openBytes += exchange.bytes();
        front.bytesOpen(exchange.bytes());
        pace();
        try {
            // A call's time counts from its last byte, as a request's over HTTP.
            exchange.read(front.reader().read(exchange.message(), frame, readAt));
            calls.add(exchange);
        } catch (CallReader.Rejected e) {
            exchange.rejected(e);
        } catch (BadFrame e) {
            parting = true;
            exchange.rejected(new CallReader.Rejected(ThriftOutcomes.PROTOCOL_ERROR, false, e.getMessage()));
        }
    }

    /** Hands a call in. One whose time is up is refused by that. */
    private void begin(ThriftExchange exchange) {
        Request request = exchange.read().request();
        if (front.intake().knows(request.id())) {
            calls.failed(exchange);
            exchange.rejected(new CallReader.Rejected(
                    ThriftOutcomes.PROTOCOL_ERROR, false, "a request with this id is being served"));
        } else {
            front.intake().arrived(request, exchange);
        }
    }

    private void beginReady() {
        long now = front.now();
        calls.beginReady(now, open.size() == 1);
        if (!calls.isEmpty()) {
            wake(Math.min(calls.nextLookUs(now), now + LONGEST_SLEEP_US));
        }
    }

    private void wake(long at) {
        if (at < wakesAt) {
            wakesAt = at;
            front.at(at, this::woken);
        }
    }

    private void woken() {
        wakesAt = Long.MAX_VALUE;
        if (!closed) {
            calls.beginLate(front.now());
            beginReady();
            pace();
        }
    }

    CallQueue calls() {
        return calls;
    }

    long now() {
        return front.now();
    }

    /** Reading stops past the bounds, and goes on below them. */
    void pace() {
        if (!mayRead()) {
            if (channel.config().isAutoRead()) {
                channel.config().setAutoRead(false);
                unreadSince = drained || unreadSince < 0 ? front.unreadSince(channel) : unreadSince;
            }
        } else if (!channel.config().isAutoRead() && !resuming) {
            // Never from inside a call: a channel that reads at once would give the decoder bytes while it still hands
            // out
            // frames, and it would hand some out twice.
            resuming = true;
            channel.eventLoop().execute(this::resume);
        }
    }

    private boolean mayRead() {
        ThriftOptions options = front.options();
        return open.size() + replies.untaken() < options.maxOpen()
                && openBytes < options.maxOpenBytes()
                && (open.isEmpty() || !front.full());
    }

    private void resume() {
        resuming = false;
        if (!closed && mayRead()) {
            resumedAt = front.now();
            channel.config().setAutoRead(true);
            lookForMore();
        }
    }

    /** A reply is there, or a oneway call is done: all whose turn it is go back. */
    void finished(ThriftExchange exchange) {
        if (closed) {
            exchange.drop();
            return;
        }
        answers.hold(exchange.replyBytes());
        ChannelFuture written = replies.write(takeReplies());
        beginReady();
        pace();
        // Until the network has taken the last reply its connection is not idle, whoever looks for idle ones.
        if (written == null || written.isDone()) {
            rest();
        } else {
            written.addListener(f -> rest());
        }
    }

    /** Takes out the replies whose turn it is, and lets their calls go. */
    private List<ByteBuf> takeReplies() {
        var taken = new ArrayList<ByteBuf>();
        boolean inTurn = true;
        for (Iterator<ThriftExchange> i = open.iterator(); i.hasNext(); ) {
            ThriftExchange next = i.next();
            // A oneway call has no reply that could overtake another one.
            if (next.done() && (next.oneway() || inTurn && mayGo(next))) {
                i.remove();
                openBytes -= next.bytes();
                front.bytesOpen(-next.bytes());
                ByteBuf reply = next.takeReply();
                if (reply != null) {
                    taken.add(reply);
                }
            } else if (!front.options().outOfOrder() && !next.oneway()) {
                inTurn = false;
            }
        }
        return taken;
    }

    /** A reply has been taken: there is room for others. */
    private void room() {
        if (!closed) {
            beginReady();
            pace();
        }
    }

    /** Of all clients this one has left the most of its replies, and there is no more room. */
    private void giveUpAnswers() {
        close(Counter.CLOSED_ANSWERS_UNTAKEN);
    }

    private void close(Counter why) {
        front.log().reason(why, "", () -> open.size() + " calls open, " + replies.untaken() + " replies untaken");
        calls.clear();
        channel.close();
    }

    private void rest() {
        if (open.isEmpty() && !closed) {
            idleSince = front.now();
            if (parting || front.partsSoon() && !callBegun()) {
                parting = true;
                hangUp();
            } else if (!frames.holdsMore()) {
                sockets.clientIdle(channel);
            }
        }
    }

    /** None of the same sequence id is before it. Nobody waits for a oneway call, and nothing waits behind one. */
    private boolean mayGo(ThriftExchange exchange) {
        for (ThriftExchange earlier : open) {
            if (earlier == exchange) {
                return true;
            }
            if (earlier.oneway()) {
                continue;
            }
            if (!front.options().outOfOrder() && !earlier.done()
                    || earlier.message().sequenceId() == exchange.message().sequenceId()) {
                return false;
            }
        }
        return true;
    }

    /** Its half frame is let go, and nothing is read any more; the calls that are open still have their replies. */
    void cutOff() {
        part();
        front.half(this, 0);
        if (channel.pipeline().context(frames) != null) {
            channel.pipeline().remove(frames);
        }
    }

    /** Nothing is read beyond what can't be read; the calls before it still have their replies. */
    private void part() {
        parting = true;
        SocketPeek.dropUnread(channel);
        if (open.isEmpty()) {
            hangUp();
        }
    }

    /**
     * Closing with bytes unread would reset the connection, and the client would lose its last reply: so this side ends its
     * sending, and the rest is read and dropped for a while.
     */
    private void hangUp() {
        if (partedAt >= 0) {
            return;
        }
        partedAt = front.now();
        sockets.clientParting(channel);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> {
            partedAt = front.now();
            if (f.isSuccess() && channel instanceof SocketChannel socket) {
                channel.config().setAutoRead(true);
                socket.shutdownOutput();
            } else {
                channel.close();
            }
        });
    }

    @Override
    public long idleSince() {
        return idleSince;
    }

    @Override
    public boolean answering() {
        return !open.isEmpty() || replies.unsent() > 0;
    }

    @Override
    public void partIfIdle() {
        if (holdsNoCall() && replies.unsent() == 0) {
            part();
        }
    }

    private boolean callBegun() {
        return frames.holdsMore() || SocketPeek.hasUnread(channel);
    }

    private boolean holdsNoCall() {
        return open.isEmpty() && firstByteAt < 0 && !SocketPeek.hasUnread(channel);
    }

    /** Its place is wanted, which a call that has begun to come keeps. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event == Sockets.PART) {
            if (holdsNoCall()) {
                part();
            } else {
                sockets.clientBusy(channel);
            }
        }
        super.userEventTriggered(ctx, event);
    }

    /** Whatever a client does or leaves undone, its connection is not kept for longer than it is of use. */
    @Override
    public void expire(long now) {
        long unsent = replies.unsent();
        if (replies.stuck(now)) {
            close(Counter.CLOSED_CLIENT_TAKES_NOTHING);
        } else if (partedAt >= 0) {
            if (unsent == 0 && now - partedAt > LINGER_US) {
                channel.close();
            }
        } else if (firstByteAt >= 0 && frames.holdsMore()) {
            // A byte now and then renews nothing: the time is for the whole frame, and reading has not been stopped.
            if (now - Math.max(firstByteAt, resumedAt) > WHOLE_US
                    && channel.config().isAutoRead()) {
                cutOff();
            }
        } else if (open.isEmpty()
                && unsent == 0
                && now - idleSince > front.options().idleUs()) {
            part();
        }
    }

    private final class Calls extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            call((ByteBuf) frame);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof CodecException) {
                part();
                return;
            }
            if (!(cause instanceof IOException)) {
                front.log().failure("a client's connection failed", cause);
            }
            ctx.close();
        }
    }
}
