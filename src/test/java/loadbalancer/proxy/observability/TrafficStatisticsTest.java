package loadbalancer.proxy.observability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TrafficStatisticsTest {
    @Test
    void countsByRequestClassAndResetsTotals() {
        TrafficStatistics statistics = new TrafficStatistics();
        assertEquals(null, statistics.summarizeAndReset(0, 0, 0));
        statistics.requestAccepted("a");
        statistics.requestServed("a");
        statistics.requestAccepted("b");
        statistics.requestAccepted("b");
        statistics.requestRejected("b");
        String line = statistics.summarizeAndReset(1, 0, 0);
        assertTrue(
                line.startsWith("totals class=a accepted=1 served=1 rejected=0"
                        + " class=b accepted=2 served=0 rejected=1 failed=0 "),
                line);
        assertEquals(null, statistics.summarizeAndReset(0, 0, 0));
    }
}
