package grebehoist.operations;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Which processes of one proxy live, and which of them are newer than this one. Each holds a lock on a file of its own for as long as it
 * lives, which the kernel gives up however it ends. A process's number is one more than the greatest that it found when it joined:
 * so the order of processes does not depend on the machine's wall clock, which may be stepped between two starts.
 *
 * <p>How many bytes a process's file has tells how far it is: {@value #STARTING} while it starts, more once it is about to serve, and
 * {@value #FINISHING} and one for each descriptor that it holds once it has given up its place. One that says nothing, as older versions do, is taken to
 * serve. Used by one thread.
 */
final class ProcessCensus {
    private static final long DEAD = -1;
    private static final long SILENT = 0;
    private static final long STARTING = 1;
    private static final long FINISHING = 1_000;
    private static final byte MARK = '.';

    private static final Pattern NAME = Pattern.compile(StateFiles.PROCESS + "(\\d{1,18})-(\\d{1,18})");

    private final StateFiles files;
    private Path own;
    private FileChannel locked;

    ProcessCensus(StateFiles files) {
        this.files = files;
    }

    private static long number(Path file) {
        Matcher name = NAME.matcher(file.getFileName().toString());
        return name.matches() ? Long.parseLong(name.group(1)) : 0;
    }

    /** Two that joined in the same instant have one number: then it goes by their names, which is the same for both. */
    private static boolean joinedLater(Path one, Path other) {
        int byNumber = Long.compare(number(one), number(other));
        return byNumber != 0 ? byNumber > 0 : one.getFileName().compareTo(other.getFileName()) > 0;
    }

    /** Returns whether this process has joined: before that the others can't see it. */
    boolean joined() {
        return locked != null;
    }

    /** Joins, as the newest of all that are there. */
    void join(List<Path> processes) throws IOException {
        if (own == null) {
            long greatest = 0;
            for (Path process : processes) {
                greatest = Math.max(greatest, number(process));
            }
            own = files.resolve(String.format(
                    "%s%016d-%d",
                    StateFiles.PROCESS, greatest + 1, ProcessHandle.current().pid()));
        }
        // A process that looks between the making and the locking takes the file for a dead one's, and deletes it.
        while (locked == null) {
            FileChannel file = FileChannel.open(own, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            try {
                FileLock lock = file.tryLock();
                if (lock != null && Files.exists(own)) {
                    mark(file, 0);
                    locked = file;
                }
            } finally {
                if (locked == null) {
                    file.close();
                }
            }
        }
    }

    /** Tells the others that this process is about to serve. */
    void announce() throws IOException {
        mark(locked, STARTING);
    }

    /**
     * Tells the others that this process has given up its place, and only finishes what has begun.
     *
     * @param sockets descriptors that it holds for that
     */
    void finish(int sockets) throws IOException {
        long size = FINISHING + sockets;
        mark(locked, size - 1);
        locked.truncate(size);
    }

    private static void mark(FileChannel file, long position) throws IOException {
        file.write(ByteBuffer.wrap(new byte[] {MARK}), position);
    }

    ProcessCount count(List<Path> processes) throws IOException {
        int others = 0;
        boolean newer = false;
        boolean newerServes = false;
        long finishingSockets = 0;
        for (Path process : processes) {
            long mark = process.equals(own) ? DEAD : mark(process);
            if (mark >= FINISHING) {
                finishingSockets += mark - FINISHING;
            } else if (mark != DEAD) {
                others++;
                boolean later = own != null && joinedLater(process, own);
                newer |= later;
                newerServes |= later && mark != STARTING;
            }
        }
        return new ProcessCount(others, newer, newerServes, Math.toIntExact(finishingSockets));
    }

    /**
     * Returns how many bytes the file of a process that lives has. Whose lock can be had is dead, and its file is taken away. One whose file can't be
     * opened may live, and counts as one that says nothing.
     */
    private static long mark(Path process) {
        try (FileChannel file = FileChannel.open(process, StandardOpenOption.WRITE)) {
            if (file.tryLock() == null) {
                return file.size();
            }
            Files.deleteIfExists(process);
            return DEAD;
        } catch (NoSuchFileException e) {
            return DEAD;
        } catch (OverlappingFileLockException e) {
            // In this very process: two proxies of a test.
            return size(process);
        } catch (IOException e) {
            return SILENT;
        }
    }

    private static long size(Path process) {
        try {
            return Files.size(process);
        } catch (IOException e) {
            return SILENT;
        }
    }

    /** Leaves: the others see that at their next look. */
    void leave() throws IOException {
        if (locked != null) {
            locked.close();
            Files.deleteIfExists(own);
        }
    }
}
