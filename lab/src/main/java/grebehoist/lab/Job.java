package grebehoist.lab;

import grebehoist.engine.Payload;

/** A client's request with the work that it is, the same at every machine and for every attempt. */
final class Job implements Payload {
    private final int type;
    private final boolean unsafe;
    private final double workUs;
    private final long firstAt;
    private int runs;
    private int tries;

    Job(int type, boolean unsafe, double workUs, long firstAt) {
        this.type = type;
        this.unsafe = unsafe;
        this.workUs = workUs;
        this.firstAt = firstAt;
    }

    int type() {
        return type;
    }

    /** Returns whether it must not run twice. */
    boolean unsafe() {
        return unsafe;
    }

    double workUs() {
        return workUs;
    }

    /** Returns when its client first asked. */
    long firstAt() {
        return firstAt;
    }

    /** A machine has carried it out; returns how often that is now. */
    int ran() {
        return ++runs;
    }

    /** Its client asks; returns for which time. */
    int tried() {
        return ++tries;
    }

    @Override
    public void retain() {}

    @Override
    public void release() {}
}
