package grebehoist.net;

import grebehoist.engine.Log;

/** Lines for the operators, on standard error. One thread uses it: the event loop, or the main thread before that. */
public final class StderrLog implements Log {
    private static final int LINES_A_SECOND = 20;

    private long second = Long.MIN_VALUE;
    private int lines;
    private int dropped;

    /** What goes wrong thousands of times a second must not take the CPU from what goes well. */
    @Override
    public void line(String text) {
        long now = System.nanoTime() / 1_000_000_000;
        if (now != second) {
            if (dropped > 0) {
                System.err.println("(" + dropped + " more lines left out)");
            }
            second = now;
            lines = 0;
            dropped = 0;
        }
        if (++lines > LINES_A_SECOND) {
            dropped++;
        } else {
            System.err.println(text.replace('\n', ' ').replace('\r', ' '));
        }
    }

    @Override
    public void failure(String what, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        line(what + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
    }
}
