package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.DISCOVERY_TIMER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that discovery is polled at the start, and again with backoff after failed calls. */
class DiscoveryPollerTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);

    @Test
    void pollsAtStartAndAgainAfterFailure() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.polledDiscovery = true;
        fixture.start();
        assertEquals(1, fixture.discoveryPollCount());
        fixture.receiveEndpointList(EndpointListType.FAILED);
        assertEquals(1, fixture.timerDelaysMicros(DISCOVERY_TIMER).size());
        fixture.advanceMicros(2_000_000).fireTimer(DISCOVERY_TIMER);
        assertEquals(2, fixture.discoveryPollCount());
        fixture.receiveEndpointList(EndpointListType.FULL, A);
        fixture.fireTimer(DISCOVERY_TIMER);
        assertEquals(2, fixture.discoveryPollCount());
    }

    @Test
    void pollsAfterFailureOnceSettingsAskForPolling() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.start().receiveFullSnapshot(A);
        assertEquals(0, fixture.discoveryPollCount());
        PolicyFixture polledFixture = new PolicyFixture();
        polledFixture.polledDiscovery = true;
        fixture.applySettings(polledFixture.start().settings());
        fixture.receiveEndpointList(EndpointListType.FAILED);
        fixture.advanceMicros(2_000_000).fireTimer(DISCOVERY_TIMER);
        assertEquals(1, fixture.discoveryPollCount());
    }

    /**
     * A backoff that grows without limit would delay the first call after discovery recovers; one that is too short
     * would flood discovery with calls.
     */
    @Test
    void keepsBackoffWithinBoundsDuringLongOutage() {
        keepsBackoffWithinBounds(10_000_000, 250_000);
    }

    /** A setting that is missing or very short must not make the sidecar poll without a pause. */
    @Test
    void pausesBetweenPollsWithoutPollInterval() {
        keepsBackoffWithinBounds(0, 250_000);
        keepsBackoffWithinBounds(1, 100_000);
    }

    private static void keepsBackoffWithinBounds(long pollIntervalMicros, long minDelayMicros) {
        for (int seed = 0; seed < 20; seed++) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.polledDiscovery = true;
            fixture.pollIntervalMicros = pollIntervalMicros;
            fixture.seed = seed;
            fixture.start();
            for (int failures = 0; failures < 30; failures++) {
                fixture.clearActions();
                fixture.receiveEndpointList(EndpointListType.FAILED);
                long delayMicros = fixture.timerDelaysMicros(DISCOVERY_TIMER).get(0);
                assertTrue(
                        delayMicros >= minDelayMicros && delayMicros <= 1_500_000,
                        "delay before the next poll: " + delayMicros + " us");
                fixture.advanceMicros(delayMicros).fireTimer(DISCOVERY_TIMER);
                assertEquals(1, fixture.discoveryPollCount());
            }
        }
    }
}
