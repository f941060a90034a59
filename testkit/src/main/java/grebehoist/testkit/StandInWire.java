package grebehoist.testkit;

import io.netty.channel.Channel;

/** A protocol as clients and backends that stand in speak it. Used by the stand-ins' one thread. */
public interface StandInWire {
    /** What is no answer in any protocol. */
    String NOISE = "\u0001\u0002 no answer at all\r\n\r\n";

    /**
     * A request as it stands on the wire.
     *
     * @param id the request's
     * @param operation what is to happen, also what it is about
     * @param safe whether its class may be repeated at will
     * @param tenant or null
     * @param key or null
     * @param patienceUs how long its client waits; to a backend, what it is told to be left, or {@link #NOT_TOLD}
     * @param oneway whether nobody answers it
     */
    record Call(
            String id,
            String operation,
            String requestClass,
            boolean safe,
            String tenant,
            String key,
            long workUs,
            long patienceUs,
            boolean retried,
            boolean oneway) {
        /** Nothing is said of the time that is left, or the client's own words are passed on as they are. */
        static final long NOT_TOLD = -1;
    }

    /**
     * How slowly a message is written.
     *
     * @param pieces in how many, about
     * @param pauseUs how long after one the next comes
     */
    record Pace(int pieces, long pauseUs) {
        static final Pace AT_ONCE = new Pace(1, 0);

        /** Returns where the piece ends that begins at an index of so many bytes. */
        int end(int from, int length) {
            return pieces == 1 ? length : Math.min(length, from + length / pieces + 1);
        }
    }

    /** What a backend says. */
    enum Reply {
        /** It has run: the body is the answer. */
        OK,
        /** It never ran, and that is proven. */
        NEVER_RAN,
        /** Not now; that proves nothing. */
        UNAVAILABLE,
        /** Something went wrong. */
        ERROR,
        /** What is no message at all. */
        NOISE
    }

    /** What a client hears. */
    enum Heard {
        SERVED,
        REFUSED,
        FAILED
    }

    /**
     * What a client hears of a call.
     *
     * @param tag that of the call, or -1 where the protocol has none
     * @param body of what was served, else empty
     * @param retryAfterUs when to come back, or -1 where nothing is said of that
     * @param reusable whether the connection is open for more
     */
    record Answer(int tag, Heard heard, String body, long retryAfterUs, boolean reusable) {}

    /** Hears what comes to a backend on a connection, one call at a time. */
    interface BackendSide {
        /** A call has begun to come; its {@code patienceUs} and {@code operation} may be missing. */
        void began(Call call);

        /** Its last byte has come. */
        void whole();

        /** What has come is not what a client sent. */
        default void garbled() {}
    }

    /** Writes a backend's replies on a connection. */
    interface BackendEnd {
        /** Returns the reply to the call that was begun last; a body stands at its end. */
        byte[] reply(Reply reply, String body);

        /** Returns how slowly an answer is written. */
        default Pace pace(String body) {
            return Pace.AT_ONCE;
        }
    }

    /** Hears what comes to a client on a connection. */
    interface ClientSide {
        void answered(Answer answer);

        /** An answer has begun to come whose first bytes may be what counts. */
        default void begun() {}
    }

    /** Writes a client's calls on a connection. */
    interface ClientEnd {
        byte[] request(Call call, int tag);

        /** Returns how slowly a call is written. */
        default Pace pace(Call call) {
            return Pace.AT_ONCE;
        }
    }

    /** Returns how many calls a client may have open on a connection. */
    int maxOpen();

    /** Returns how many open calls a proxy reads on a connection; it takes the next when one of them is answered. */
    int taken();

    /** Returns whether answers come in the order of the calls. */
    boolean inOrder();

    /** Sets up the backend's end of a connection; the caller's own handler goes behind it. */
    BackendEnd backend(Channel channel, BackendSide side);

    /** Sets up a client's end of a connection; the caller's own handler goes behind it. */
    ClientEnd client(Channel channel, ClientSide side);

    /** Returns what can't be read. */
    byte[] rubbish();
}
