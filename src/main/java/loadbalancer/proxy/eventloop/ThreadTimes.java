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

/**
 * Processor time of each thread of this process and its time in the run queue, both in nanoseconds, as Linux accounts
 * for them in {@code /proc/self/task/ID/schedstat}. Where there are no such files nothing is known, and nothing is
 * told. The management beans of the JDK know no run queue, and loading them costs more than a tenth of a start.
 */
final class ThreadTimes {
    private static final File THREADS = new File("/proc/self/task");
    private static final long MILLI = 1_000_000;
    private static final int MOST_TOLD = 6;

    private record Times(long ranNanos, long queuedNanos) {}

    private record Spent(String thread, long ranMs, long queuedMs) {}

    private final Map<String, Times> byId = new HashMap<>();
    /** A thread's name is read once: threads do not change theirs. */
    private final Map<String, String> names;

    private ThreadTimes(Map<String, String> names) {
        this.names = names;
    }

    static ThreadTimes read() {
        return read(new HashMap<>());
    }

    /** The figures of now; names that are known already are not read again. */
    ThreadTimes again() {
        return read(names);
    }

    private static ThreadTimes read(Map<String, String> names) {
        ThreadTimes all = new ThreadTimes(names);
        String[] ids = THREADS.list();
        if (ids == null) {
            return all;
        }
        for (String id : ids) {
            try {
                String[] figures = text(id, "schedstat").split(" ");
                all.byId.put(id, new Times(Long.parseLong(figures[0]), Long.parseLong(figures[1])));
                if (!names.containsKey(id)) {
                    names.put(id, text(id, "comm"));
                }
            } catch (IOException | RuntimeException e) {
                // A thread that has just ended.
                all.byId.remove(id);
            }
        }
        names.keySet().retainAll(all.byId.keySet());
        return all;
    }

    private static String text(String id, String file) throws IOException {
        try (FileInputStream in = new FileInputStream(new File(new File(THREADS, id), file))) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII).trim();
        }
    }

    /** What the threads that did most have done since {@code before}; never empty. */
    String since(ThreadTimes before) {
        List<Spent> spent = new ArrayList<>();
        byId.forEach((id, now) -> {
            Times then = before.byId.getOrDefault(id, new Times(0, 0));
            spent.add(new Spent(
                    names.get(id),
                    (now.ranNanos - then.ranNanos) / MILLI,
                    (now.queuedNanos - then.queuedNanos) / MILLI));
        });
        spent.removeIf(s -> s.ranMs + s.queuedMs == 0);
        if (spent.isEmpty()) {
            return "no thread did anything";
        }
        spent.sort(Comparator.comparingLong((Spent s) -> s.ranMs + s.queuedMs).reversed());
        StringBuilder text = new StringBuilder();
        for (Spent s : spent.subList(0, Math.min(MOST_TOLD, spent.size()))) {
            text.append(text.length() == 0 ? "" : ", ")
                    .append(s.thread)
                    .append(" ran ")
                    .append(s.ranMs)
                    .append(" ms and waited ")
                    .append(s.queuedMs)
                    .append(" for a processor");
        }
        return text.toString();
    }
}
