package grebehoist.http;

import grebehoist.engine.ClientState;
import grebehoist.engine.Counter;
import grebehoist.engine.TransferTime;
import grebehoist.net.AnswerMemory;
import grebehoist.net.Arrival;
import grebehoist.net.ClientFront;
import grebehoist.net.LoopTasks;
import grebehoist.net.SocketPeek;
import grebehoist.net.Sockets;
import grebehoist.net.TakeWatch;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * One client's connection, and its hygiene: what a client does or leaves undone costs its own connection alone, and
 * that for no longer than it is of use.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientFront.Connection {
    /** A connection on which nothing is asked for so long is closed. */
    private static final long IDLE_US = 2_200_000;
    /** A head must have come whole by then, counted from its first byte, a connection's first from the connect. */
    private static final long HEAD_US = 2_400_000;
    /** A body must have come by then and so much later for each byte: 32 kB a second, half of what slow clients are known for. */
    private static final long BODY_US = 2_600_000;

    /** A long body of which nothing more comes for so long, though it is read, will not be whole. */
    private static final long SILENT_US = 2_600_000;
    /** After the last answer what else the client sends is dropped, so much at any speed, and for so long: see {@code hangUp}. */
    private static final long DROPPED = 256 * 1024;
    /** Past that, what one read takes in each so many milliseconds: what the kernel holds for it is read in 60 ms. */
    private static final long SLOW_READ_MS = 20;
    /** The rest of a body whose request was answered before its end. */
    private static final long DROPPED_OF_UPLOAD = HttpTransport.LONGEST_BODY;

    private static final long LINGER_US = 1_000_000;
    private static final long LINGER_OF_UPLOAD_US = 6_000_000;
    /** Long enough that the loop reads on, and sees that a client has left. */
    private static final long LOOK_MS = 2;
    /** Of what has no length in its head, or is held, it is not known how much is left. */
    private static final long UNKNOWN_LEFT = -1;
    /** Requests read ahead on one connection; clients send one at a time, so more is not worth memory. */
    private static final int PIPELINED = 2;

    private final HttpFront front;
    private final Sockets sockets;
    private final Queue<Exchange> waiting = new ArrayDeque<>();
    private final Framing.Requests decoder = new Framing.Requests();
    private final RequestAssembler assembler;
    private Channel channel;
    private Exchange exchange;
    private long firstByteAt = -1;
    private boolean headCame;
    private ReadBacklog backlog;
    private long reads;
    private long lastReadAt;
    private Arrival lastArrival;
    /** Since when nothing is open here: the connect, or the last answer. */
    private long idleSince;

    private boolean used;
    /** Whether nothing more is read as a request, and what is to be said of that, until it is written. */
    private boolean parting;

    private FullHttpResponse lastWord;
    /** Whether its client is still writing the request that was refused, and is to find the answer behind it. */
    private boolean readsOut;

    private long partedAt = -1;
    private CutOff why = CutOff.CLIENT_LEFT;
    private long dropped;
    private long mostDropped = DROPPED;
    private long lingerUs = LINGER_US;
    /** How much of a long body had come when that was last looked at, and since when no more has. */
    private long uploaded;

    private long uploadedAt;
    /** How much of long answers has been written to the client. */
    private long given;

    private final TakeWatch takes = ClientFront.takeWatch();
    private final AnswerMemory.Share answers;

    /** Takes over an accepted connection. */
    ClientConnection(HttpFront front, Sockets sockets) {
        this.front = front;
        this.sockets = sockets;
        this.assembler = new RequestAssembler(this, front.heldBodies());
        // One answer at a time, of which the mark of the write buffer bounds what waits.
        this.answers = front.answers().share(null);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        idleSince = front.now();
        int mostHeld = channel instanceof SocketChannel ? ReadBacklog.MOST_HELD : ReadBacklog.UNBOUNDED;
        backlog = new ReadBacklog(mostHeld, front.acceptedAfter(channel));
        front.opened(this);
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), assembler, new Failures());
    }

    /** A client's patience began when it sent; the nearest to it that can be known is its first byte. */
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (parting) {
            drop((ByteBuf) message);
            return;
        }
        // A request's time counts from its last byte: one that comes slowly is not older for that.
        var read = (ByteBuf) message;
        lastArrival = front.arrival(channel, reads == 0);
        int bytes = read.readableBytes();
        Upload upload = assembler.upload();
        long left = upload == null || upload.left() < 0 ? UNKNOWN_LEFT : Math.max(0, upload.left() - bytes);
        lastReadAt = backlog.read(bytes, left, lastArrival.mayHaveComeUs(), front.countsFrom(lastArrival));
        reads++;
        boolean drained = SocketPeek.drained(channel, read);
        if (drained) {
            backlog.drained(front.now());
        }
        if (assembler.upload() == null) {
            requestBegan();
        }
        super.channelRead(ctx, message);
        boolean holdsPart = decoder.holdsMore() || assembler.holding() != null;
        if (holdsPart && !parting && assembler.upload() == null) {
            // Behind a request that has come whole another has begun.
            requestBegan();
        } else if (drained && !holdsPart && assembler.upload() == null) {
            backlog.emptied(front.now());
        }
    }

    private void requestBegan() {
        if (firstByteAt < 0) {
            firstByteAt = lastReadAt;
            if (exchange == null) {
                sockets.clientReading(channel);
            }
        }
    }

    /** The request that is being read has its head. Returns whether nothing else is being answered, nor waits for that. */
    boolean headCame() {
        headCame = true;
        return exchange == null;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (!(channel instanceof SocketChannel) && backlog.size() > 0) {
            // Of channels inside the process the room in their buffers tells nothing; what they have comes at once.
            long seen = reads;
            LoopTasks.after(channel.eventLoop(), front.log(), LOOK_MS, TimeUnit.MILLISECONDS, () -> {
                if (seen == reads && channel.config().isAutoRead()) {
                    backlog.drained(front.now());
                }
            });
        }
        super.channelReadComplete(ctx);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        if (exchange != null) {
            exchange.writable(channel.isWritable());
        }
        super.channelWritabilityChanged(ctx);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        front.closed(this);
        answers.close();
        dropWaiting();
        if (lastWord != null) {
            lastWord.release();
            lastWord = null;
        }
        if (exchange != null) {
            Exchange gone = exchange;
            exchange = null;
            gone.clientGone(why);
        }
        super.channelInactive(ctx);
    }

    /** A body is too long to be held: its request begins with what is there. Returns null where it isn't wanted. */
    Upload upload(HttpRequest head) {
        var exchanges = new Exchange[1];
        var upload = new Upload(channel, HttpUtil.getContentLength(head, -1L), new Upload.Listener() {
            @Override
            public void came() {
                exchanges[0].bodyCame(lastReadAt);
                if (SocketPeek.unreadBytes(channel) == 0) {
                    backlog.emptied(front.now());
                }
            }

            @Override
            public void rests() {
                backlog.rests(front.unreadSince(channel));
            }

            @Override
            public void cutOff() {
                ClientConnection.this.cutOff(
                        exchanges[0], Answers.plain(HttpResponseStatus.BAD_REQUEST, "not a body that can be read"));
            }
        });
        uploaded = 0;
        uploadedAt = front.now();
        exchanges[0] = request(head, Unpooled.EMPTY_BUFFER, upload);
        return exchanges[0] == null ? null : upload;
    }

    /** A request's body will never be whole. */
    private void cutOff(Exchange cut, FullHttpResponse answer) {
        if (exchange == cut) {
            cut.cutOff(answer);
        } else if (waiting.remove(cut)) {
            cut.drop();
            part(answer);
        } else {
            answer.release();
        }
    }

    /**
     * A request has come.
     *
     * @param body the body, which belongs to the request from here on
     * @param upload the body where it is still coming, else null
     * @return null where it isn't wanted
     */
    Exchange request(HttpRequest head, ByteBuf body, Upload upload) {
        if (parting || !channel.isActive()) {
            body.release();
            return null;
        }
        // Where several came in one read, all of them came when that read did.
        firstByteAt = -1;
        headCame = false;
        var next = new Exchange(front, this, head, body, upload, lastReadAt, lastArrival);
        if (exchange == null) {
            sockets.clientBusy(channel);
            exchange = next;
            begin(next);
        } else if (waiting.size() < PIPELINED) {
            waiting.add(next);
        } else {
            next.drop();
            part(Answers.plain(
                    HttpResponseStatus.TOO_MANY_REQUESTS, "too many requests at once; these have not been begun"));
            return null;
        }
        return next;
    }

    /**
     * The exchange has its answer. It is over once the network has taken that: until then its connection is not idle, whoever looks
     * for idle ones, and what is read ahead waits.
     */
    void answered(ChannelFuture written, boolean keepAlive) {
        if (written.isDone()) {
            over(written, keepAlive);
        } else {
            written.addListener(f -> over(written, keepAlive));
        }
    }

    private void over(ChannelFuture written, boolean keepAlive) {
        if (!written.isSuccess()) {
            if (channel.isOpen()) {
                // The connection has not ended by itself: the answer could not be written down.
                close(CutOff.CLIENT_FAILED);
            }
            return;
        }
        used = true;
        idleSince = front.now();
        exchange = keepAlive ? waiting.poll() : null;
        if (exchange != null) {
            begin(exchange);
        } else if (!keepAlive) {
            // What was asked behind the last answer has not been begun, and nothing is said of it.
            rejected(null);
        } else if (parting) {
            hangUp();
        } else {
            assembler.itsTurn(channel);
            if (firstByteAt < 0) {
                sockets.clientIdle(channel);
            } else {
                sockets.clientReading(channel);
            }
        }
    }

    /** Whatever goes wrong with a request that has been read, its client is answered. */
    private void begin(Exchange next) {
        try {
            next.begin();
        } catch (RuntimeException e) {
            front.log().count(Counter.TASK_FAILED);
            front.log().failure("a request could not be begun", e);
            if (exchange == next) {
                next.failed();
            }
        }
    }

    private void dropWaiting() {
        waiting.forEach(e -> e.drop());
        waiting.clear();
    }

    /**
     * Nothing more is asked on this connection.
     *
     * @param answer the last one, where the exchange was no request that can be passed on; else null
     */
    void rejected(FullHttpResponse answer) {
        exchange = null;
        dropWaiting();
        if (parting) {
            ReferenceCountUtil.release(lastWord);
            lastWord = answer;
            hangUp();
        } else {
            part(answer);
        }
    }

    /** Returns whether the exchange is the one that is to be answered now. */
    boolean isCurrent(Exchange answering) {
        return exchange == answering;
    }

    ChannelFuture write(HttpObject answer) {
        int bytes = answer instanceof HttpContent content ? content.content().readableBytes() : 0;
        given += bytes;
        ChannelFuture written = channel.writeAndFlush(answer);
        if (bytes > 0 && !written.isDone()) {
            answers.hold(bytes);
            written.addListener(f -> answers.letGo(bytes));
        }
        return written;
    }

    /** Returns whether its client has not ended it, by what the kernel holds. */
    ClientState clientState(Arrival arrival) {
        return front.clientState(channel, arrival);
    }

    /** Returns whether the end of a long body may wait unread, be it on this side or at its client's. */
    boolean mayHoldEndOf(Upload upload) {
        lookAtBacklog(upload);
        return backlog.endMayHaveComeAt(upload.left()) != Long.MAX_VALUE;
    }

    boolean writable() {
        return channel.isWritable();
    }

    /** An answer that has begun can't be finished: the client can tell by the end of its connection. */
    void cutOff(CutOff cause) {
        close(cause);
    }

    private void close(CutOff cause) {
        why = cause;
        if (exchange != null) {
            exchange.closing(cause);
        }
        channel.close();
    }

    /** Of a request that is answered before its end the rest is read and dropped, so that the client reads its answer. */
    void dropUpload() {
        mostDropped = DROPPED_OF_UPLOAD;
        lingerUs = LINGER_OF_UPLOAD_US;
    }

    /** Returns whether nothing more is to be answered after the exchange that is under way. */
    boolean last() {
        return waiting.isEmpty() && firstByteAt < 0 && !parting;
    }

    @Override
    public void partIfIdle() {
        if (holdsNoRequest()) {
            part(null);
        }
    }

    private boolean holdsNoRequest() {
        return exchange == null && firstByteAt < 0 && !SocketPeek.hasUnread(channel);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event == Sockets.PART && exchange == null && !parting) {
            giveUpPlace();
        }
        super.userEventTriggered(ctx, event);
    }

    /** Its place is wanted. A request that has begun to come is answered first: its client may be writing its last byte. */
    private void giveUpPlace() {
        if (holdsNoRequest()) {
            part(null);
        } else if (firstByteAt >= 0) {
            front.log().reason(Counter.REFUSED_PLACE_WANTED, "", () -> "a request that has come in part");
            readsOut = true;
            if (headCame) {
                lingerUs = LINGER_OF_UPLOAD_US;
            }
            part(Answers.refused(0));
        } else {
            // What has come is read soon.
            sockets.clientBusy(channel);
        }
    }

    @Override
    public long idleSince() {
        return idleSince;
    }

    @Override
    public boolean answering() {
        return exchange != null || unsent() > 0;
    }

    /** Whatever a client does or leaves undone, its connection is not kept for longer than it is of use. */
    @Override
    public void expire(long now) {
        if (exchange != null) {
            lookAtStreams(now);
            return;
        }
        if (partedAt >= 0) {
            if (unsent() > 0 ? takesNothing(now) : now - partedAt > lingerUs) {
                if (mostDropped == DROPPED_OF_UPLOAD) {
                    tell(CutOff.REST_DROPPED, dropped);
                }
                channel.close();
            }
        } else if (firstByteAt >= 0) {
            // A byte now and then renews nothing: the time is for the whole request.
            long since = now - (used ? firstByteAt : idleSince);
            if (since > (headCame ? BODY_US + TransferTime.slowestUs(assembler.heldBytes()) : HEAD_US)) {
                tell(CutOff.REQUEST_SLOW, assembler.heldBytes());
                part(Answers.plain(HttpResponseStatus.REQUEST_TIMEOUT, "the request has not come in time"));
            }
        } else if (now - idleSince > IDLE_US) {
            part(null);
        }
    }

    /** A long body and a long answer have no time of their own, but they have to move. */
    private void lookAtStreams(long now) {
        Upload upload = assembler.upload();
        if (upload != null) {
            lookAtBacklog(upload);
            long endCameAt = backlog.endMayHaveComeAt(upload.left());
            if (exchange.takes(upload) && exchange.tooLate(endCameAt, now)) {
                // Its client may have waited for so long as it waits at all, and its backend has begun with nothing.
                exchange.giveUp(endCameAt);
                return;
            }
            if (upload.paused() || upload.bytes() != uploaded || !exchange.takes(upload)) {
                uploaded = upload.bytes();
                uploadedAt = now;
            } else if (now - uploadedAt > SILENT_US) {
                tell(CutOff.REQUEST_SLOW, upload.bytes());
                // Its backend has begun with nothing, so this is the one answer, and a repeat is harmless.
                cutOff(exchange, Answers.plain(HttpResponseStatus.REQUEST_TIMEOUT, "the request has not come in time"));
                return;
            }
        }
        if (takesNothing(now)) {
            close(CutOff.CLIENT_TAKES_NOTHING);
        }
    }

    private void lookAtBacklog(Upload upload) {
        backlog.looked(SocketPeek.unreadBytes(channel), upload.left(), front.now());
    }

    /** What has no request, or none any more, has no line of its own otherwise. */
    private void tell(CutOff cause, long bytes) {
        long ms = (front.now() - (partedAt >= 0 ? partedAt : firstByteAt >= 0 ? firstByteAt : uploadedAt)) / 1_000;
        front.cutOffs()
                .tell(
                        front.now(),
                        cause,
                        "a request of which " + bytes + " bytes had come " + (headCame ? "behind its head, " : "") + ms
                                + " ms ago");
    }

    private boolean takesNothing(long now) {
        return takes.stuck(given, unsent(), now);
    }

    /** Returns how many bytes the network has yet to take. */
    private long unsent() {
        return TakeWatch.unsent(channel);
    }

    /**
     * Answers what can't be read as a request, after those that came before it; nothing is read beyond it.
     *
     * @param answer null where all has been said
     */
    void part(FullHttpResponse answer) {
        if (parting) {
            ReferenceCountUtil.release(answer);
            return;
        }
        parting = true;
        lastWord = answer;
        // What it holds, and what comes, is not decoded any more.
        channel.pipeline().remove(decoder);
        SocketPeek.dropUnread(channel);
        if (exchange == null) {
            hangUp();
        }
    }

    /**
     * Closing with bytes unread would reset the connection, and the client would lose the answer: so this side
     * ends its sending, and some of the rest is read and dropped for a while.
     */
    private void hangUp() {
        partedAt = front.now();
        if (readsOut) {
            sockets.clientRefused(channel);
        } else {
            sockets.clientParting(channel);
        }
        if (lastWord == null) {
            endSending(true);
            return;
        }
        HttpUtil.setKeepAlive(lastWord, false);
        FullHttpResponse said = lastWord;
        lastWord = null;
        channel.writeAndFlush(said).addListener(f -> {
            partedAt = front.now();
            endSending(f.isSuccess());
        });
    }

    private void endSending(boolean allSent) {
        if (allSent && channel instanceof SocketChannel socket) {
            socket.shutdownOutput();
        } else {
            channel.close();
        }
    }

    /**
     * Past a bound it is read slowly, and not left alone: that its client has gone shows behind what it has sent, and a close over
     * bytes that are unread would take the last answer with it.
     */
    private void drop(ByteBuf rest) {
        dropped += rest.readableBytes();
        rest.release();
        if (dropped >= mostDropped) {
            channel.config().setAutoRead(false);
            LoopTasks.after(
                    channel.eventLoop(),
                    front.log(),
                    SLOW_READ_MS,
                    TimeUnit.MILLISECONDS,
                    () -> channel.config().setAutoRead(true));
        }
    }

    private final class Failures extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A client that goes away, or stops half-way, is nothing to tell the operators.
            if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
                front.log().failure("a client's connection failed", cause);
                close(CutOff.CLIENT_FAILED);
                return;
            }
            if (cause instanceof IOException) {
                why = CutOff.CLIENT_RESET;
            }
            ctx.close();
        }
    }
}
