package grebehoist.operations;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * What operators have asked of a proxy, kept in a directory that all processes of this proxy share: so it holds over an
 * upgrade, and each process hears within {@value #LOOK_MS} ms what another was told. Each suspension is a file, and so is the drain: making
 * and deleting a file is atomic, so no process ever waits for another. Each process holds a lock on a file of its own
 * for as long as it lives, which the kernel gives up however it ends.
 *
 * <p>All work with files is done on one thread of its own; what is found comes back as immutable values on the executor of
 * {@link #watch}.
 */
public final class StateDirectory implements Closeable {
    /** How often it is looked at: rule 3 leaves 250 ms from the moment that another process was told. */
    static final long LOOK_MS = 50;
    /** So many suspensions at most. */
    static final int MOST_SUSPENDED = 1_024;

    /** A look at the processes costs an open file each, so only each so many looks at the rest. */
    private static final int LOOKS_FOR_EACH_CENSUS = 4;
    private static final String SUSPENDED = "suspended-";
    private static final String DRAINED = "drained";
    private static final String PROCESS = "process-";
    private static final int LONGEST_NAME = 200;

    /**
     * What is there, at one moment.
     *
     * @param suspended the ids of all backends that are suspended
     * @param drained whether clients are to be sent elsewhere
     * @param others how many other processes of this proxy live
     * @param newer whether one of them began after this one
     */
    public record Shared(Set<String> suspended, boolean drained, int others, boolean newer) { }

    private final Path directory;
    private final Path own;
    private final FileChannel lockedFile;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        var t = new Thread(task, "state");
        t.setDaemon(true);
        return t;
    });
    private Shared shared;
    private int looks;
    private Consumer<Shared> listener = s -> { };
    private Executor where = Runnable::run;

    /**
     * Opens the directory, which is made where there is none, and joins the processes that use it.
     *
     * @param startedUs when this process began, Unix time in microseconds: the later one is the newer one
     */
    public StateDirectory(Path directory, long startedUs) throws IOException {
        this.directory = Files.createDirectories(directory);
        own = directory.resolve(PROCESS + String.format("%016d-%d", startedUs, ProcessHandle.current().pid()));
        lockedFile = lockOwn();
        shared = read(null);
    }

    /** Another process that looks between the making and the locking takes the file for a dead one's, and deletes it. */
    private FileChannel lockOwn() throws IOException {
        while (true) {
            FileChannel file = FileChannel.open(own, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            FileLock lock = file.tryLock();
            if (lock != null && Files.exists(own)) {
                return file;
            }
            file.close();
        }
    }

    /** Returns what was there when it was opened. */
    public Shared atStart() {
        return shared;
    }

    /**
     * Tells what is there from now on: at once, and whenever it has changed.
     *
     * @param on where the listener is called
     */
    public void watch(Executor on, Consumer<Shared> news) {
        thread.execute(() -> {
            where = on;
            listener = news;
            Shared now = shared;
            on.execute(() -> news.accept(now));
        });
        thread.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** A look that goes wrong (a directory that was taken away) changes nothing: what holds goes on to hold. */
    private void look() {
        try {
            tell(read(shared));
        } catch (IOException | RuntimeException e) {
            looks = 0;
        }
    }

    private void tell(Shared now) {
        if (!now.equals(shared)) {
            shared = now;
            where.execute(() -> listener.accept(now));
        }
    }

    /** Returns the name of a suspension's file, or null where an id is too long for one. */
    private static String fileOf(String id) {
        String name = SUSPENDED + Base64.getUrlEncoder().withoutPadding().encodeToString(id.getBytes(StandardCharsets.UTF_8));
        return name.length() > LONGEST_NAME ? null : name;
    }

    /**
     * Suspends a backend.
     *
     * @param then hears, after the listener of {@link #watch} and in the same place, whether that is so
     */
    public void suspend(String id, Consumer<Boolean> then) {
        String file = fileOf(id);
        change(() -> {
            boolean fits = file != null && (shared.suspended.contains(id) || shared.suspended.size() < MOST_SUSPENDED);
            if (fits) {
                make(file);
            }
            return fits;
        }, then);
    }

    /** Ends a backend's suspension, if there is one; {@code then} as for {@link #suspend}. */
    public void resume(String id, Consumer<Boolean> then) {
        String file = fileOf(id);
        change(() -> file == null || delete(file), then);
    }

    /** Has clients sent elsewhere, or no longer; {@code then} as for {@link #suspend}. */
    public void drain(boolean on, Consumer<Boolean> then) {
        change(() -> {
            if (on) {
                make(DRAINED);
            } else {
                delete(DRAINED);
            }
            return true;
        }, then);
    }

    private interface Change {
        boolean done() throws IOException;
    }

    private void change(Change change, Consumer<Boolean> then) {
        thread.execute(() -> {
            boolean done;
            try {
                done = change.done();
                tell(read(shared));
            } catch (IOException | RuntimeException e) {
                done = false;
            }
            boolean answer = done;
            where.execute(() -> then.accept(answer));
        });
    }

    private void make(String name) throws IOException {
        try {
            Files.createFile(directory.resolve(name));
        } catch (FileAlreadyExistsException e) {
            // Another process, or an earlier call, has asked for the same.
        }
    }

    private boolean delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
        return true;
    }

    private Shared read(Shared before) throws IOException {
        var suspended = new HashSet<String>();
        boolean drained = false;
        var processes = new ArrayList<Path>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (name.equals(DRAINED)) {
                    drained = true;
                } else if (name.startsWith(SUSPENDED)) {
                    suspended.add(idOf(name));
                } else if (name.startsWith(PROCESS) && !file.equals(own)) {
                    processes.add(file);
                }
            }
        }
        suspended.remove(null);
        boolean census = before == null || looks++ % LOOKS_FOR_EACH_CENSUS == 0;
        int others = census ? 0 : before.others;
        boolean newer = !census && before.newer;
        for (Path process : census ? processes : List.<Path>of()) {
            if (lives(process)) {
                others++;
                newer |= process.getFileName().compareTo(own.getFileName()) > 0;
            }
        }
        return new Shared(Set.copyOf(suspended), drained, others, newer);
    }

    /** Returns the backend that a file suspends, or null where somebody else has left it. */
    private static String idOf(String name) {
        try {
            return new String(Base64.getUrlDecoder().decode(name.substring(SUSPENDED.length())), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Whose lock can be had is dead, and its file is taken away. */
    private static boolean lives(Path process) throws IOException {
        try (FileChannel file = FileChannel.open(process, StandardOpenOption.WRITE)) {
            if (file.tryLock() == null) {
                return true;
            }
            Files.deleteIfExists(process);
            return false;
        } catch (NoSuchFileException e) {
            return false;
        } catch (OverlappingFileLockException e) {
            // In this very process: two proxies of a test.
            return true;
        }
    }

    /** Leaves: the others see that at their next look. */
    @Override
    public void close() throws IOException {
        thread.shutdown();
        lockedFile.close();
        Files.deleteIfExists(own);
    }
}
