package grebehoist.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/** The program with one defect: a source file of which one place is changed, compiled against the built jar. */
final class DefectiveProgram {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Path JAR = ROOT.resolve("daemon/target/grebehoist.jar");

    private final Path classes;

    private DefectiveProgram(Path classes) {
        this.classes = classes;
    }

    /** Returns a program without a defect so far, whose changed classes go to a directory. */
    static DefectiveProgram in(Path directory) throws IOException {
        return new DefectiveProgram(Files.createDirectories(directory));
    }

    /**
     * Plants a defect.
     *
     * @param source the source file, from the root of the project
     * @param sound what stands there exactly once
     * @param defective what is to stand there
     */
    DefectiveProgram change(String source, String sound, String defective) throws IOException {
        Path changed = classes.resolve("src").resolve(Path.of(source).getFileName());
        String text = Files.readString(Files.exists(changed) ? changed : ROOT.resolve(source));
        assertThat(text.split(Pattern.quote(sound), -1))
                .as("%s has '%s' once", source, sound)
                .hasSize(2);
        Files.createDirectories(changed.getParent());
        Files.writeString(changed, text.replace(sound, defective));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        var messages = new StringWriter();
        try (StandardJavaFileManager files = compiler.getStandardFileManager(null, null, null)) {
            boolean compiled = compiler.getTask(
                            messages,
                            files,
                            null,
                            List.of("-nowarn", "-cp", classes + ":" + JAR, "-d", classes.toString()),
                            null,
                            files.getJavaFileObjects(changed))
                    .call();
            assertThat(compiled).as(messages.toString()).isTrue();
        }
        return this;
    }

    SoakProgram program() {
        return new SoakProgram(JAR, classes);
    }
}
