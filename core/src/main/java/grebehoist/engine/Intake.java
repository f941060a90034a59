package grebehoist.engine;

/** Where fronts hand in their requests. Used by the engine's thread alone. */
public interface Intake {
    /** Returns whether a request with this id is open: no second one may be handed in meanwhile. */
    boolean knows(String id);

    /**
     * Takes a request; it gets exactly one answer, perhaps before this returns.
     *
     * @param request the request; one that is past its deadline already is refused at once, and one that has the id of an
     *         open one fails
     * @param responder hears the answer
     */
    void arrived(Request request, Responder responder);

    /**
     * The payload of a request that came without its end is there as a whole now.
     *
     * @param deadlineUs the last moment at which an answer can leave, as for {@link Request}
     */
    void whole(String id, long deadlineUs);

    /**
     * The payload of a request is not there as a whole, and would come too late: it is refused, as no backend can have begun with it.
     * Without effect where it is answered already.
     *
     * @param why what that rests on, for the log
     */
    void giveUp(String id, String why);

    /** A client's connection is closed from this side under a request that has no answer, which is never to happen. */
    default void closedUnanswered(String id, String why) {}

    /** The client has left before it had an answer; its responder is not called any more. */
    void clientGone(String id);
}
