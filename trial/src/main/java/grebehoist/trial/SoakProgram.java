package grebehoist.trial;

import java.nio.file.Path;

/**
 * What a soak plays.
 *
 * @param jar the program
 * @param overrides classes that take the place of the jar's, or null: a program with a defect, which tests the oracle
 */
record SoakProgram(Path jar, Path overrides) {
    SoakProgram(Path jar) {
        this(jar, null);
    }
}
