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
 * The command {@code fleet-cost}: measures what decision modules and simulated fleets of several sizes cost and writes
 * the values as CSV. A benchmark: the values depend on the machine and are not checked.
 */
@Command(
        name = "fleet-cost",
        mixinStandardHelpOptions = true,
        description = "Measures what the module and simulated fleets of several sizes cost; writes CSV.")
public final class FleetCostCommand implements Callable<Integer> {
    private static final int EXIT_OK = 0;
    private static final int EXIT_CANNOT_WRITE = 1;

    private static final double UTILIZATION = 0.6;
    private static final long MAX_NOTIFICATION_DELAY_MICROS = 4_600_000;
    /** Unevenness of the fleet around a module that is measured alone: all sidecars alike. */
    private static final double MODULE_UNEVENNESS = 1;

    private static final double FLEET_UNEVENNESS = 4;

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
            description = "Fleets of at most 100 sidecars, under a minute; else up to 2,400, under five.")
    private boolean quick;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            defaultValue = "target/scale.csv",
            description = "Where the CSV goes (default: ${DEFAULT-VALUE}).")
    private Path out;

    private record Size(int sidecarCount, int endpointCount) {
        FleetShape shape(double unevenness) {
            return new FleetShape(
                    sidecarCount, endpointCount, UTILIZATION, unevenness, MAX_NOTIFICATION_DELAY_MICROS, 0, 1);
        }
    }

    /** Measures and writes. Returns the exit status: 0, or 1 if the file can't be written. */
    @Override
    public Integer call() {
        CsvRows rows = new CsvRows();
        for (Size size : quick ? QUICK_MODULE_SIZES : MODULE_SIZES) {
            printProgress("module", size);
            measureModule(size.shape(MODULE_UNEVENNESS), rows);
        }
        for (Size size : quick ? QUICK_FLEET_SIZES : FLEET_SIZES) {
            printProgress("fleet", size);
            new FleetCosts(size.shape(FLEET_UNEVENNESS), rows).measure();
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

    private static void printProgress(String what, Size size) {
        System.err.println(what + " of " + size.sidecarCount + " sidecars, " + size.endpointCount + " servers ...");
    }

    private static void measureModule(FleetShape shape, CsvRows rows) {
        PolicyCosts costs = new PolicyCosts(shape.sidecarCount(), shape.endpointCount());
        double clockMicros = costs.clockMicros();
        rows.add("heap of one module", shape, costs.heapBytes() / 1024.0, "KB", Source.MODULE);
        rows.add("request", shape, costs.requestMicros() - clockMicros, "us", Source.MODULE);
        rows.add("request with a re-solve", shape, costs.resolveMicros() - clockMicros, "us", Source.MODULE);
        rows.add("outcome", shape, costs.outcomeMicros() - clockMicros, "us", Source.MODULE);
        rows.add("peer word", shape, costs.gossipMicros() - clockMicros, "us", Source.MODULE);
        rows.add("delta of one entry", shape, costs.deltaMicros() - clockMicros, "us", Source.MODULE);
        rows.add("new settings read and in force", shape, costs.settingsMicros() - clockMicros, "us", Source.MODULE);
        rows.add("whole list", shape, costs.fullListMicros() - clockMicros, "us", Source.MODULE);
    }
}
