package beechfall;

/** The answers of one kind of machine, in microseconds. */
final class Kind {
    /** Answers that a kind's mean response time remembers: its weight drifts slowly. */
    static final int MEMORY = 1024;

    private double meanUs;
    private int samples;

    double meanUs() {
        return meanUs;
    }

    int samples() {
        return samples;
    }

    void learn(double latencyUs) {
        samples = Math.min(samples + 1, MEMORY);
        meanUs += (latencyUs - meanUs) / samples;
    }
}
