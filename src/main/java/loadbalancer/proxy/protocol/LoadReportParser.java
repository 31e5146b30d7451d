package loadbalancer.proxy.protocol;

import loadbalancer.decision.LoadReport;
import loadbalancer.input.LoadReportFields;

/** Reads a load report of the form {@code TEXT inflight=7, queue=2, util=0.61}. */
public final class LoadReportParser {
    private static final String PREFIX = "TEXT ";
    /** Far above any real figure; one beyond it, once believed, would keep its endpoint out of use for good. */
    private static final double MAX_VALUE = 10_000;

    private LoadReportParser() {}

    /** The report, or null where {@code text} is null or malformed, which says nothing of the endpoint's load. */
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

    /** The value, or NaN where it is no number or out of range. */
    private static double parseValue(String text) {
        try {
            double value = Double.parseDouble(text.trim());
            return value >= 0 && value <= MAX_VALUE ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
