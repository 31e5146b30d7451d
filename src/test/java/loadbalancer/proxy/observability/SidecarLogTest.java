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

@Timeout(60)
class SidecarLogTest {
    private static final String MARK = "a line of LogTest ";

    /** A pipe that nobody reads: its writer stands still, and who logs does not. */
    private static final class Stuck extends ByteArrayOutputStream {
        final CountDownLatch reached = new CountDownLatch(1);
        final CountDownLatch released = new CountDownLatch(1);

        @Override
        public void write(byte[] bytes, int from, int length) {
            reached.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            super.write(bytes, from, length);
        }

        List<String> marked() {
            return toString(StandardCharsets.UTF_8)
                    .lines()
                    .filter(l -> l.contains(MARK))
                    .toList();
        }
    }

    @Test
    void whoLogsNeverWaitsForTheReader() throws Exception {
        PrintStream usual = System.err;
        Stuck pipe = new Stuck();
        System.setErr(new PrintStream(pipe, true));
        try {
            SidecarLog.info(MARK + "first");
            assertTrue(pipe.reached.await(20, TimeUnit.SECONDS));
            int most = 2 * SidecarLog.MOST_WAITING;
            for (int i = 0; i < most; i++) {
                SidecarLog.info(MARK + i);
            }
            assertEquals(0, pipe.marked().size());
            pipe.released.countDown();
            SidecarLog.flush();
            String told = pipe.toString(StandardCharsets.UTF_8)
                    .lines()
                    .filter(l -> l.contains(" lines were dropped"))
                    .findFirst()
                    .orElseThrow();
            int dropped = Integer.parseInt(told.replace("load-balancer: ", "").split(" ")[0]);
            // Others may log in this process too.
            assertTrue(
                    pipe.marked().size() <= SidecarLog.MOST_WAITING + 1,
                    pipe.marked().size() + " lines");
            assertTrue(pipe.marked().size() + dropped >= most + 1, pipe.marked().size() + " lines, " + told);
            assertTrue(pipe.marked().get(0).endsWith("first"));
        } finally {
            pipe.released.countDown();
            System.setErr(usual);
        }
    }
}
