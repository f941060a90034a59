package grebehoist.cli;

import grebehoist.config.Config;
import grebehoist.engine.Counter;
import grebehoist.engine.Log;
import grebehoist.net.Backoff;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Reads the configuration again when that is asked, until it has been read or is asked anew. A file that can't be read is not one that
 * is wrong: it is read again after a pause, however often that takes. One that is malformed is judged as it is; as it may just be in
 * writing, it is judged once more if it is written within a few seconds.
 *
 * <p>The first try is made on the caller's thread, which is a signal's own and may block; further ones on a thread that is started only
 * then. One try at a time.
 */
final class ConfigurationReloader {
    /** Hears how a request ends; called on whatever thread read the file. */
    interface Listener {
        /** The file has been read, and is sound. */
        void read(Config config);

        /** The file is malformed, or could not be read for some time; in that case it is still tried. */
        void rejected(String why);
    }

    private static final long FIRST_RETRY_MS = 50;
    private static final long LAST_RETRY_MS = 1_000;
    /** Unreadable for so long, the request is reported as rejected. */
    private static final long REPORT_NS = TimeUnit.SECONDS.toNanos(2);
    /** So long a malformed file is looked at again, in case it was seen half-written. */
    private static final long REWRITE_NS = TimeUnit.SECONDS.toNanos(5);

    private static final long REWRITE_LOOK_MS = 100;

    private final Path file;
    private final Log log;
    private final Consumer<Runnable> loop;
    private final Listener listener;
    private final AtomicLong requests = new AtomicLong();
    private ScheduledExecutorService thread;

    /**
     * Makes one that is yet to be asked.
     *
     * @param loop runs what writes to the log
     */
    ConfigurationReloader(Path file, Log log, Consumer<Runnable> loop, Listener listener) {
        this.file = file;
        this.log = log;
        this.loop = loop;
        this.listener = listener;
    }

    /** One request: the latest counts. */
    private final class Request implements Runnable {
        private final long number = requests.incrementAndGet();
        private final long startedNs = System.nanoTime();
        private final Backoff backoff = new Backoff(FIRST_RETRY_MS, LAST_RETRY_MS);
        private boolean complained;
        private boolean reported;
        /** Of a file that was found malformed; null before that. */
        private FileStamp malformed;

        @Override
        public void run() {
            synchronized (ConfigurationReloader.this) {
                if (number == requests.get()) {
                    attempt();
                }
            }
        }

        private void attempt() {
            FileStamp stamp = FileStamp.of(file);
            if (malformed != null && (stamp == null || stamp.equals(malformed))) {
                awaitRewrite();
                return;
            }
            try {
                listener.read(Config.read(file));
            } catch (Config.Unreadable e) {
                unreadable(e);
            } catch (Config.BadConfig e) {
                listener.rejected(e.getMessage());
                malformed = stamp;
                awaitRewrite();
            }
        }

        private void unreadable(Config.Unreadable e) {
            log.count(Counter.CONFIGURATION_UNREADABLE);
            if (!complained) {
                complained = true;
                loop.accept(
                        () -> log.line("the new configuration can't be read, it is tried again: " + e.getMessage()));
            }
            if (!reported && System.nanoTime() - startedNs > REPORT_NS) {
                reported = true;
                listener.rejected(e.getMessage());
            }
            later(backoff.next());
        }

        private void awaitRewrite() {
            if (System.nanoTime() - startedNs < REWRITE_NS) {
                later(REWRITE_LOOK_MS);
            }
        }

        private void later(long delayMs) {
            if (thread == null) {
                thread = Executors.newSingleThreadScheduledExecutor(task -> {
                    var started = new Thread(task, "configuration");
                    started.setDaemon(true);
                    return started;
                });
            }
            thread.schedule(this, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Asks for the file to be read. What an earlier request has not achieved is left to this one. */
    void request() {
        new Request().run();
    }
}
