package grebehoist.http;

/**
 * Since when a client has taken nothing of what it is given. What is yet to be taken tells nothing by itself: as long as an answer goes
 * on that is filled up again to the same mark, so that a client that takes it looks like one that does not whenever it is looked at.
 * So what counts is what was given less that.
 */
final class TakeWatch {
    private final long patienceUs;
    private long taken;
    private long takenSince;

    TakeWatch(long patienceUs) {
        this.patienceUs = patienceUs;
    }

    /**
     * Returns whether the client has taken nothing for too long.
     *
     * @param given bytes written so far
     * @param untaken bytes of these that the network has yet to take
     */
    boolean stuck(long given, long untaken, long nowUs) {
        if (untaken == 0 || given - untaken != taken) {
            taken = given - untaken;
            takenSince = nowUs;
        }
        return nowUs - takenSince > patienceUs;
    }
}
