package grebehoist.engine;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Decisions know nothing of the engine, the engine nothing of any protocol, and neither reads a clock or a socket. */
class LayersTest {
    private static final JavaClasses CORE = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("beechfall", "grebehoist");

    @Test
    void theDecisionModuleStandsAlone() {
        classes()
                .that()
                .resideInAPackage("beechfall..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("beechfall..", "java.lang..", "java.util", "java.util.function", "java.util.stream")
                .check(CORE);
    }

    @Test
    void theEngineKnowsTheModuleAlone() {
        classes()
                .that()
                .resideInAPackage("grebehoist.engine..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("grebehoist.engine..", "beechfall..", "java.lang..", "java.util..")
                .check(CORE);
    }

    @Test
    void nobodyReadsAClockOrStartsAThread() {
        noClasses()
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class)
                .check(CORE);
    }
}
