package loadbalancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Packages have no cyclic dependencies, and the decision module does not depend on input or output. */
class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("loadbalancer");

    /** Guards against an import that finds no classes, because then every rule would pass. */
    @Test
    void importsProductionClasses() {
        assertTrue(CLASSES.contain(Main.class), "Main");
        assertTrue(CLASSES.size() > 80, CLASSES.size() + " classes");
    }

    @Test
    void hasNoCyclesBetweenPackages() {
        check(SlicesRuleDefinition.slices()
                .matching("loadbalancer.(**)")
                .should()
                .beFreeOfCycles());
    }

    @Test
    void restrictsDecisionsToSettingsAndBasicJavaClasses() {
        check(noClasses()
                .that()
                .resideInAPackage("loadbalancer.decision..")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "loadbalancer.decision..",
                        "loadbalancer.settings..",
                        "java.lang..",
                        "java.util..",
                        "java.nio"));
    }

    @Test
    void keepsDecisionsFreeOfThreadsClocksAndSockets() {
        check(noClasses()
                .that()
                .resideInAPackage("loadbalancer.decision..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.util.concurrent..", "java.net..", "java.io..", "java.nio.file..", "java.time..")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, Runtime.class, Process.class)
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis"));
    }

    @Test
    void keepsServingCodeFreeOfSimulatorAndSimulation() {
        check(noClasses()
                .that()
                .resideInAnyPackage(
                        "loadbalancer.proxy..",
                        "loadbalancer.decision..",
                        "loadbalancer.settings..",
                        "loadbalancer.input..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("loadbalancer.simulator..", "loadbalancer.simulation..", "loadbalancer.soak.."));
    }

    /** A fault of the sidecar's code must not hide itself in the code that checks it. */
    @Test
    void keepsSoakFreeOfSidecarCode() {
        check(noClasses()
                .that()
                .resideInAPackage("loadbalancer.soak..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "loadbalancer.proxy..",
                        "loadbalancer.decision..",
                        "loadbalancer.settings..",
                        "loadbalancer.input..",
                        "loadbalancer.simulator..",
                        "loadbalancer.simulation.."));
    }

    @Test
    void allowsNettyOnlyInProxyAndSoak() {
        check(noClasses()
                .that()
                .resideOutsideOfPackages("loadbalancer.proxy..", "loadbalancer.soak..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("io.netty.."));
    }

    /**
     * The benchmark and the operators read this list; a file that is missing from it is not counted as decision code.
     */
    @Test
    void listsSourceFilesInDeployFile() throws Exception {
        Path decisionFolder = Path.of("src/main/java/loadbalancer/decision");
        String expected;
        try (Stream<Path> files = Files.list(decisionFolder)) {
            expected = files.map(file -> "\"" + file.toString().replace('\\', '/') + "\"")
                    .sorted()
                    .collect(Collectors.joining(", ", "policy = [", "]"));
        }
        String deployFile = Files.readString(Path.of("deploy/balancer.toml"));
        assertEquals(
                expected,
                deployFile
                        .lines()
                        .filter(line -> line.startsWith("policy"))
                        .findFirst()
                        .orElse(""));
        assertTrue(deployFile.contains("\"src/main/java/loadbalancer/proxy\""), deployFile);
        assertTrue(Files.isDirectory(Path.of("src/main/java/loadbalancer/proxy")));
    }

    private static void check(ArchRule rule) {
        rule.check(CLASSES);
    }
}
