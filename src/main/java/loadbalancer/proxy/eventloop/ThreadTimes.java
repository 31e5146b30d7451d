package loadbalancer.proxy.eventloop;

import java.io.File;
import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.proxy.observability.SidecarLog;

/**
 * How long each thread of this process has run and has waited for a processor, as Linux reports it in
 * {@code /proc/self/task/ID/schedstat}; empty if there are no such files. The JDK's management beans don't report that
 * wait, and loading them takes more than a tenth of the time of a start.
 */
final class ThreadTimes {
    private static final File THREAD_DIRECTORY = new File("/proc/self/task");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_DESCRIBED_THREADS = 6;

    /** The times of one thread since it started. */
    private record CpuTimes(long ranNanos, long waitedNanos) {
        static final CpuTimes NONE = new CpuTimes(0, 0);
    }

    private record Usage(String thread, long ranMillis, long waitedMillis) {
        long totalMillis() {
            return ranMillis + waitedMillis;
        }
    }

    private final Map<String, CpuTimes> timesById = new HashMap<>();
    /** Thread names by id, shared by successive readings, as threads don't change their names. */
    private final Map<String, String> namesById;

    private ThreadTimes(Map<String, String> namesById) {
        this.namesById = namesById;
    }

    static ThreadTimes read() {
        return read(new HashMap<>());
    }

    /** Reads the current times. The names of known threads are not read again. */
    ThreadTimes readAgain() {
        return read(namesById);
    }

    private static ThreadTimes read(Map<String, String> namesById) {
        ThreadTimes times = new ThreadTimes(namesById);
        String[] threadIds = THREAD_DIRECTORY.list();
        if (threadIds == null) {
            return times;
        }
        for (String threadId : threadIds) {
            times.readThread(threadId);
        }
        namesById.keySet().retainAll(times.timesById.keySet());
        return times;
    }

    private void readThread(String threadId) {
        try {
            String[] fields = readFile(threadId, "schedstat").split(" ");
            timesById.put(threadId, new CpuTimes(Long.parseLong(fields[0]), Long.parseLong(fields[1])));
            if (!namesById.containsKey(threadId)) {
                namesById.put(threadId, readFile(threadId, "comm"));
            }
        } catch (IOException | NumberFormatException | IndexOutOfBoundsException e) {
            // The thread ended while it was being read.
            timesById.remove(threadId);
        }
    }

    private static String readFile(String threadId, String name) throws IOException {
        File file = new File(new File(THREAD_DIRECTORY, threadId), name);
        try (FileInputStream input = new FileInputStream(file)) {
            return new String(input.readAllBytes(), StandardCharsets.US_ASCII).trim();
        }
    }

    /**
     * Describes the threads that ran or waited most since {@code earlier}, as keys and values with a space before each
     * key.
     */
    String describeSince(ThreadTimes earlier) {
        StringBuilder text = new StringBuilder();
        List<Usage> usages = usagesSince(earlier);
        for (Usage usage : usages.subList(0, Math.min(MAX_DESCRIBED_THREADS, usages.size()))) {
            text.append(" thread=")
                    .append(SidecarLog.quote(usage.thread))
                    .append(" ran_millis=")
                    .append(usage.ranMillis)
                    .append(" waited_millis=")
                    .append(usage.waitedMillis);
        }
        return text.toString();
    }

    /** The threads that ran or waited for at least 1 ms since {@code earlier}, the most active first. */
    private List<Usage> usagesSince(ThreadTimes earlier) {
        List<Usage> usages = new ArrayList<>();
        timesById.forEach((threadId, now) -> {
            CpuTimes before = earlier.timesById.getOrDefault(threadId, CpuTimes.NONE);
            usages.add(new Usage(
                    namesById.get(threadId),
                    (now.ranNanos - before.ranNanos) / NANOS_PER_MILLI,
                    (now.waitedNanos - before.waitedNanos) / NANOS_PER_MILLI));
        });
        usages.removeIf(usage -> usage.totalMillis() == 0);
        usages.sort(Comparator.comparingLong(Usage::totalMillis).reversed());
        return usages;
    }
}
