import java.util.concurrent.Callable;

/** Threads that do not keep the process alive. */
final class Threads {
    /** Something that may throw. */
    interface Step {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(Step step) {
        var thread = new Thread(() -> {
            try {
                step.run();
            } catch (Exception e) {
                // Stand-ins end with their connections.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until something is so; returns whether it is. */
    static boolean await(long ms, Callable<Boolean> wanted) throws Exception {
        long until = System.nanoTime() + ms * 1_000_000;
        while (!wanted.call()) {
            if (System.nanoTime() > until) {
                return false;
            }
            sleep(10);
        }
        return true;
    }
}
