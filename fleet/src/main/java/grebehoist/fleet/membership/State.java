package grebehoist.fleet.membership;

/** What is held of a member. The order is that of what prevails where the incarnation is the same. */
public enum State {
    /** Nothing has been heard of it in this life. */
    UNKNOWN,
    ALIVE,
    /** Somebody has not reached it, directly or through others. It may be paused, cut off or dead. */
    SUSPECT,
    /** It was suspected for longer than the longest pause that is borne, and did not object. */
    DEAD,
    /** It has said that it ends. */
    LEFT;

    /** Returns whether it may still take part, as far as is known. */
    public boolean mayAct() {
        return this != DEAD && this != LEFT;
    }
}
