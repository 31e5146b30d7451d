package loadbalancer.proxy.protocol;

import loadbalancer.decision.LoadReport;
import loadbalancer.input.LoadReportFields;

/** Reads a load report of the form {@code TEXT inflight=7, queue=2, util=0.61}. Stateless. */
public final class LoadReportParser {
    private static final String PREFIX = "TEXT ";
    /** Far above any real value. A greater one, if accepted, would keep its endpoint out of use permanently. */
    private static final double MAX_VALUE = 10_000;

    private LoadReportParser() {}

    /** Returns the report, or null if {@code text} is null or malformed. */
    public static LoadReport parse(String text) {
        if (text == null || !text.startsWith(PREFIX)) {
            return null;
        }
        LoadReportFields fields = new LoadReportFields();
        for (String pair : text.substring(PREFIX.length()).split(",")) {
            int equals = pair.indexOf('=');
            double value = equals < 0 ? Double.NaN : parseValue(pair.substring(equals + 1));
            if (Double.isNaN(value)) {
                return null;
            }
            fields.put(pair.substring(0, equals).trim(), value);
        }
        return fields.report();
    }

    /** Returns the value, or NaN if it is not a number or out of range. */
    private static double parseValue(String text) {
        try {
            double value = Double.parseDouble(text.trim());
            return value >= 0 && value <= MAX_VALUE ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
