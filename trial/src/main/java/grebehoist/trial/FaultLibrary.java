package grebehoist.trial;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.EnumMap;
import java.util.Map;

/**
 * The preloaded library that makes system calls fail ({@code faults.c}), built with the machine's C compiler, and its shared memory
 * with one process: how many faults were injected, and whether any are to be.
 */
final class FaultLibrary {
    /** System calls in the order in which the library counts them. */
    enum SystemCall {
        SOCKET,
        CONNECT,
        BIND,
        LISTEN,
        ACCEPT,
        OPEN,
        CREATE,
        OPENDIR,
        RENAME,
        UNLINK,
        MKDIR,
        WRITE,
        READ,
        FSYNC,
        FTRUNCATE,
        EPOLL_WAIT,
        POLL,
        CLOCK,
        SEND,
        RECEIVE
    }

    private static final int CELL_BYTES = Long.BYTES;

    private final Path library;

    private FaultLibrary(Path library) {
        this.library = library;
    }

    /** Builds it in a directory. */
    static FaultLibrary build(Path directory) throws IOException, InterruptedException {
        Path library = directory.resolve("libfaults.so");
        Compiler.compile("faults.c", directory, library, "-shared", "-fPIC", "-ldl");
        return new FaultLibrary(library);
    }

    /**
     * Has a member's next processes run under a schedule.
     *
     * @param schedule rules as {@code faults.c} describes them
     * @param counts a file that is made for the counters
     */
    Injection inject(Member into, String schedule, long seed, Path counts) throws IOException {
        into.environment("LD_PRELOAD", library.toString());
        into.environment("FAULT_SCHEDULE", schedule);
        into.environment("FAULT_SEED", Long.toString(seed));
        into.environment("FAULT_COUNTS", counts.toString());
        return new Injection(counts);
    }

    /** The memory that is shared with the processes of one member, all of its lives together. */
    static final class Injection {
        private final MappedByteBuffer cells;

        private Injection(Path file) throws IOException {
            int bytes = (SystemCall.values().length + 1) * CELL_BYTES;
            try (FileChannel channel = FileChannel.open(
                    file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
                cells = channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
            }
            cells.order(ByteOrder.nativeOrder());
        }

        /** Injects no faults until {@link #resume}. */
        Injection pause() {
            cells.putLong(SystemCall.values().length * CELL_BYTES, 1);
            return this;
        }

        /** Injects faults as the schedule says. */
        void resume() {
            cells.putLong(SystemCall.values().length * CELL_BYTES, 0);
        }

        /** Returns how many faults of a kind have been injected. */
        long count(SystemCall call) {
            return cells.getLong(call.ordinal() * CELL_BYTES);
        }

        /** Returns all kinds of which any were. */
        Map<SystemCall, Long> counts() {
            var counts = new EnumMap<SystemCall, Long>(SystemCall.class);
            for (SystemCall call : SystemCall.values()) {
                if (count(call) > 0) {
                    counts.put(call, count(call));
                }
            }
            return counts;
        }
    }
}
