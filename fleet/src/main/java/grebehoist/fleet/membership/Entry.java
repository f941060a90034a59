package grebehoist.fleet.membership;

/** What is held of one member. */
final class Entry {
    final int number;
    State state = State.UNKNOWN;
    long incarnation;
    /** What it has said of itself, in this life of ours; -1 where it has not been heard. */
    long ownWord = -1;

    String name = "";
    String zone = "";
    long sinceUs;
    /** When a datagram of its own last came; long ago where none has. */
    long heardAt = Long.MIN_VALUE / 2;
    /** When it last answered a question; 0 where it has not. */
    long answeredAt;
    /** Null unless it is suspect. */
    Suspicion suspicion;
    /** Whom it does not reach, or null. */
    News.Reach reach;
    /** Probes in a row that it answered through others alone. */
    int missed;
    /** Why it is what it is, for a person. */
    String why = "";

    Entry(int number) {
        this.number = number;
    }
}
