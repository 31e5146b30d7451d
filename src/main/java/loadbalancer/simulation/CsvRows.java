package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Collects measured values and formats them as CSV, with one row per value in the order in which they were added. */
final class CsvRows {
    private static final String HEADER = "measure,sidecars,servers,value,unit,how";

    private final List<String> rows = new ArrayList<>();

    /** The system on which a value was measured. */
    enum Source {
        /** A single real decision module. */
        MODULE("module"),
        /** A simulated fleet. */
        FLEET("model");

        private final String csvName;

        Source(String csvName) {
            this.csvName = csvName;
        }
    }

    void add(String measure, FleetParameters parameters, double value, String unit, Source source) {
        rows.add(String.format(
                Locale.ROOT,
                "%s,%d,%d,%.4g,%s,%s",
                measure,
                parameters.sidecarCount(),
                parameters.endpointCount(),
                value,
                unit,
                source.csvName));
    }

    String csv() {
        return HEADER + "\n" + String.join("\n", rows) + "\n";
    }
}
