package grebehoist.operations;

import grebehoist.members.DrainNews;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What each process of one proxy has been told of backends that drain or are gone: a file for each process, with a line for each backend, its id in
 * Base64 and when that was told by the clock of the machine, in milliseconds. A file is replaced as a whole, so that none is read half-written. Used by
 * one thread.
 */
final class DrainFiles {
    private static final String BEING_WRITTEN = "new-";

    private final StateFiles files;
    private final String own =
            StateFiles.DRAINS + ProcessHandle.current().pid() + "-" + Long.toHexString(System.nanoTime());

    DrainFiles(StateFiles files) {
        this.files = files;
    }

    /** Writes what this process has been told, by backend. */
    void write(Map<String, Long> told) throws IOException {
        var text = new StringBuilder();
        told.forEach((id, at) -> text.append(Base64.getUrlEncoder().encodeToString(id.getBytes(StandardCharsets.UTF_8)))
                .append(' ')
                .append(at)
                .append('\n'));
        Path written = files.resolve(BEING_WRITTEN + own);
        Files.writeString(written, text);
        Files.move(written, files.resolve(own), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Returns what other processes have been told within the time for which that is kept; a file with nothing of that is taken away. */
    Map<String, Long> readOthers(List<Path> drains, long nowMs) throws IOException {
        var all = new HashMap<String, Long>();
        for (Path file : drains) {
            if (!file.getFileName().toString().equals(own)) {
                Map<String, Long> told = read(file, nowMs);
                if (told.isEmpty()) {
                    Files.deleteIfExists(file);
                }
                told.forEach((id, at) -> all.merge(id, at, Math::max));
            }
        }
        return Map.copyOf(all);
    }

    private static Map<String, Long> read(Path file, long nowMs) throws IOException {
        var told = new HashMap<String, Long>();
        try {
            for (String line : Files.readAllLines(file)) {
                String[] parts = line.split(" ", -1);
                long at = Long.parseLong(parts[1]);
                if (at <= nowMs && nowMs - at < DrainNews.KEPT_MS) {
                    told.put(new String(Base64.getUrlDecoder().decode(parts[0]), StandardCharsets.UTF_8), at);
                }
            }
        } catch (NoSuchFileException e) {
            return Map.of();
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            // Written by nobody who takes part.
            return Map.of();
        }
        return told;
    }

    /** Takes this process's file away. */
    void leave() throws IOException {
        Files.deleteIfExists(files.resolve(own));
    }
}
