package loadbalancer.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import loadbalancer.soak.History.ProcessorWait;

/**
 * Measures for how long the event loop threads of sidecars are ready to run but get no processor, from the kernel's
 * account in {@code /proc}. On a busy machine this tells a sidecar that is late from one that was not run. Used by one
 * thread at a time.
 */
final class ProcessorWaitMeter {
    private static final String EVENT_LOOP_THREAD = "multiThreadIoEv";
    /** Position of the time spent waiting, in nanoseconds, in a line of {@code schedstat}. */
    private static final int WAIT_FIELD = 1;
    /** A shorter wait is within the slack of the rules. */
    private static final long MIN_WAIT_MICROS = 5_000;

    private final SoakContext context;
    private final Map<Path, Long> waitedMicrosByThread = new HashMap<>();
    private long lastSampleMicros;

    ProcessorWaitMeter(SoakContext context) {
        this.context = context;
    }

    /** Records the waits since the last call. Blocks, so it must not be called on the event loop. */
    void sample(List<SidecarUnderTest> sidecars) {
        long nowMicros = context.clock().nowMicros();
        for (SidecarUnderTest sidecar : sidecars) {
            long waitedMicros = sidecar.isAlive() ? newWaitMicros(sidecar.pid()) : 0;
            if (waitedMicros >= MIN_WAIT_MICROS) {
                ProcessorWait wait =
                        new ProcessorWait(sidecar.processNumber(), lastSampleMicros, nowMicros, waitedMicros);
                context.loop().execute(() -> context.history().processorWaits.add(wait));
            }
        }
        lastSampleMicros = nowMicros;
    }

    /** Returns the longest additional wait of an event loop thread of the process. */
    private long newWaitMicros(long pid) {
        long longestMicros = 0;
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
            for (Path thread : threads.toList()) {
                if (Files.readString(thread.resolve("comm")).startsWith(EVENT_LOOP_THREAD)) {
                    longestMicros = Math.max(longestMicros, newWaitMicros(thread));
                }
            }
        } catch (IOException | UncheckedIOException e) {
            // The process or a thread has ended.
            return longestMicros;
        }
        return longestMicros;
    }

    private long newWaitMicros(Path thread) throws IOException {
        String[] fields = Files.readString(thread.resolve("schedstat")).trim().split(" ");
        long waitedMicros = Long.parseLong(fields[WAIT_FIELD]) / 1_000;
        Long previousMicros = waitedMicrosByThread.put(thread, waitedMicros);
        return waitedMicros - (previousMicros == null ? 0 : previousMicros);
    }
}
