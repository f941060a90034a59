package grebehoist.trial;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;

/** Builds the C sources among this package's resources with the machine's compiler. */
final class Compiler {
    private Compiler() {}

    /**
     * Builds one.
     *
     * @param name of the resource
     * @param directory where the source is put
     * @param output what is built
     * @param flags of the compiler
     * @return the output
     * @throws IOException if it does not compile
     */
    static Path compile(String name, Path directory, Path output, String... flags)
            throws IOException, InterruptedException {
        Path source = directory.resolve(name);
        try (InputStream text = Compiler.class.getResourceAsStream(name)) {
            Files.copy(text, source, StandardCopyOption.REPLACE_EXISTING);
        }
        var command = new ArrayList<>(List.of("cc", "-O2", "-o", output.toString(), source.toString()));
        command.addAll(List.of(flags));
        Process compiler = new ProcessBuilder(command).redirectErrorStream(true).start();
        String messages = new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (compiler.waitFor() != 0) {
            throw new IOException(name + " does not compile: " + messages);
        }
        return output;
    }
}
