package grebehoist.fleet.lease;

/** What has changed, for whoever acts and for people. Times are by this member's clock, in microseconds. */
public sealed interface LeaseChange {
    /** Returns the task's number. */
    int task();

    /** This member holds a task from now on, for the time being until then. */
    record Held(int task, long token, long untilUs) implements LeaseChange {}

    /** It holds it no more. */
    record Ended(int task, long token, Why why) implements LeaseChange {}

    /** Why a holding ends. */
    enum Why {
        /** It could not be renewed, or this process was stopped. */
        LAPSED,
        /** It was given back. */
        GIVEN_BACK
    }
}
