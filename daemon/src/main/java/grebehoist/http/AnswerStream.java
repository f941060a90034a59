package grebehoist.http;

import grebehoist.engine.StreamedPayload;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A backend's 200 that is too long to be held: it goes on to the client as it comes, and is read no faster than the client
 * takes it.
 */
final class AnswerStream implements StreamedPayload, Assembler.Sink {
    /** The connection that it comes from. */
    interface Source {
        /** Reads on, or no further for now. */
        void wanted(boolean more);

        /** Nobody wants the rest. */
        void cancel();

        /** It has come whole, or never will. */
        void over(boolean whole);
    }

    private final HttpHeaders headers;
    private final long length;
    private final Source source;
    private final Queue<ByteBuf> waiting = new ArrayDeque<>();
    private Assembler.Sink client;
    private End end;
    private boolean over;
    private boolean whole;
    private boolean cancelled;
    private CutOff why = CutOff.BACKEND_ENDED;

    /**
     * Makes one whose first bytes are to come.
     *
     * @param length in bytes, or -1 where it is not known
     */
    AnswerStream(HttpHeaders headers, long length, Source source) {
        this.headers = headers;
        this.length = length;
        this.source = source;
    }

    HttpHeaders headers() {
        return headers;
    }

    long length() {
        return length;
    }

    /** It is about to break off, and why. */
    void because(CutOff cause) {
        why = cause;
    }

    /** Returns why it broke off, where it did. */
    CutOff why() {
        return why;
    }

    /** The client's connection takes it over. */
    void take(Assembler.Sink by) {
        client = by;
        for (ByteBuf next = waiting.poll(); next != null; next = waiting.poll()) {
            by.part(next);
        }
        if (over) {
            finish();
        }
    }

    /** The client takes more, or has enough for now. */
    void wanted(boolean more) {
        if (!over) {
            source.wanted(more);
        }
    }

    /** The client is gone, or nobody ever wanted it. */
    void cancel() {
        if (!cancelled) {
            cancelled = true;
            waiting.forEach(ByteBuf::release);
            waiting.clear();
            if (!over) {
                over = true;
                source.cancel();
            }
            tell(false);
        }
    }

    @Override
    public void part(ByteBuf part) {
        if (cancelled) {
            part.release();
        } else if (client == null) {
            waiting.add(part);
        } else {
            client.part(part);
        }
    }

    @Override
    public void last() {
        over(true);
    }

    @Override
    public void broken(boolean unreadable) {
        if (unreadable) {
            why = CutOff.BACKEND_UNREADABLE;
        }
        over(false);
    }

    private void over(boolean cameWhole) {
        if (over) {
            return;
        }
        over = true;
        whole = cameWhole;
        source.over(cameWhole);
        if (client != null) {
            finish();
        }
    }

    private void finish() {
        if (cancelled) {
            return;
        }
        cancelled = true;
        if (whole) {
            client.last();
        } else {
            client.broken(false);
        }
        tell(whole);
    }

    private void tell(boolean how) {
        if (end != null) {
            End told = end;
            end = null;
            told.over(how);
        }
    }

    @Override
    public void onEnd(End hears) {
        end = hears;
    }

    @Override
    public void retain() {
        throw new UnsupportedOperationException("a stream has one owner");
    }

    /** Whoever owns it and has not taken it over does not want it. */
    @Override
    public void release() {
        cancel();
    }
}
