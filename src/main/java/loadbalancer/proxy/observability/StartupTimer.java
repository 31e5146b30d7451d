package loadbalancer.proxy.observability;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Measures the phases of a start: elapsed time and processor time of the process. Without Linux' {@code proc} file
 * system all processor times are 0.
 */
public final class StartupTimer {
    private static final String PROCESS_STATISTICS = "/proc/self/stat";
    /** Index of {@code utime} behind the process name; {@code stime} follows. See {@code proc(5)}. */
    private static final int USER_TIME_FIELD = 11;

    private static final int CLOCK_TICK_MILLIS = 10;

    private final StringBuilder phases = new StringBuilder();
    private long phaseStartNanos = System.nanoTime();
    private long phaseStartCpuMillis = processCpuMillis();

    /** Begins the first phase. What the process has used so far is reported as that of the Java virtual machine. */
    public StartupTimer() {
        phases.append("jvm_cpu_millis=").append(phaseStartCpuMillis);
    }

    /** Ends a phase and begins the next; {@code phase} is the prefix of its keys, in lower snake case. */
    public void phaseCompleted(String phase) {
        long nowNanos = System.nanoTime();
        long nowCpuMillis = processCpuMillis();
        phases.append(' ')
                .append(phase)
                .append("_millis=")
                .append((nowNanos - phaseStartNanos) / 1_000_000)
                .append(' ')
                .append(phase)
                .append("_cpu_millis=")
                .append(nowCpuMillis - phaseStartCpuMillis);
        phaseStartNanos = nowNanos;
        phaseStartCpuMillis = nowCpuMillis;
    }

    /** The phases as keys and values for a line of the log. */
    public String summary() {
        return phases.toString();
    }

    private static long processCpuMillis() {
        try (FileInputStream input = new FileInputStream(PROCESS_STATISTICS)) {
            String text = new String(input.readAllBytes(), StandardCharsets.US_ASCII);
            // The process name, in parentheses, may contain blanks.
            String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[USER_TIME_FIELD + 1]);
            return ticks * CLOCK_TICK_MILLIS;
        } catch (IOException | NumberFormatException | IndexOutOfBoundsException e) {
            return 0;
        }
    }
}
