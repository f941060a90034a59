package grebehoist.lab;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

class LayersTest {
    private static final JavaClasses LAB = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("grebehoist.lab");

    /** A model of a fleet needs no socket, and nothing of the daemon. */
    @Test
    void theLaboratoryStandsOnTheCoreAlone() {
        classes()
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "grebehoist.lab..",
                        "grebehoist.engine..",
                        "beechfall..",
                        "java.lang..",
                        "java.util..",
                        "java.io..",
                        "java.nio..",
                        "picocli..",
                        "org.HdrHistogram..",
                        "org.apache.commons.rng..",
                        "com.fasterxml.jackson..")
                .check(LAB);
    }
}
