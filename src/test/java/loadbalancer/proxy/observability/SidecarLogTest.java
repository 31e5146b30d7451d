package loadbalancer.proxy.observability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** If nobody reads the log, lines are dropped and counted, so that logging never blocks its caller. */
@Timeout(60)
class SidecarLogTest {
    private static final String MARKER = "sidecar_log_test line=";

    /** Acts as a pipe that nobody reads: each write blocks until the stream is released. */
    private static final class BlockedStream extends ByteArrayOutputStream {
        final CountDownLatch writeStarted = new CountDownLatch(1);
        final CountDownLatch released = new CountDownLatch(1);

        @Override
        public void write(byte[] bytes, int from, int length) {
            writeStarted.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            super.write(bytes, from, length);
        }

        List<String> markedLines() {
            return toString(StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.contains(MARKER))
                    .toList();
        }
    }

    @Test
    void dropsAndCountsLinesInsteadOfBlocking() throws Exception {
        PrintStream originalErr = System.err;
        BlockedStream pipe = new BlockedStream();
        System.setErr(new PrintStream(pipe, true));
        try {
            SidecarLog.info(MARKER + "first");
            assertTrue(pipe.writeStarted.await(20, TimeUnit.SECONDS));
            int lines = 2 * SidecarLog.MAX_PENDING_LINES;
            for (int i = 0; i < lines; i++) {
                SidecarLog.info(MARKER + i);
            }
            assertEquals(0, pipe.markedLines().size());
            pipe.released.countDown();
            SidecarLog.flush();
            String droppedLine = pipe.toString(StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.contains("log_lines_dropped count="))
                    .findFirst()
                    .orElseThrow();
            int dropped = Integer.parseInt(droppedLine.replace("load-balancer: log_lines_dropped count=", ""));
            // Other code in this process may log too.
            assertTrue(
                    pipe.markedLines().size() <= SidecarLog.MAX_PENDING_LINES + 1,
                    pipe.markedLines().size() + " lines");
            assertTrue(
                    pipe.markedLines().size() + dropped >= lines + 1,
                    pipe.markedLines().size() + " lines, " + droppedLine);
            assertTrue(pipe.markedLines().get(0).endsWith("first"));
        } finally {
            pipe.released.countDown();
            System.setErr(originalErr);
        }
    }

    /** An error while a line is written must not end the log of a process that goes on to serve. */
    @Test
    void continuesAfterErrorInWriter() throws Exception {
        PrintStream originalErr = System.err;
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        PrintStream failingOnce = new PrintStream(written, true) {
            private boolean failed;

            @Override
            public void println(String line) {
                if (!failed) {
                    failed = true;
                    throw new OutOfMemoryError("test");
                }
                super.println(line);
            }
        };
        System.setErr(failingOnce);
        try {
            SidecarLog.info(MARKER + "fails");
            SidecarLog.flush();
            SidecarLog.info(MARKER + "follows");
            SidecarLog.flush();
        } finally {
            System.setErr(originalErr);
        }
        String log = written.toString(StandardCharsets.UTF_8);
        assertTrue(log.contains(MARKER + "follows"), log);
        assertTrue(log.contains("log_lines_dropped count=1"), log);
    }

    @Test
    void quotesValueWithoutInnerQuotesAndLineBreaks() {
        assertEquals("\"a 'b' c d\"", SidecarLog.quote("a \"b\" c\nd"));
        assertEquals("\"null\"", SidecarLog.quote(null));
    }
}
