package grebehoist.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/** A file as it was seen: two of these differ where it was written meanwhile. */
record FileStamp(FileTime written, long size) {
    /** Returns a file's stamp, or null where it can't be seen now: it may be about to be replaced. */
    static FileStamp of(Path file) {
        try {
            var attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new FileStamp(attributes.lastModifiedTime(), attributes.size());
        } catch (IOException e) {
            return null;
        }
    }
}
