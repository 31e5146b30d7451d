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
 * A reading of how long each thread of this process has run and has waited for a processor. Linux reports both times in
 * {@code /proc/self/task/ID/schedstat}; if there are no such files, the reading is empty. The JDK's management beans do
 * not report the waiting time, and loading them takes more than a tenth of the startup time.
 */
final class ThreadTimes {
    private static final File THREAD_DIRECTORY = new File("/proc/self/task");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_DESCRIBED_THREADS = 6;

    /** The times of one thread since it started. */
    private record CpuTimes(long ranNanos, long waitedNanos) {
        static final CpuTimes NONE = new CpuTimes(0, 0);
    }

    /** The times of one thread between two readings. */
    private record Usage(String thread, long ranMillis, long waitedMillis) {
        long totalMillis() {
            return ranMillis + waitedMillis;
        }
    }

    private final Map<String, CpuTimes> timesByThreadId = new HashMap<>();
    /** Thread names by thread id, shared by successive readings because threads do not change their names. */
    private final Map<String, String> namesByThreadId;

    private ThreadTimes(Map<String, String> namesByThreadId) {
        this.namesByThreadId = namesByThreadId;
    }

    /** Reads the current times of all threads. */
    static ThreadTimes read() {
        return read(new HashMap<>());
    }

    /** Reads the current times of all threads, but the names of new threads only. */
    ThreadTimes readAgain() {
        return read(namesByThreadId);
    }

    private static ThreadTimes read(Map<String, String> namesByThreadId) {
        ThreadTimes times = new ThreadTimes(namesByThreadId);
        String[] threadIds = THREAD_DIRECTORY.list();
        if (threadIds == null) {
            return times;
        }
        for (String threadId : threadIds) {
            times.readThread(threadId);
        }
        namesByThreadId.keySet().retainAll(times.timesByThreadId.keySet());
        return times;
    }

    private void readThread(String threadId) {
        try {
            String[] fields = readFile(threadId, "schedstat").split(" ");
            timesByThreadId.put(threadId, new CpuTimes(Long.parseLong(fields[0]), Long.parseLong(fields[1])));
            if (!namesByThreadId.containsKey(threadId)) {
                namesByThreadId.put(threadId, readFile(threadId, "comm"));
            }
        } catch (IOException | NumberFormatException | IndexOutOfBoundsException e) {
            // The thread ended while its files were being read.
            timesByThreadId.remove(threadId);
        }
    }

    private static String readFile(String threadId, String name) throws IOException {
        File file = new File(new File(THREAD_DIRECTORY, threadId), name);
        try (FileInputStream input = new FileInputStream(file)) {
            return new String(input.readAllBytes(), StandardCharsets.US_ASCII).trim();
        }
    }

    /**
     * Returns the threads that ran or waited for the longest time since {@code earlier}, at most
     * {@link #MAX_DESCRIBED_THREADS}, as keys and values for a log line with a space before each key.
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

    /** Returns the threads that ran or waited for at least 1 ms since {@code earlier}, longest total time first. */
    private List<Usage> usagesSince(ThreadTimes earlier) {
        List<Usage> usages = new ArrayList<>();
        timesByThreadId.forEach((threadId, current) -> {
            CpuTimes previous = earlier.timesByThreadId.getOrDefault(threadId, CpuTimes.NONE);
            usages.add(new Usage(
                    namesByThreadId.get(threadId),
                    (current.ranNanos - previous.ranNanos) / NANOS_PER_MILLI,
                    (current.waitedNanos - previous.waitedNanos) / NANOS_PER_MILLI));
        });
        usages.removeIf(usage -> usage.totalMillis() == 0);
        usages.sort(Comparator.comparingLong(Usage::totalMillis).reversed());
        return usages;
    }
}
