package grebehoist.benchmarks.slopes;

import java.lang.management.ManagementFactory;

/** What is in use once all that is garbage has gone. */
final class Heap {
    private Heap() {}

    /** Returns bytes. */
    static long used() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
