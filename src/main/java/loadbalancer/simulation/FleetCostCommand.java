package loadbalancer.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import loadbalancer.simulation.CsvRows.Source;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command {@code fleet-cost}, a benchmark. Measures decision modules and simulated fleets of several sizes and
 * writes the values as CSV. The values depend on the machine and are not checked.
 */
@Command(
        name = "fleet-cost",
        mixinStandardHelpOptions = true,
        description = "Measures the costs of the decision module and of simulated fleets of several sizes; writes CSV.")
public final class FleetCostCommand implements Callable<Integer> {
    private static final int EXIT_OK = 0;
    private static final int EXIT_CANNOT_WRITE = 1;

    private static final double UTILIZATION = 0.6;
    private static final long MAX_NOTIFICATION_DELAY_MICROS = 4_600_000;
    /** For measuring a single module, all sidecars of its fleet have the same request rate. */
    private static final double MODULE_BUSY_RATE_RATIO = 1;

    private static final double FLEET_BUSY_RATE_RATIO = 4;

    private static final List<Size> QUICK_MODULE_SIZES =
            List.of(new Size(100, 200), new Size(2400, 200), new Size(2400, 2400));
    private static final List<Size> MODULE_SIZES = List.of(
            new Size(50, 100),
            new Size(100, 200),
            new Size(300, 300),
            new Size(600, 600),
            new Size(1200, 1200),
            new Size(2400, 100),
            new Size(2400, 200),
            new Size(2400, 600),
            new Size(2400, 1200),
            new Size(2400, 2400));
    private static final List<Size> QUICK_FLEET_SIZES = List.of(new Size(50, 100), new Size(100, 200));
    private static final List<Size> FLEET_SIZES = List.of(
            new Size(50, 100),
            new Size(100, 200),
            new Size(300, 300),
            new Size(600, 600),
            new Size(1200, 600),
            new Size(2400, 600));

    @Option(
            names = "--quick",
            description =
                    "Simulates fleets of at most 100 sidecars, which takes less than a minute. Without this option,"
                            + " fleets of up to 2,400 sidecars are simulated, which takes less than five minutes.")
    private boolean quick;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            defaultValue = "target/scale.csv",
            description = "File to which the CSV is written (default: ${DEFAULT-VALUE}).")
    private Path out;

    private record Size(int sidecarCount, int endpointCount) {
        FleetParameters parameters(double busyRateRatio) {
            return new FleetParameters(
                    sidecarCount, endpointCount, UTILIZATION, busyRateRatio, MAX_NOTIFICATION_DELAY_MICROS, 0, 1);
        }
    }

    /** Measures the costs and writes the CSV. Returns the exit status: 0, or 1 if the file can't be written. */
    @Override
    public Integer call() {
        CsvRows rows = new CsvRows();
        for (Size size : quick ? QUICK_MODULE_SIZES : MODULE_SIZES) {
            printProgress("module", size);
            measureModule(size.parameters(MODULE_BUSY_RATE_RATIO), rows);
        }
        for (Size size : quick ? QUICK_FLEET_SIZES : FLEET_SIZES) {
            printProgress("fleet", size);
            new FleetCosts(size.parameters(FLEET_BUSY_RATE_RATIO), rows).measure();
        }
        try {
            Files.writeString(out, rows.csv());
        } catch (IOException e) {
            System.err.println("can't write " + out + ": " + e);
            return EXIT_CANNOT_WRITE;
        }
        System.out.print(rows.csv());
        return EXIT_OK;
    }

    private static void printProgress(String subject, Size size) {
        System.err.println(subject + " of " + size.sidecarCount + " sidecars, " + size.endpointCount + " servers ...");
    }

    private static void measureModule(FleetParameters parameters, CsvRows rows) {
        PolicyCosts costs = new PolicyCosts(parameters.sidecarCount(), parameters.endpointCount());
        double clockMicros = costs.clockMicros();
        rows.add("heap of one module", parameters, costs.heapBytes() / 1024.0, "KB", Source.MODULE);
        rows.add("request", parameters, costs.requestMicros() - clockMicros, "us", Source.MODULE);
        rows.add(
                "request with a re-solve",
                parameters,
                costs.requestWithRecomputeMicros() - clockMicros,
                "us",
                Source.MODULE);
        rows.add("outcome", parameters, costs.outcomeMicros() - clockMicros, "us", Source.MODULE);
        rows.add("peer word", parameters, costs.gossipMicros() - clockMicros, "us", Source.MODULE);
        rows.add("delta of one entry", parameters, costs.deltaMicros() - clockMicros, "us", Source.MODULE);
        rows.add(
                "new settings read and in force",
                parameters,
                costs.settingsMicros() - clockMicros,
                "us",
                Source.MODULE);
        rows.add("whole list", parameters, costs.fullListMicros() - clockMicros, "us", Source.MODULE);
    }
}
