package loadbalancer.proxy.observability;

/**
 * Limits how often the log lines of one event are written, and counts the suppressed ones. A caller asks
 * {@link #allowsLine} before it builds a line, and appends {@link #suppressedLines} to it. Not thread-safe.
 */
public final class LogRateLimit {
    private static final long WINDOW_MICROS = 1_000_000;

    private final int maxLinesPerSecond;
    private long windowStartMicros = Long.MIN_VALUE;
    private int linesInWindow;
    private long suppressed;

    public LogRateLimit(int maxLinesPerSecond) {
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /** Returns whether a line may be written now. If so, it counts as written; otherwise it counts as suppressed. */
    public boolean allowsLine(long nowMicros) {
        if (windowStartMicros == Long.MIN_VALUE || nowMicros - windowStartMicros >= WINDOW_MICROS) {
            windowStartMicros = nowMicros;
            linesInWindow = 0;
        }
        if (linesInWindow >= maxLinesPerSecond) {
            suppressed++;
            return false;
        }
        linesInWindow++;
        return true;
    }

    /**
     * Returns the number of lines that were suppressed since the last call, as a key and a value with a leading space;
     * empty if there is none.
     */
    public String suppressedLines() {
        if (suppressed == 0) {
            return "";
        }
        String keyAndValue = " suppressed_lines=" + suppressed;
        suppressed = 0;
        return keyAndValue;
    }
}
