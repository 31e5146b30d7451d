package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.settings.DeduplicationScope;
import loadbalancer.settings.Idempotency;
import org.junit.jupiter.api.Test;

/** Tests which requests may be retried, and on which endpoints. */
class AttemptEligibilityTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    @Test
    void failsNonIdempotentRequestThatMayHaveRun() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.idempotency = Idempotency.NOT_IDEMPOTENT;
        fixture.start().receiveFullSnapshot(A, B).request("r").advanceMicros(10_000);
        fixture.outcome("r", 0, fixture.endpointOf("r", 0), AttemptOutcome.ERROR, 10_000);
        assertEquals(1, fixture.attemptCount("r"));
        assertEquals(1, fixture.failureCount("r"));
        assertTrue(fixture.rejectedRequests().isEmpty());
    }

    @Test
    void retriesNonIdempotentRequestThatCannotHaveRun() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.idempotency = Idempotency.NOT_IDEMPOTENT;
        fixture.start().receiveFullSnapshot(A, B).request("r").advanceMicros(10_000);
        fixture.outcome("r", 0, fixture.endpointOf("r", 0), AttemptOutcome.CONNECT_FAILED, 10_000);
        assertNotNull(fixture.endpointOf("r", 1));
        assertNotEquals(fixture.endpointOf("r", 0), fixture.endpointOf("r", 1));
    }

    @Test
    void sendsRetryWithIdempotencyKeyOnlyToSameZone() {
        for (int seed = 0; seed < 20; seed++) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.seed = seed;
            fixture.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
            fixture.deduplicationScope = DeduplicationScope.ZONE;
            fixture.start()
                    .receiveFullSnapshot(A, B, PolicyFixture.endpoint("c", "zb", 3))
                    .request("r")
                    .advanceMicros(10_000);
            String first = fixture.endpointOf("r", 0);
            fixture.outcome("r", 0, first, AttemptOutcome.RESET, 10_000);
            String second = fixture.endpointOf("r", 1);
            if (second != null) {
                // Endpoint a is the only one in its zone.
                assertEquals(first.equals("a"), second.equals("a"), first + " then " + second);
            }
            assertTrue(fixture.rejectedRequests().isEmpty());
        }
    }

    /** Two endpoints whose cells are unknown may be in different cells, where the key is not recognized. */
    @Test
    void sendsNoRetryToOtherEndpointOfUnknownCell() {
        Endpoint[] endpoints = new Endpoint[4];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = PolicyFixture.endpoint("e" + i, "za", Endpoint.NO_CELL);
        }
        for (int seed = 0; seed < 20; seed++) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.seed = seed;
            fixture.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
            fixture.deduplicationScope = DeduplicationScope.CELL;
            fixture.start().receiveFullSnapshot(endpoints).request("r").advanceMicros(10_000);
            String first = fixture.endpointOf("r", 0);
            fixture.outcome("r", 0, first, AttemptOutcome.ERROR, 10_000);
            String second = fixture.endpointOf("r", 1);
            assertTrue(second == null || second.equals(first), first + " then " + second);
        }
    }

    @Test
    void sendsRetryWithIdempotencyKeyOnlyToSameEndpointIfScopeIsNotStated() {
        for (int seed = 0; seed < 20; seed++) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.seed = seed;
            fixture.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
            fixture.deduplicationScope = DeduplicationScope.UNSTATED;
            fixture.start()
                    .receiveFullSnapshot(
                            PolicyFixture.endpoint("a", "za", 1),
                            PolicyFixture.endpoint("b", "za", 1),
                            PolicyFixture.endpoint("c", "za", 1))
                    .request("r")
                    .advanceMicros(10_000);
            String first = fixture.endpointOf("r", 0);
            fixture.outcome("r", 0, first, AttemptOutcome.ERROR, 10_000);
            String second = fixture.endpointOf("r", 1);
            assertTrue(second == null || second.equals(first), first + " then " + second);
        }
    }

    @Test
    void sendsRetryWithIdempotencyKeyOnlyToSameCellWithinWindow() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
        fixture.deduplicationScope = DeduplicationScope.CELL;
        fixture.start()
                .receiveFullSnapshot(A, B)
                .request("r")
                .advanceMicros(10_000)
                .outcome("r", 0, fixture.endpointOf("r", 0), AttemptOutcome.ERROR, 10_000);
        String second = fixture.endpointOf("r", 1);
        assertTrue(second == null || second.equals(fixture.endpointOf("r", 0)));

        PolicyFixture afterWindow = new PolicyFixture();
        afterWindow.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
        afterWindow.deduplicationWindowMicros = 5_000;
        afterWindow
                .start()
                .receiveFullSnapshot(A, B)
                .request("r")
                .advanceMicros(10_000)
                .outcome("r", 0, afterWindow.endpointOf("r", 0), AttemptOutcome.ERROR, 10_000);
        assertNull(afterWindow.endpointOf("r", 1));
        // An endpoint may have executed the request, and no endpoint would deduplicate a retry any more. It must not be
        // rejected either, because a rejection promises that no endpoint has executed the request.
        assertEquals(1, afterWindow.failureCount("r"));
        assertTrue(afterWindow.rejectedRequests().isEmpty());
    }

    /**
     * A retry must arrive within the deduplication window, and it arrives later than it is sent if it needs a new
     * connection. A retry that is sent within the window but arrives after it could be executed a second time.
     */
    @Test
    void retriesOnlyIfDeduplicationWindowLeavesTimeToConnect() {
        // The retry is sent 10 ms after the first attempt, and the connect timeout is 250 ms.
        for (long windowMicros : new long[] {259_000, 261_000}) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
            fixture.deduplicationWindowMicros = windowMicros;
            fixture.start().receiveFullSnapshot(A, B).request("r").advanceMicros(10_000);
            fixture.outcome("r", 0, fixture.endpointOf("r", 0), AttemptOutcome.ERROR, 10_000);
            assertEquals(
                    windowMicros > 260_000,
                    fixture.endpointOf("r", 1) != null,
                    "deduplication window in microseconds: " + windowMicros);
        }
    }

    @Test
    void limitsNumberOfAttempts() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.maxAttempts = 2;
        fixture.start()
                .receiveFullSnapshot(A, B, PolicyFixture.endpoint("c", "zc", 3))
                .request("r");
        for (int i = 0; i < 2; i++) {
            fixture.advanceMicros(1_000)
                    .outcome("r", i, fixture.endpointOf("r", i), AttemptOutcome.CONNECT_FAILED, 1_000);
        }
        assertEquals(2, fixture.attemptCount("r"));
        assertEquals(1, fixture.rejectionCount("r"));
    }
}
