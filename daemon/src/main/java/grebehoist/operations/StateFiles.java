package grebehoist.operations;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The files in which the processes of one proxy keep what operators have asked: an empty file for each suspended backend, and one for the
 * drain. Making and deleting a file is atomic, so there is no half-written state, and no process waits for another. Each method is
 * one try, and throws where a system call fails: "can't be read" is never told as "is not there". Used by one thread.
 */
final class StateFiles {
    /** The file that is there while clients are to be sent elsewhere. */
    static final String DRAINED = "drained";
    /** The table of {@link ClaimTable}. */
    static final String CLAIMS = "claims-1";
    /** What the names of processes' files begin with. */
    static final String PROCESS = "process-";

    /** What the names of the files begin with that tell what a process has been told of drains. */
    static final String DRAINS = "drains-";

    private static final String SUSPENDED = "suspended-";
    private static final int LONGEST_NAME = 200;

    /**
     * All that is there.
     *
     * @param suspended the ids of suspended backends
     * @param processes the files of processes, living or dead
     * @param drains what processes, living or dead, have been told of drains
     */
    record Listing(Set<String> suspended, boolean drained, List<Path> processes, List<Path> drains) {}

    private final Path directory;

    /** Makes the directory where there is none. */
    StateFiles(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
    }

    /** Returns the name of a suspension's file, or null where an id is too long for one. */
    static String suspensionOf(String backend) {
        String name = SUSPENDED
                + Base64.getUrlEncoder().withoutPadding().encodeToString(backend.getBytes(StandardCharsets.UTF_8));
        return name.length() > LONGEST_NAME ? null : name;
    }

    /** Returns the backend that a file suspends, or null where somebody else has left it. */
    private static String backendOf(String name) {
        try {
            return new String(
                    Base64.getUrlDecoder().decode(name.substring(SUSPENDED.length())), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    Listing list() throws IOException {
        var suspended = new HashSet<String>();
        boolean drained = false;
        var processes = new ArrayList<Path>();
        var drains = new ArrayList<Path>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (name.equals(DRAINED)) {
                    drained = true;
                } else if (name.startsWith(SUSPENDED)) {
                    suspended.add(backendOf(name));
                } else if (name.startsWith(PROCESS)) {
                    processes.add(file);
                } else if (name.startsWith(DRAINS)) {
                    drains.add(file);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        suspended.remove(null);
        return new Listing(Set.copyOf(suspended), drained, List.copyOf(processes), List.copyOf(drains));
    }

    /** Makes a file; one that is there already is touched, which tells a later request from an earlier one. */
    void make(String name) throws IOException {
        Path file = directory.resolve(name);
        try {
            Files.createFile(file);
        } catch (FileAlreadyExistsException e) {
            Files.setLastModifiedTime(file, FileTime.from(Instant.now()));
        }
    }

    /** Returns when a file was made or touched, or null where there is none. */
    FileTime touched(String name) throws IOException {
        try {
            return Files.getLastModifiedTime(directory.resolve(name));
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    Path resolve(String name) {
        return directory.resolve(name);
    }
}
