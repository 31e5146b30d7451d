import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The record of a run: one line for each event, with the time since the run began. Thread-safe. */
final class Recorder {
    private static final double NANOS_PER_SECOND = 1e9;

    private final long startNanos = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    /** Returns the seconds since the run began. */
    double nowSeconds() {
        return (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }

    /** Adds a line and prints nothing. */
    synchronized void add(String format, Object... arguments) {
        lines.add(String.format(Locale.ROOT, "%9.4f ", nowSeconds()) + String.format(Locale.ROOT, format, arguments));
    }

    /** Adds a line and also prints it. */
    void announce(String format, Object... arguments) {
        add(format, arguments);
        System.out.printf(Locale.ROOT, format + "%n", arguments);
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
