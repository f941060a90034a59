package grebehoist.http;

import grebehoist.net.ReadSwitch;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A request's body that is too long to be held: it goes on to one backend as it comes, and is read no faster than that
 * backend takes it. What has gone is not kept, so that it can't go out again (rule 2 needs no more than that).
 */
final class Upload implements Assembler.Sink {
    /** Hears how it goes on. */
    interface Listener {
        /** The last byte has come from the client. */
        void came();

        /** No more of it is read for now. */
        void rests();

        /** It will never be whole. */
        void cutOff();
    }

    private final ReadSwitch client;
    private final long length;
    private final Listener listener;
    private final Queue<ByteBuf> waiting = new ArrayDeque<>();
    private Assembler.Sink backend;
    private boolean taken;
    private boolean came;
    private boolean over;
    private long bytes;

    /**
     * Makes one whose first bytes are to come.
     *
     * @param length in bytes, or -1 where it is not known
     */
    Upload(Channel client, long length, Listener listener) {
        this.client = new ReadSwitch(client);
        this.length = length;
        this.listener = listener;
    }

    long length() {
        return length;
    }

    /** Returns how many bytes are yet to be read, or -1 where that is not known. */
    long left() {
        return length < 0 ? -1 : length - bytes;
    }

    /** Returns how many bytes have come. */
    long bytes() {
        return bytes;
    }

    /** Returns whether its end has come from the client, or will not. */
    boolean over() {
        return over;
    }

    /** Returns whether the client is kept waiting, as the backend takes no more now. */
    boolean paused() {
        return client.rests();
    }

    /** A backend's connection takes it over. Returns false where another one has: then there is nothing left to send. */
    boolean take(Assembler.Sink by) {
        if (taken) {
            return false;
        }
        taken = true;
        backend = by;
        for (ByteBuf next = waiting.poll(); next != null; next = waiting.poll()) {
            by.part(next);
        }
        if (came) {
            by.last();
        } else if (over) {
            by.broken(false);
        } else {
            wanted(true);
        }
        return true;
    }

    /** The backend takes more, or has enough for now. */
    void wanted(boolean more) {
        if (more || over) {
            client.resume();
        } else if (!client.rests()) {
            listener.rests();
            client.rest();
        }
    }

    /** Nobody wants it any more; what is still to come is dropped. */
    void drop() {
        taken = true;
        backend = null;
        waiting.forEach(ByteBuf::release);
        waiting.clear();
        wanted(true);
    }

    @Override
    public void part(ByteBuf part) {
        bytes += part.readableBytes();
        if (backend != null) {
            backend.part(part);
        } else if (taken) {
            part.release();
        } else {
            waiting.add(part);
            wanted(false);
        }
    }

    @Override
    public void last() {
        came = true;
        over = true;
        wanted(true);
        listener.came();
        if (backend != null) {
            backend.last();
        }
    }

    @Override
    public void broken(boolean unreadable) {
        over = true;
        wanted(true);
        // The request ends first: an attempt that has ended would be made again.
        listener.cutOff();
        if (backend != null) {
            backend.broken(unreadable);
        }
    }
}
