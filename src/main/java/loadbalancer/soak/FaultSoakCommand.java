package loadbalancer.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command {@code fault-soak}. Plays one run for each seed and prints the broken rules. */
@Command(
        name = "fault-soak",
        mixinStandardHelpOptions = true,
        description = "Starts sidecars on loopback addresses, injects faults drawn from seeds, and checks the rules.")
public final class FaultSoakCommand implements Callable<Integer> {
    private static final int EXIT_OK = 0;
    private static final int EXIT_RULE_BROKEN = 1;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "N|N-M",
            defaultValue = "1-10",
            description = "Seeds, one run for each (default: ${DEFAULT-VALUE}).")
    private String seeds;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "20",
            description = "For how long each run injects faults (default: ${DEFAULT-VALUE}).")
    private long seconds;

    @Option(
            names = "--parallel",
            paramLabel = "N",
            defaultValue = "2",
            description = "Number of runs at the same time (default: ${DEFAULT-VALUE}).")
    private int parallel;

    /** Plays the runs. Returns 1 if a rule was broken, otherwise 0. */
    @Override
    public Integer call() throws Exception {
        List<Long> seedList = parseSeeds();
        // A soak that is ended early must not leave its sidecars behind.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> ProcessHandle.current().descendants().forEach(ProcessHandle::destroyForcibly)));
        Path folder = Files.createTempDirectory("fault-shim");
        FaultShim shim = FaultShim.compile(folder).orElse(null);
        ExecutorService executor = Executors.newFixedThreadPool(parallel);
        try {
            List<Future<SoakRun.Result>> runs = new ArrayList<>();
            for (long seed : seedList) {
                runs.add(executor.submit(() -> new SoakRun(seed, seconds * 1_000_000, shim).play()));
            }
            return print(runs);
        } finally {
            executor.shutdownNow();
            SoakRun.deleteFolder(folder);
        }
    }

    private int print(List<Future<SoakRun.Result>> runs) throws Exception {
        int failed = 0;
        for (Future<SoakRun.Result> run : runs) {
            SoakRun.Result result = run.get();
            System.out.println(SoakReport.summary(result));
            if (!result.violations().isEmpty()) {
                failed++;
                System.out.print(SoakReport.details(result, seconds));
            }
        }
        System.out.println(runs.size() + " runs, " + failed + " with broken rules");
        return failed == 0 ? EXIT_OK : EXIT_RULE_BROKEN;
    }

    private List<Long> parseSeeds() {
        try {
            int dash = seeds.indexOf('-');
            long first = Long.parseLong(dash < 0 ? seeds : seeds.substring(0, dash));
            long last = dash < 0 ? first : Long.parseLong(seeds.substring(dash + 1));
            List<Long> parsed = new ArrayList<>();
            for (long seed = first; seed <= last; seed++) {
                parsed.add(seed);
            }
            return parsed;
        } catch (NumberFormatException e) {
            throw new ParameterException(spec.commandLine(), "--seeds must be a number or a range, as in 1-50");
        }
    }
}
