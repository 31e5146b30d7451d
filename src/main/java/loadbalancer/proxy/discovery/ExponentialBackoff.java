package loadbalancer.proxy.discovery;

import java.util.function.LongUnaryOperator;

/**
 * How long to pause after a failed call: not at all after the first, as what is asked again at once is missed by
 * nobody; then ever longer, and jittered, as a service that is down fails all who ask it together.
 */
public final class ExponentialBackoff {
    private final long leastUs;
    private final long mostUs;
    /** A random number from 0 up to, not including, the one given. */
    private final LongUnaryOperator random;

    private int failures;

    ExponentialBackoff(long leastUs, long mostUs, LongUnaryOperator random) {
        this.leastUs = leastUs;
        this.mostUs = mostUs;
        this.random = random;
    }

    /** One more call has failed: the pause before the next. */
    long failed() {
        failures++;
        if (failures == 1) {
            return 0;
        }
        long longest = Math.min(mostUs, leastUs << Math.min(failures - 2, 20));
        return longest / 2 + random.applyAsLong(longest / 2 + 1);
    }

    /** How many have failed since the last that did not. */
    int failures() {
        return failures;
    }

    void succeeded() {
        failures = 0;
    }
}
