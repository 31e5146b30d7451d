package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Measured values as CSV, one row each, in the order in which they were added. */
final class CsvRows {
    private static final String HEADER = "measure,sidecars,servers,value,unit,how";

    private final List<String> rows = new ArrayList<>();

    /** What a value was measured on. */
    enum Source {
        /** A real decision module alone. */
        MODULE("module"),
        /** A simulated fleet. */
        FLEET("model");

        private final String csvName;

        Source(String csvName) {
            this.csvName = csvName;
        }
    }

    void add(String measure, FleetShape shape, double value, String unit, Source source) {
        rows.add(String.format(
                Locale.ROOT,
                "%s,%d,%d,%.4g,%s,%s",
                measure,
                shape.sidecarCount(),
                shape.endpointCount(),
                value,
                unit,
                source.csvName));
    }

    String csv() {
        return HEADER + "\n" + String.join("\n", rows) + "\n";
    }
}
