package loadbalancer.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code fleet-cost}: measures by sidecars and by servers what a fleet costs, and writes it as CSV. A benchmark, no
 * test.
 */
@Command(
        name = "fleet-cost",
        mixinStandardHelpOptions = true,
        description = "Measures what the module and simulated fleets of several sizes cost; writes CSV.")
public final class FleetCostCommand implements Callable<Integer> {
    @Option(
            names = "--quick",
            description = "Fleets of at most 100 sidecars, under a minute; else up to 2,400, under five.")
    private boolean quick;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            defaultValue = "target/scale.csv",
            description = "Where the CSV goes (default: ${DEFAULT-VALUE}).")
    private Path out;

    private static FleetShape shape(int sidecars, int servers, double unevenness) {
        return new FleetShape(sidecars, servers, 0.6, unevenness, 4_600_000, 0, 1);
    }

    /** 0, or 1 where the file can't be written; the command line's own errors are 2. */
    @Override
    public Integer call() {
        CsvRows rows = new CsvRows();
        int[][] alone = quick
                ? new int[][] {{100, 200}, {2400, 200}, {2400, 2400}}
                : new int[][] {
                    {50, 100},
                    {100, 200},
                    {300, 300},
                    {600, 600},
                    {1200, 1200},
                    {2400, 100},
                    {2400, 200},
                    {2400, 600},
                    {2400, 1200},
                    {2400, 2400}
                };
        for (int[] size : alone) {
            told("module", size);
            module(shape(size[0], size[1], 1), rows);
        }
        int[][] fleets = quick
                ? new int[][] {{50, 100}, {100, 200}}
                : new int[][] {{50, 100}, {100, 200}, {300, 300}, {600, 600}, {1200, 600}, {2400, 600}};
        for (int[] size : fleets) {
            told("fleet", size);
            new FleetCosts(shape(size[0], size[1], 4), rows).measure();
        }
        try {
            Files.writeString(out, rows.csv());
        } catch (IOException e) {
            System.err.println("can't write " + out + ": " + e);
            return 1;
        }
        System.out.print(rows.csv());
        return 0;
    }

    private static void told(String what, int[] size) {
        System.err.println(what + " of " + size[0] + " sidecars, " + size[1] + " servers ...");
    }

    private static void module(FleetShape shape, CsvRows rows) {
        PolicyCosts costs = new PolicyCosts(shape.sidecars(), shape.servers());
        double clock = costs.clockUs();
        rows.add("heap of one module", shape, costs.heapBytes() / 1024.0, "KB", "module");
        rows.add("request", shape, costs.requestUs() - clock, "us", "module");
        rows.add("request with a re-solve", shape, costs.resolveUs() - clock, "us", "module");
        rows.add("outcome", shape, costs.outcomeUs() - clock, "us", "module");
        rows.add("peer word", shape, costs.wordUs() - clock, "us", "module");
        rows.add("delta of one entry", shape, costs.deltaUs() - clock, "us", "module");
        rows.add("new settings read and in force", shape, costs.settingsUs() - clock, "us", "module");
        rows.add("whole list", shape, costs.wholeListUs() - clock, "us", "module");
    }
}
