package grebehoist.trial;

import java.io.IOException;
import java.nio.file.Path;

/** Gives processes their processor in slices ({@code slices.c}): no stop is long, and together they take most of the time. */
final class ProcessorSlices {
    private final Path program;

    private ProcessorSlices(Path program) {
        this.program = program;
    }

    /** Builds the program in a directory. */
    static ProcessorSlices build(Path directory) throws IOException, InterruptedException {
        return new ProcessorSlices(Compiler.compile("slices.c", directory, directory.resolve("slices")));
    }

    /** Begins to slice a process up; ends by itself. */
    Process begin(long pid, long stopMs, long runMs, long forMs) throws IOException {
        return new ProcessBuilder(
                        program.toString(),
                        Long.toString(pid),
                        Long.toString(stopMs),
                        Long.toString(runMs),
                        Long.toString(forMs))
                .start();
    }
}
