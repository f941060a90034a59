package grebehoist.operations;

import grebehoist.engine.Counter;
import grebehoist.engine.Log;
import grebehoist.engine.RequestClaims;
import grebehoist.net.Backoff;
import grebehoist.net.BoundedRetry;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * What operators have asked of a proxy, kept in a directory that all processes of this proxy share: so it holds over an
 * upgrade, and each process hears within {@value #LOOK_MS} ms what another was told.
 *
 * <p>A request is in force in this process at once, before it is on disk; it is written again and again until it lasts, and only then answered
 * with yes. What can't be read leaves what was known in force. So a disk that fails for a while costs nothing but the yes.
 *
 * <p>All work with files is done on one thread of its own ("state"). What is wanted and what is in force belong to the executor of
 * {@link #watch}, on which the requests are made and the news comes as immutable values.
 */
public final class StateDirectory implements Closeable {
    /** How often it is looked at: rule 3 leaves 250 ms from the moment that another process was told. */
    static final long LOOK_MS = 50;
    /** So many suspensions at most. */
    static final int MOST_SUSPENDED = 1_024;

    /** So many requests at most that have yet to last. */
    private static final int MOST_PENDING = 2 * MOST_SUSPENDED;
    /** A look at the processes costs an open file each, so only each so many looks at the rest. */
    private static final int LOOKS_FOR_EACH_CENSUS = 4;
    /** A disk that fails for a moment must not delay what another process is to hear within {@link #LOOK_MS}. */
    private static final long FIRST_RETRY_MS = 20;

    private static final long LAST_RETRY_MS = 250;

    /**
     * What is in force, at one moment.
     *
     * @param suspended the ids of all backends that are suspended
     * @param drained whether clients are to be sent elsewhere
     * @param processes the other processes of this proxy
     * @param drains what these have been told by discovery of backends that drain or are gone, and when
     */
    public record Shared(Set<String> suspended, boolean drained, ProcessCount processes, Map<String, Long> drains) {
        /** What is in force while no newer process serves, and none has been told of drains. */
        public Shared(Set<String> suspended, boolean drained, int others, boolean newer) {
            this(suspended, drained, new ProcessCount(others, newer, false, 0), Map.of());
        }

        /** Returns how many other processes of this proxy live, but for those that only finish what has begun. */
        public int others() {
            return processes.others();
        }

        /** Returns whether one of them began after this one. */
        public boolean newer() {
            return processes.newer();
        }

        /** Returns whether such a one serves, or is about to. */
        public boolean newerServes() {
            return processes.newerServes();
        }
    }

    /** What the other processes are to be told of this one. */
    private interface Announcement {
        void write(ProcessCensus census) throws IOException;
    }

    /** Something that operators have asked, in force here until it lasts on disk. */
    private static final class Pending {
        private final String file;
        /** The backend, or null for the drain. */
        private final String backend;

        private final boolean present;
        private final Consumer<Boolean> then;
        private final Backoff backoff = new Backoff(FIRST_RETRY_MS, LAST_RETRY_MS);
        /** Where a later request has taken its place. */
        private volatile boolean superseded;
        /** For the state thread: when the file that is to go was made or touched, as first seen. */
        private FileTime touched;

        private boolean seen;
        private boolean complained;

        Pending(String file, String backend, boolean present, Consumer<Boolean> then) {
            this.file = file;
            this.backend = backend;
            this.present = present;
            this.then = then;
        }
    }

    private final Log log;
    private final StateFiles files;
    private final ProcessCensus census;
    private final DrainFiles drainFiles;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        var t = new Thread(task, "state");
        t.setDaemon(true);
        return t;
    });
    /** What the state thread has read last. */
    private Shared read;

    private int looks;
    private boolean readable = true;
    /** Null where nothing is left to be told to the other processes. */
    private Announcement untold;
    /** Null where no drain is left to be told to them. */
    private Map<String, Long> untoldDrains;
    /** Null as long as it could not be mapped. */
    private volatile ClaimTable claims;

    /** From here on for the executor of {@link #watch}: what the files say, what is asked beyond that, and what was told last. */
    private final Map<String, Pending> pending = new LinkedHashMap<>();

    private Shared onDisk;
    private Shared told;
    private Consumer<Shared> listener = s -> {};
    private volatile Executor owner = Runnable::run;

    /**
     * Opens the directory, which is made where there is none, and joins the processes that use it.
     *
     * @throws IOException where it can't be made or read, or this process can't join it
     */
    public StateDirectory(Path directory, Log log) throws IOException {
        this.log = log;
        this.files = new StateFiles(directory);
        this.census = new ProcessCensus(files);
        this.drainFiles = new DrainFiles(files);
        mapClaims();
        this.read = read(null);
        this.onDisk = read;
        this.told = read;
    }

    /**
     * Opens the directory, and tries again where a system call fails for a moment.
     *
     * @param patienceMs after so long it gives up
     */
    public static StateDirectory open(Path directory, Log log, long patienceMs)
            throws IOException, InterruptedException {
        return new BoundedRetry(patienceMs, new Backoff(FIRST_RETRY_MS, LAST_RETRY_MS))
                .run(() -> new StateDirectory(directory, log), IOException.class, failure -> {
                    log.count(Counter.STATE_READ_FAILED);
                    return true;
                });
    }

    /**
     * Tells the other processes that this one is about to serve.
     *
     * @param afterMs in so many milliseconds
     */
    public void announce(long afterMs) {
        thread.schedule(() -> tellOthers(ProcessCensus::announce), afterMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Tells the other processes that this one has given up its place, and only finishes what has begun. May be called again.
     *
     * @param sockets descriptors that it holds for that
     */
    public void finishing(int sockets) {
        thread.execute(() -> tellOthers(census -> census.finish(sockets)));
    }

    /** Tells the other processes what this one has been told by discovery of backends that drain or are gone, and when. */
    public void tellDrains(Map<String, Long> told) {
        thread.execute(() -> {
            untoldDrains = told;
            tellDrains();
        });
    }

    /** Returns the clock by which it is told when something was, the same for all processes of this machine, in milliseconds. */
    public static long clockMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** Returns what the processes of this proxy have sent on of one pool. While that can't be shared nobody else is known. */
    public RequestClaims claims(String pool) {
        return new RequestClaims() {
            private RequestClaims shared;

            @Override
            public boolean claim(String id, long keepUs) {
                return !isShared() || shared.claim(id, keepUs);
            }

            @Override
            public void release(String id) {
                if (isShared()) {
                    shared.release(id);
                }
            }

            private boolean isShared() {
                ClaimTable table = claims;
                if (shared == null && table != null) {
                    shared = table.of(pool);
                }
                return shared != null;
            }
        };
    }

    /** Returns what was there when it was opened. */
    public Shared atStart() {
        return told;
    }

    /**
     * Tells what is in force from now on: at once, and whenever it has changed. Comes before any request.
     *
     * @param on where the listener is called
     */
    public void watch(Executor on, Consumer<Shared> news) {
        owner = on;
        on.execute(() -> {
            listener = news;
            news.accept(told);
        });
        thread.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Suspends a backend, at once in this process.
     *
     * @param then hears, after the listener of {@link #watch} and in the same place, that it lasts; or that it can't, or that a later
     *         request has taken its place. It hears nothing as long as that is open
     */
    public void suspend(String backend, Consumer<Boolean> then) {
        String file = StateFiles.suspensionOf(backend);
        owner.execute(() -> {
            boolean fits = told.suspended.contains(backend) || told.suspended.size() < MOST_SUSPENDED;
            if (file == null || !fits) {
                then.accept(false);
            } else {
                want(new Pending(file, backend, true, then));
            }
        });
    }

    /** Ends a backend's suspension, if there is one; {@code then} as for {@link #suspend}. */
    public void resume(String backend, Consumer<Boolean> then) {
        String file = StateFiles.suspensionOf(backend);
        owner.execute(() -> {
            if (file == null) {
                then.accept(true);
            } else {
                want(new Pending(file, backend, false, then));
            }
        });
    }

    /** Has clients sent elsewhere, or no longer; {@code then} as for {@link #suspend}. */
    public void drain(boolean on, Consumer<Boolean> then) {
        owner.execute(() -> want(new Pending(StateFiles.DRAINED, null, on, then)));
    }

    private void want(Pending request) {
        Pending before = pending.remove(request.file);
        if (before != null) {
            before.superseded = true;
            before.then.accept(false);
        }
        if (pending.size() >= MOST_PENDING) {
            request.then.accept(false);
            return;
        }
        pending.put(request.file, request);
        tell();
        thread.execute(() -> write(request));
    }

    /** What is in force: what lasts, and over that what is asked and has yet to last. */
    private Shared inForce() {
        if (pending.isEmpty()) {
            return onDisk;
        }
        var suspended = new HashSet<>(onDisk.suspended);
        boolean drained = onDisk.drained;
        for (Pending p : pending.values()) {
            if (p.backend == null) {
                drained = p.present;
            } else if (p.present) {
                suspended.add(p.backend);
            } else {
                suspended.remove(p.backend);
            }
        }
        return new Shared(Set.copyOf(suspended), drained, onDisk.processes, onDisk.drains);
    }

    private void tell() {
        Shared now = inForce();
        if (!now.equals(told)) {
            told = now;
            listener.accept(now);
        }
    }

    private void lasts(Pending request) {
        if (pending.remove(request.file, request)) {
            tell();
            request.then.accept(true);
        }
    }

    // On the state thread

    /** One try; where it fails another follows, until it lasts or a later request takes its place. */
    private void write(Pending request) {
        if (request.superseded) {
            return;
        }
        try {
            apply(request);
            // What lasts has been read back before it is no longer asked.
            report(read(read));
            owner.execute(() -> lasts(request));
        } catch (IOException | RuntimeException e) {
            log.count(Counter.STATE_WRITE_FAILED);
            if (!request.complained) {
                request.complained = true;
                owner.execute(() -> log.line("operators: '" + request.file
                        + "' is in force and could not be written, it is tried again: " + e));
            }
            thread.schedule(() -> write(request), request.backoff.next(), TimeUnit.MILLISECONDS);
        }
    }

    private void apply(Pending request) throws IOException {
        if (request.present) {
            files.make(request.file);
            return;
        }
        FileTime touched = files.touched(request.file);
        if (!request.seen) {
            request.seen = true;
            request.touched = touched;
        }
        // Another process has been asked for it since: that is the later request.
        if (touched != null && touched.equals(request.touched)) {
            files.delete(request.file);
        }
    }

    /** A look that goes wrong changes nothing: what holds goes on to hold. */
    private void look() {
        mapClaims();
        tellOthers();
        tellDrains();
        try {
            report(read(read));
            readable(true, null);
        } catch (IOException | RuntimeException e) {
            log.count(Counter.STATE_READ_FAILED);
            looks = 0;
            readable(false, e);
        }
    }

    private void tellOthers(Announcement news) {
        untold = news;
        tellOthers();
    }

    private void tellOthers() {
        if (untold == null) {
            return;
        }
        try {
            untold.write(census);
            untold = null;
        } catch (IOException | RuntimeException e) {
            // Again with the next look: the others go on as if this process were still starting.
            log.count(Counter.STATE_WRITE_FAILED);
        }
    }

    private void tellDrains() {
        if (untoldDrains == null) {
            return;
        }
        try {
            drainFiles.write(untoldDrains);
            untoldDrains = null;
        } catch (IOException | RuntimeException e) {
            // Again with the next look.
            log.count(Counter.STATE_WRITE_FAILED);
        }
    }

    private void mapClaims() {
        if (claims != null) {
            return;
        }
        try {
            claims = ClaimTable.map(files.resolve(StateFiles.CLAIMS));
        } catch (IOException | RuntimeException e) {
            log.count(Counter.CLAIMS_NOT_SHARED);
        }
    }

    private void readable(boolean now, Exception why) {
        if (now != readable) {
            readable = now;
            owner.execute(() -> log.line("operators: the state directory can "
                    + (now ? "be read again" : "not be read, what was known holds: " + why)));
        }
    }

    private void report(Shared now) {
        if (!now.equals(read)) {
            read = now;
            owner.execute(() -> {
                onDisk = now;
                tell();
            });
        }
    }

    private Shared read(Shared before) throws IOException {
        StateFiles.Listing listing = files.list();
        if (!census.joined()) {
            census.join(listing.processes());
        }
        boolean count = before == null || looks++ % LOOKS_FOR_EACH_CENSUS == 0;
        ProcessCount processes = count ? census.count(listing.processes()) : before.processes;
        return new Shared(listing.suspended(), listing.drained(), processes, drains(listing, before));
    }

    /** What can't be read of drains leaves what was known of them, and hides nothing else. */
    private Map<String, Long> drains(StateFiles.Listing listing, Shared before) {
        try {
            return drainFiles.readOthers(listing.drains(), clockMs());
        } catch (IOException e) {
            log.count(Counter.STATE_READ_FAILED);
            return before == null ? Map.of() : before.drains;
        }
    }

    /** Leaves: the others see that at their next look. */
    @Override
    public void close() throws IOException {
        thread.shutdownNow();
        drainFiles.leave();
        census.leave();
    }
}
