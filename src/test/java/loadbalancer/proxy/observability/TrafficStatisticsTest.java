package loadbalancer.proxy.observability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TrafficStatisticsTest {
    @Test
    void aLineTellsEachClassApartAndBeginsAnewAfterwards() {
        TrafficStatistics totals = new TrafficStatistics();
        assertEquals(null, totals.summary(0, 0, 0));
        totals.requestAccepted("a");
        totals.requestServed("a");
        totals.requestAccepted("b");
        totals.requestAccepted("b");
        totals.requestRejected("b");
        String line = totals.summary(1, 0, 0);
        assertTrue(line.startsWith("a taken 1, served 1, refused 0; b taken 2, served 0, refused 1; failed 0,"), line);
        assertEquals(null, totals.summary(0, 0, 0));
    }
}
