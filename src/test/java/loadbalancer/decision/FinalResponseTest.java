package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.SWEEP_TIMER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.decision.RecordedAction.SentAttempt;
import loadbalancer.settings.DeduplicationScope;
import loadbalancer.settings.Idempotency;
import org.junit.jupiter.api.Test;

/** Tests that a request gets exactly one final response: a forwarded one, a rejection or a failure. */
class FinalResponseTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    @Test
    void rejectsBeforeDeadlineWithoutEndpoints() {
        PolicyFixture fixture = new PolicyFixture().start();
        fixture.request("r");
        for (int i = 0; i < 100; i++) {
            fixture.advanceMicros(5_000).fireTimer(SWEEP_TIMER);
        }
        assertEquals(List.of("r"), fixture.rejectedRequests());
        assertTrue(fixture.failedRequests().isEmpty());
    }

    @Test
    void rejectsAtOnceWhenLittleTimeRemains() {
        PolicyFixture fixture = new PolicyFixture().start();
        fixture.request("r", 3_000);
        assertEquals(1, fixture.rejectionCount("r"));
    }

    @Test
    void failsAfterTimeoutAtDeadline() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
        fixture.deduplicationScope = DeduplicationScope.ZONE;
        fixture.start()
                .receiveFullSnapshot(A)
                .request("r")
                .advanceMicros(800_000)
                .outcome("r", 0, "a", AttemptOutcome.TIMEOUT, 800_000);
        assertEquals(1, fixture.failureCount("r"));
        assertEquals(1, fixture.attemptCount("r"));
    }

    @Test
    void doesNotRetryOrRespondAfterClientHasDisconnected() {
        PolicyFixture fixture = new PolicyFixture().start().receiveFullSnapshot(A, B);
        fixture.request("r");
        fixture.expire("r");
        fixture.advanceMicros(10_000)
                .outcome("r", 0, fixture.endpointOf("r", 0), AttemptOutcome.CONNECT_FAILED, 10_000);
        assertEquals(1, fixture.attemptCount("r"));
        assertTrue(
                fixture.failedRequests().isEmpty() && fixture.rejectedRequests().isEmpty());
    }

    @Test
    void doesNotRetryOrRespondAfterStreamHasStarted() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.streaming = true;
        fixture.start().receiveFullSnapshot(A, B).request("r");
        fixture.streamStart("r", 0, fixture.endpointOf("r", 0), 5_000);
        fixture.outcome(new AttemptResult("r", 0, fixture.endpointOf("r", 0), AttemptOutcome.RESET, 9_000, true, null));
        assertEquals(1, fixture.attemptCount());
        assertTrue(
                fixture.failedRequests().isEmpty() && fixture.rejectedRequests().isEmpty());
    }

    /** A rejection promises that no endpoint has executed the request, so that the client may retry it. */
    @Test
    void rejectsOnlyRequestsThatCannotHaveRun() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {
            AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.REJECTED
        }) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.maxAttempts = 1;
            fixture.start()
                    .receiveFullSnapshot(A, B)
                    .request("r")
                    .advanceMicros(10_000)
                    .outcome("r", 0, fixture.endpointOf("r", 0), outcome, 10_000);
            assertEquals(outcome.mayHaveRun ? 1 : 0, fixture.failureCount("r"), outcome.name());
            assertEquals(outcome.mayHaveRun ? 0 : 1, fixture.rejectionCount("r"), outcome.name());
        }
    }

    /** Every endpoint would refuse an invalid request, so a retry is useless, and no endpoint is ejected for it. */
    @Test
    void failsInvalidRequestWithoutRetry() {
        PolicyFixture fixture = new PolicyFixture().start().receiveFullSnapshot(A, B);
        for (int i = 0; i < 6; i++) {
            fixture.request("r" + i)
                    .outcome("r" + i, 0, fixture.endpointOf("r" + i, 0), AttemptOutcome.INVALID_REQUEST, 1_000);
            assertNull(fixture.endpointOf("r" + i, 1));
        }
        assertEquals(6, fixture.failedRequests().size());
        assertEquals(
                2,
                fixture.sentAttempts().stream()
                        .map(SentAttempt::endpointId)
                        .distinct()
                        .count());
    }
}
