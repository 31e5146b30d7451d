package loadbalancer.proxy.protocol;

import loadbalancer.decision.LoadReport;
import loadbalancer.input.LoadReportBuilder;

/** Parses load reports of the form {@code TEXT inflight=7, queue=2, util=0.61}. Stateless. */
public final class LoadReportParser {
    private static final String PREFIX = "TEXT ";
    /**
     * Far above any real value. If a greater value were accepted, the endpoint that reports it would never be used
     * again.
     */
    private static final double MAX_VALUE = 10_000;

    private LoadReportParser() {}

    /** Returns the load report, or null if {@code text} is null or malformed. */
    public static LoadReport parse(String text) {
        if (text == null || !text.startsWith(PREFIX)) {
            return null;
        }
        LoadReportBuilder builder = new LoadReportBuilder();
        for (String pair : text.substring(PREFIX.length()).split(",")) {
            int equalsIndex = pair.indexOf('=');
            double value = equalsIndex < 0 ? Double.NaN : parseValue(pair.substring(equalsIndex + 1));
            if (Double.isNaN(value)) {
                return null;
            }
            builder.set(pair.substring(0, equalsIndex).trim(), value);
        }
        return builder.build();
    }

    /** Returns the value, or NaN if {@code text} is not a number from 0 to {@link #MAX_VALUE}. */
    private static double parseValue(String text) {
        try {
            double value = Double.parseDouble(text.trim());
            return value >= 0 && value <= MAX_VALUE ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
