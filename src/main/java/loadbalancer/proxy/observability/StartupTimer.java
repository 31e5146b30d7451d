package loadbalancer.proxy.observability;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Measures elapsed time and processor time of each startup phase. Processor times are those of the whole process; they
 * are 0 if there is no {@code /proc} file system. Not thread-safe: used only by the thread that starts the sidecar.
 */
public final class StartupTimer {
    private static final String PROCESS_STATISTICS = "/proc/self/stat";
    /**
     * Index of the {@code utime} field among the fields after the process name. The next field is {@code stime}. See
     * {@code proc(5)}.
     */
    private static final int USER_TIME_FIELD = 11;

    /** The unit of these two fields on Linux: {@code 1/sysconf(_SC_CLK_TCK)} seconds. */
    private static final int CLOCK_TICK_MILLIS = 10;

    private final StringBuilder phases = new StringBuilder();
    private long phaseStartNanos = System.nanoTime();
    private long phaseStartCpuMillis = processCpuMillis();

    /** Begins the first phase. Reports the processor time that was used before as {@code jvm_cpu_millis}. */
    public StartupTimer() {
        phases.append("jvm_cpu_millis=").append(phaseStartCpuMillis);
    }

    /**
     * Ends the current phase and begins the next. {@code phase} is the name of the ended phase, in lower snake case,
     * and the prefix of its keys.
     */
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

    /** Returns the phases as keys and values for a log line. */
    public String summary() {
        return phases.toString();
    }

    private static long processCpuMillis() {
        try (FileInputStream input = new FileInputStream(PROCESS_STATISTICS)) {
            String text = new String(input.readAllBytes(), StandardCharsets.US_ASCII);
            // The process name is in parentheses and may contain spaces.
            String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[USER_TIME_FIELD + 1]);
            return ticks * CLOCK_TICK_MILLIS;
        } catch (IOException | NumberFormatException | IndexOutOfBoundsException e) {
            return 0;
        }
    }
}
