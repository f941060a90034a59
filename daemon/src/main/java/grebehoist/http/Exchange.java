package grebehoist.http;

import grebehoist.engine.ClientState;
import grebehoist.engine.Payload;
import grebehoist.engine.Request;
import grebehoist.engine.Responder;
import grebehoist.net.Arrival;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;

/** A request and its one answer. */
final class Exchange implements Responder {
    private final HttpFront front;
    private final ClientConnection connection;
    private final HttpRequest request;
    private final ByteBuf body;
    private final Upload upload;
    /** The length of the body, as long as it counts as held. */
    private final int held;

    private final long cameAt;
    private final Arrival arrival;
    private String id;
    /** How long the client waits, for a request whose end was yet to come. */
    private long patienceUs;

    private AnswerStream stream;
    private boolean answered;
    /** How much of a long answer has been passed on. */
    private long passed;

    private boolean dropped;

    /**
     * Makes one that is yet to begin.
     *
     * @param upload the body where it is still coming, else null
     * @param cameAt when the last of its bytes so far came
     * @param arrival what is known of that, for the log
     */
    Exchange(
            HttpFront front,
            ClientConnection connection,
            HttpRequest request,
            ByteBuf body,
            Upload upload,
            long cameAt,
            Arrival arrival) {
        this.front = front;
        this.arrival = arrival;
        this.connection = connection;
        this.request = request;
        this.body = body;
        this.upload = upload;
        this.held = body.readableBytes();
        this.cameAt = cameAt;
        front.heldBodies().add(held);
    }

    void begin() {
        Request read;
        try {
            String target = RequestReader.originForm(request.uri());
            var uri = new QueryStringDecoder(target);
            if (uri.rawPath().equals("/ready")) {
                answer(
                        front.ready()
                                ? Answers.plain(HttpResponseStatus.OK, "ready")
                                : Answers.plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready"));
                return;
            }
            read = front.reader().read(request, target, uri, body, upload, cameAt);
            patienceUs = read.deadlineUs() - cameAt;
        } catch (RequestReader.Rejected e) {
            reject(Answers.plain(e.status(), e.getMessage()));
            return;
        } catch (IllegalArgumentException e) {
            reject(Answers.plain(HttpResponseStatus.BAD_REQUEST, "not a path that can be read"));
            return;
        }
        if (front.intake().knows(read.id())) {
            reject(Answers.plain(HttpResponseStatus.CONFLICT, "a request with this id is being served"));
            return;
        }
        id = read.id();
        front.intake().arrived(read, this);
    }

    /** The connection ends with this: on one that is kept, rubbish would come again at the speed of its answers. */
    private void reject(FullHttpResponse answer) {
        if (upload != null && !upload.over()) {
            connection.dropUpload();
        }
        drop();
        connection.rejected(answer);
    }

    /** The rest of a long body has come: from now on its client waits for the answer. */
    void bodyCame(long at) {
        if (id != null) {
            front.intake().whole(id, at + patienceUs);
        }
    }

    /** Returns whether a client whose last byte came at a time will have waited for as long as it waits when this is next asked. */
    boolean tooLate(long endCameAt, long now) {
        return id != null && endCameAt != Long.MAX_VALUE && now + HttpFront.LOOK_US - endCameAt >= patienceUs;
    }

    /** The rest of a long body would come too late. */
    void giveUp(long endCameAt) {
        front.intake()
                .giveUp(
                        id,
                        "its end may have been written " + (front.now() - endCameAt) + " us ago, " + upload.left()
                                + " bytes are yet to be read");
    }

    /** Returns whether a long body is this one's. */
    boolean takes(Upload other) {
        return upload == other;
    }

    /** The client has stopped in the middle of its body: what is told is the answer. */
    void cutOff(FullHttpResponse answer) {
        String cut = id;
        id = null;
        reject(answer);
        if (cut != null) {
            front.intake().clientGone(cut);
        }
    }

    /** The client takes more of what is passed on, or has enough for now. */
    void writable(boolean more) {
        if (stream != null) {
            stream.wanted(more);
        }
    }

    @Override
    public void served(Payload answer) {
        if (answer instanceof AnswerStream begun) {
            pass(begun);
        } else {
            answer(Answers.served((HttpAnswer) answer));
        }
    }

    @Override
    public void refused(long retryAfterUs) {
        answer(Answers.refused(retryAfterUs));
    }

    @Override
    public void failed() {
        answer(Answers.failed());
    }

    @Override
    public ClientState clientState() {
        ClientState state = connection.clientState(arrival);
        // Of a body whose end has yet to be written nothing takes effect if its client leaves.
        boolean unfinished = upload != null && !upload.over() && !connection.mayHoldEndOf(upload);
        return state == ClientState.UNKNOWN && unfinished ? ClientState.PRESENT : state;
    }

    @Override
    public String whereItWaited() {
        return arrival.toString();
    }

    private boolean keepAlive() {
        return HttpUtil.isKeepAlive(request) && !(front.partsSoon() && connection.last());
    }

    private void answer(FullHttpResponse answer) {
        if (!connection.isCurrent(this)) {
            answer.release();
            return;
        }
        if (upload != null && !upload.over()) {
            reject(answer);
            return;
        }
        boolean keepAlive = keepAlive();
        HttpUtil.setKeepAlive(answer, keepAlive);
        drop();
        answered = true;
        connection.answered(connection.write(answer), keepAlive);
    }

    /** Passes a long answer on as it comes. */
    private void pass(AnswerStream begun) {
        if (!connection.isCurrent(this)) {
            begun.release();
            return;
        }
        // Without a length only the end of the connection tells an old client where the answer ends (RFC 9112, 6.3).
        boolean chunks = begun.length() < 0 && request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        boolean keepAlive = keepAlive() && (begun.length() >= 0 || chunks);
        drop();
        answered = true;
        stream = begun;
        connection.write(Answers.begun(begun, chunks, keepAlive));
        begun.take(new Assembler.Sink() {
            @Override
            public void part(ByteBuf bytes) {
                passed += bytes.readableBytes();
                connection.write(new DefaultHttpContent(bytes));
                if (!connection.writable()) {
                    begun.wanted(false);
                }
            }

            @Override
            public void last() {
                stream = null;
                connection.answered(connection.write(LastHttpContent.EMPTY_LAST_CONTENT), keepAlive);
            }

            @Override
            public void broken(boolean unreadable) {
                stream = null;
                connection.cutOff(begun.why());
            }
        });
    }

    /** Its connection is about to be closed from this side. */
    void closing(CutOff why) {
        if (id != null && !answered) {
            front.intake().closedUnanswered(id, why.toString());
        }
    }

    /** Its connection is closed before the answer has gone out whole. */
    void clientGone(CutOff why) {
        drop();
        if (id != null) {
            front.cutOffs().tell(front.now(), why, this);
        }
        if (stream != null) {
            stream.cancel();
        } else if (id != null && !answered) {
            front.intake().clientGone(id);
        }
    }

    /** How far it came, for the operators. */
    @Override
    public String toString() {
        return id + " (" + (!answered ? "no answer" : passed == 0 ? "a short answer" : passed + " bytes of an answer")
                + ", " + (front.now() - arrival.readUs()) / 1_000 + " ms after it was read; " + arrival + ")";
    }

    /** Gives up the request's bytes. */
    void drop() {
        if (!dropped) {
            dropped = true;
            body.release();
            front.heldBodies().add(-held);
            if (upload != null) {
                upload.drop();
            }
        }
    }
}
