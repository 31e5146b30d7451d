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

/** The dependencies between packages point one way, and the decision module depends on no input or output. */
class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("loadbalancer");

    /** Also guards against an import that found no classes, on which every rule would hold. */
    @Test
    void theProductionClassesAreFound() {
        assertTrue(CLASSES.contain(Main.class), "Main");
        assertTrue(CLASSES.size() > 80, CLASSES.size() + " classes");
    }

    @Test
    void packagesHaveNoCycles() {
        check(SlicesRuleDefinition.slices()
                .matching("loadbalancer.(**)")
                .should()
                .beFreeOfCycles());
    }

    @Test
    void decisionsDependOnSettingsAlone() {
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
    void decisionsKnowNoThreadClockOrSocket() {
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
    void whatServesDependsOnNeitherSimulatorNorSimulation() {
        check(noClasses()
                .that()
                .resideInAnyPackage(
                        "loadbalancer.proxy..",
                        "loadbalancer.decision..",
                        "loadbalancer.settings..",
                        "loadbalancer.input..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("loadbalancer.simulator..", "loadbalancer.simulation.."));
    }

    @Test
    void onlyTheProxyUsesNetty() {
        check(noClasses()
                .that()
                .resideOutsideOfPackage("loadbalancer.proxy..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("io.netty.."));
    }

    /** The bench and the operators read these names: a file that is missing there is not counted as a decision. */
    @Test
    void theDeployFileNamesTheSources() throws Exception {
        Path decisions = Path.of("src/main/java/loadbalancer/decision");
        String expected;
        try (Stream<Path> files = Files.list(decisions)) {
            expected = files.map(file -> "\"" + file.toString().replace('\\', '/') + "\"")
                    .sorted()
                    .collect(Collectors.joining(", ", "policy = [", "]"));
        }
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        assertEquals(
                expected,
                deploy.lines()
                        .filter(line -> line.startsWith("policy"))
                        .findFirst()
                        .orElse(""));
        assertTrue(deploy.contains("\"src/main/java/loadbalancer/proxy\""), deploy);
        assertTrue(Files.isDirectory(Path.of("src/main/java/loadbalancer/proxy")));
    }

    private static void check(ArchRule rule) {
        rule.check(CLASSES);
    }
}
