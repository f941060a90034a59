package grebehoist.trial.distribution;

import java.util.ArrayDeque;
import java.util.Deque;

/** Whether what passes one host keeps to so many bytes a second in every window of time. */
final class ByteBudget {
    private record Passed(long atUs, int bytes) {}

    private final long most;
    private final long windowUs;
    private final Deque<Passed> passed = new ArrayDeque<>();
    private long bytes;
    private long exemptUntilUs;

    ByteBudget(int bytesPerS, long windowUs) {
        this.most = windowUs / 1_000_000 * bytesPerS;
        this.windowUs = windowUs;
    }

    /**
     * Something has passed.
     *
     * @param exempt no window that this is in is held to the budget
     * @return how many bytes it was in this window where that is too much, once a window; else 0
     */
    long passed(long nowUs, int size, boolean exempt) {
        passed.addLast(new Passed(nowUs, size));
        bytes += size;
        while (passed.peekFirst().atUs() < nowUs - windowUs) {
            bytes -= passed.removeFirst().bytes();
        }
        if (exempt) {
            exemptUntilUs = nowUs + windowUs;
        }
        if (bytes <= most || nowUs <= exemptUntilUs) {
            return 0;
        }
        exemptUntilUs = nowUs + windowUs;
        return bytes;
    }
}
