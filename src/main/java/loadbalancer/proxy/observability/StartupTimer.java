package loadbalancer.proxy.observability;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Where the time of a start goes: by phase, in milliseconds that passed and in milliseconds of processor time. */
public final class StartupTimer {
    /** User and system time of the process, in ticks of 10 ms: fields 14 and 15 of {@code proc(5)}'s stat. */
    private static final String ACCOUNT = "/proc/self/stat";

    private static final int USER_FIELD = 11;
    private static final int TICK_MS = 10;

    private final StringBuilder phases = new StringBuilder();
    private long begunNanos = System.nanoTime();
    private long usedMs = processorMs();

    /** What the Java machine itself has used until then; called first thing in {@code main}. */
    public StartupTimer() {
        phases.append("the Java machine used ").append(usedMs).append(" ms");
    }

    public void phaseCompleted(String phase) {
        long now = System.nanoTime();
        long used = processorMs();
        phases.append(", ")
                .append(phase)
                .append(' ')
                .append((now - begunNanos) / 1_000_000)
                .append(" (")
                .append(used - usedMs)
                .append(" used)");
        begunNanos = now;
        usedMs = used;
    }

    @Override
    public String toString() {
        return phases.toString();
    }

    /** Zero where the system has no such account. */
    private static long processorMs() {
        try (FileInputStream in = new FileInputStream(ACCOUNT)) {
            String text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            // The second field, a name in parentheses, may hold blanks itself.
            String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[USER_FIELD + 1])) * TICK_MS;
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }
}
