package loadbalancer.proxy.observability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LogRateLimitTest {
    private final LogRateLimit limit = new LogRateLimit(2);

    @Test
    void suppressesAndCountsLinesBeyondLimitOfOneSecond() {
        assertTrue(limit.allowsLine(5));
        assertTrue(limit.allowsLine(5));
        assertEquals("", limit.suppressedLines());
        assertFalse(limit.allowsLine(6));
        assertFalse(limit.allowsLine(1_000_004));
        assertTrue(limit.allowsLine(1_000_005));
        assertEquals(" suppressed_lines=2", limit.suppressedLines());
        assertEquals("", limit.suppressedLines());
    }
}
