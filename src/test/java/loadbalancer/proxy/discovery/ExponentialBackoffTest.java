package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ExponentialBackoffTest {
    private static long[] pauses(ExponentialBackoff backoff) {
        return LongStream.range(0, 6).map(i -> backoff.recordFailure()).toArray();
    }

    @Test
    void doublesPauseFromSecondFailureUpToMaximum() {
        assertArrayEquals(
                new long[] {0, 20, 40, 80, 100, 100}, pauses(new ExponentialBackoff(20, 100, bound -> bound - 1)));
        assertArrayEquals(new long[] {0, 10, 20, 40, 50, 50}, pauses(new ExponentialBackoff(20, 100, bound -> 0)));
    }

    @Test
    void returnsNoPauseAfterReset() {
        ExponentialBackoff backoff = new ExponentialBackoff(20, 100, bound -> 0);
        pauses(backoff);
        backoff.reset();
        assertEquals(0, backoff.consecutiveFailures());
        assertEquals(0, backoff.recordFailure());
    }
}
