import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs a case: gives it a temporary folder and a record, ends its processes and turns its result into an exit code. */
final class CaseRun {
    private static final int RULE_HELD = 0;
    private static final int RULE_BROKEN = 1;
    private static final int NOT_RUN = 2;

    /** The part that differs from case to case. */
    @FunctionalInterface
    interface Scenario {
        /**
         * Plays the scenario.
         *
         * @param disturbed whether the disruption is part of the run
         * @return one line for each time that the rule was broken
         */
        List<String> play(boolean disturbed, Path folder, Recorder recorder) throws Exception;
    }

    private CaseRun() {}

    /** @param trouble {@code 0} leaves the disruption out */
    static void main(int caseNumber, String trouble, Scenario scenario) {
        Recorder recorder = new Recorder();
        int exitCode = NOT_RUN;
        try {
            Path folder = Files.createTempDirectory("review-case-");
            List<String> violations = scenario.play(!trouble.equals("0"), folder, recorder);
            violations.forEach(violation -> recorder.announce("RULE BROKEN: %s", violation));
            recorder.announce("rule broken %d times", violations.size());
            exitCode = violations.isEmpty() ? RULE_HELD : RULE_BROKEN;
            delete(folder);
        } catch (Exception | Error e) {
            recorder.announce("the case could not run: %s", e);
        }
        try {
            recorder.write(Path.of("review", Integer.toString(caseNumber), "record.txt"));
        } catch (IOException e) {
            exitCode = NOT_RUN;
        }
        System.exit(exitCode);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
