package grebehoist.cli;

import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.assignableTo;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.name;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import grebehoist.net.LoopChannels;
import grebehoist.net.LoopTasks;
import io.netty.bootstrap.AbstractBootstrap;
import io.netty.util.concurrent.EventExecutorGroup;
import org.junit.jupiter.api.Test;

/** Arrows point down only: docs/architecture.md has the picture. */
class LayersTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("grebehoist", "beechfall");

    @Test
    void layersPointOneWay() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("decisions")
                .definedBy("beechfall")
                .layer("engine")
                .definedBy("grebehoist.engine")
                .layer("net")
                .definedBy("grebehoist.net")
                .layer("config")
                .definedBy("grebehoist.config")
                .layer("http")
                .definedBy("grebehoist.http")
                .layer("backend")
                .definedBy("grebehoist.backend")
                .layer("thrift")
                .definedBy("grebehoist.thrift")
                .layer("installation")
                .definedBy("grebehoist.installation")
                .layer("discovery")
                .definedBy("grebehoist.discovery")
                .layer("sim")
                .definedBy("grebehoist.sim")
                .layer("members")
                .definedBy("grebehoist.members")
                .layer("operations")
                .definedBy("grebehoist.operations")
                .layer("fleet")
                .definedBy("grebehoist.fleet..")
                .layer("peers")
                .definedBy("grebehoist.peers")
                .layer("tasks")
                .definedBy("grebehoist.tasks")
                .layer("distribution")
                .definedBy("grebehoist.distribution")
                .layer("writer")
                .definedBy("grebehoist.writer")
                .layer("pool")
                .definedBy("grebehoist.pool")
                .layer("testkit")
                .definedBy("grebehoist.testkit")
                .layer("search")
                .definedBy("grebehoist.search")
                .layer("demo")
                .definedBy("grebehoist.demo")
                .layer("cli")
                .definedBy("grebehoist.cli")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("sim")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("demo")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("search")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("testkit")
                .mayOnlyBeAccessedByLayers("search", "demo")
                .whereLayer("operations")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("peers")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("tasks")
                .mayOnlyBeAccessedByLayers("cli", "installation")
                .whereLayer("distribution")
                .mayOnlyBeAccessedByLayers("cli", "writer")
                .whereLayer("writer")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("fleet")
                .mayOnlyBeAccessedByLayers("peers", "tasks", "distribution", "writer", "cli")
                .whereLayer("members")
                .mayOnlyBeAccessedByLayers("operations", "cli")
                .whereLayer("pool")
                .mayOnlyBeAccessedByLayers("cli", "search", "demo")
                .whereLayer("http")
                .mayOnlyBeAccessedByLayers("cli", "pool", "search", "demo")
                .whereLayer("installation")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("backend")
                .mayOnlyBeAccessedByLayers("http", "thrift")
                .whereLayer("thrift")
                .mayOnlyBeAccessedByLayers("cli", "pool", "installation", "search", "demo")
                .whereLayer("discovery")
                .mayOnlyBeAccessedByLayers("cli", "pool")
                .whereLayer("config")
                .mayOnlyBeAccessedByLayers(
                        "installation",
                        "cli",
                        "discovery",
                        "sim",
                        "search",
                        "demo",
                        "operations",
                        "peers",
                        "tasks",
                        "distribution",
                        "writer")
                .whereLayer("net")
                .mayOnlyBeAccessedByLayers(
                        "backend",
                        "thrift",
                        "installation",
                        "cli",
                        "http",
                        "discovery",
                        "config",
                        "pool",
                        "testkit",
                        "search",
                        "demo",
                        "operations",
                        "peers",
                        "tasks",
                        "distribution")
                .whereLayer("engine")
                .mayOnlyBeAccessedByLayers(
                        "backend",
                        "thrift",
                        "cli",
                        "http",
                        "discovery",
                        "net",
                        "pool",
                        "testkit",
                        "search",
                        "demo",
                        "operations",
                        "members",
                        "peers",
                        "tasks",
                        "distribution")
                .check(ALL);
    }

    /**
     * Netty tells of a connect or bind that had no socket on a thread of its own, and its executor ends a periodic task that fails once.
     * So what serves goes through {@link LoopChannels} and {@link LoopTasks}.
     */
    @Test
    void outcomesAndTimersStayOnTheirLoop() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "grebehoist.backend",
                        "grebehoist.http",
                        "grebehoist.thrift",
                        "grebehoist.discovery",
                        "grebehoist.operations",
                        "grebehoist.peers",
                        "grebehoist.tasks",
                        "grebehoist.distribution",
                        "grebehoist.pool",
                        "grebehoist.cli",
                        "grebehoist.net")
                .and()
                .doNotBelongToAnyOf(LoopChannels.class, LoopTasks.class)
                .should()
                .callMethodWhere(target(owner(assignableTo(AbstractBootstrap.class)))
                        .and(target(name("connect").or(name("bind")))))
                .orShould()
                .callMethodWhere(target(owner(assignableTo(EventExecutorGroup.class)))
                        .and(target(nameMatching("scheduleWithFixedDelay|scheduleAtFixedRate|schedule"))))
                .check(ALL);
    }

    @Test
    void noPackageDependsOnItselfThroughOthers() {
        slices().matching("grebehoist.(*)..").should().beFreeOfCycles().check(ALL);
    }
}
