package rushproxy.sidecar;

import java.lang.management.ClassLoadingMXBean;
import java.lang.management.CompilationMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.Locale;

/**
 * What the process did while its event loop was late, told apart: collections, compiling, loading of classes, the
 * processor time of the loop and of the whole process, and the longest piece of work by its name. Read with each beat,
 * for a few microseconds; what was added since the beat before is told where that beat is late.
 */
final class Vitals {
    private static final long LATE_US = 100_000;
    /** At most one line in this time: a loop that is late for long would be later by its log. */
    private static final long QUIET_US = 1_000_000;

    private final Clock clock;
    private final List<GarbageCollectorMXBean> collectors = ManagementFactory.getGarbageCollectorMXBeans();
    private final CompilationMXBean compiler = ManagementFactory.getCompilationMXBean();
    private final ClassLoadingMXBean classes = ManagementFactory.getClassLoadingMXBean();
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();
    /** Null before the first beat. */
    private long[] before;
    private String longest = "none";
    private long longestUs;
    private long toldUs;

    Vitals(Clock clock) {
        this.clock = clock;
    }

    /** A piece of work on the loop is done that began then. */
    void did(String what, long sinceUs) {
        long us = clock.now() - sinceUs;
        if (us > longestUs) {
            longestUs = us;
            longest = what;
        }
    }

    /** On the loop, with each beat: null, or a line on what came since the last where that was late. */
    String beat(long lagUs) {
        long[] after = now();
        String line = null;
        if (before != null && lagUs > LATE_US && clock.now() - toldUs > QUIET_US) {
            toldUs = clock.now();
            line = line(lagUs, after);
        }
        before = after;
        longest = "none";
        longestUs = 0;
        return line;
    }

    private String line(long lagUs, long[] after) {
        StringBuilder text = new StringBuilder("the event loop was late by " + lagUs / 1000 + " ms:");
        int i = 0;
        for (GarbageCollectorMXBean c : collectors) {
            text.append(String.format(Locale.ROOT, " %s %d times in %d ms,", c.getName(), after[i] - before[i],
                    after[i + 1] - before[i + 1]));
            i += 2;
        }
        return text.append(String.format(Locale.ROOT, " %d ms of compiling, %d classes loaded, processor time %d ms of the"
                + " loop and %d ms of the process, longest: %s, %d ms", after[i] - before[i], after[i + 1] - before[i + 1],
                (after[i + 2] - before[i + 2]) / 1_000_000, (after[i + 3] - before[i + 3]) / 1_000_000, longest,
                longestUs / 1000)).toString();
    }

    private long[] now() {
        long[] all = new long[2 * collectors.size() + 4];
        int i = 0;
        for (GarbageCollectorMXBean c : collectors) {
            all[i++] = c.getCollectionCount();
            all[i++] = c.getCollectionTime();
        }
        all[i++] = compiler == null ? 0 : compiler.getTotalCompilationTime();
        all[i++] = classes.getTotalLoadedClassCount();
        all[i++] = threads.getCurrentThreadCpuTime();
        all[i] = system instanceof com.sun.management.OperatingSystemMXBean os ? os.getProcessCpuTime() : 0;
        return all;
    }
}
