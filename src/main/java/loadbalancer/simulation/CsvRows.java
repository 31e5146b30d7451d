package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was measured, a row each, as CSV. */
final class CsvRows {
    static final String HEAD = "measure,sidecars,servers,value,unit,how";

    private final List<String> rows = new ArrayList<>();

    /** {@code how}: "module" is the real module alone, "model" a simulated fleet. */
    void add(String measure, FleetShape of, double value, String unit, String how) {
        rows.add(String.format(
                Locale.ROOT, "%s,%d,%d,%.4g,%s,%s", measure, of.sidecars(), of.servers(), value, unit, how));
    }

    String csv() {
        return HEAD + "\n" + String.join("\n", rows) + "\n";
    }
}
