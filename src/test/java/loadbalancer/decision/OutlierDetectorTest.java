package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.SWEEP_TIMER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.LoadReporting;
import org.junit.jupiter.api.Test;

/** Tests that failing endpoints are ejected for a time, and that an isolated failure ejects no endpoint. */
class OutlierDetectorTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    /** One request without a response says nothing about an endpoint that has responded to later ones. */
    @Test
    void doesNotEjectRespondingEndpointAfterOneLostRequest() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.loadReporting = LoadReporting.NONE;
        fixture.idempotency = Idempotency.NOT_IDEMPOTENT;
        fixture.start().receiveFullSnapshot(A).request("swallowed");
        for (int i = 0; i < 30; i++) {
            fixture.advanceMicros(1_000).request("n" + i);
            assertEquals("a", fixture.endpointOf("n" + i, 0), "request " + i);
            fixture.advanceMicros(24_000).outcome("n" + i, 0, "a", AttemptOutcome.OK, 24_000);
        }
        fixture.advanceMicros(50_000)
                .outcome("swallowed", 0, "a", AttemptOutcome.TIMEOUT, 800_000)
                .request("r")
                .request("s");
        assertEquals("a", fixture.endpointOf("r", 0));
        assertEquals("a", fixture.endpointOf("s", 0));
    }

    /** An endpoint that does not respond at all counts as stalled; new requests are queued or sent to another one. */
    @Test
    void sendsNoFurtherRequestToStalledEndpoint() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.loadReporting = LoadReporting.NONE;
        fixture.start().receiveFullSnapshot(A);
        for (int i = 0; i < 10; i++) {
            fixture.request("w" + i).advanceMicros(24_000).outcome("w" + i, 0, "a", AttemptOutcome.OK, 24_000);
        }
        fixture.request("stuck").advanceMicros(300_000).request("r");
        assertNotNull(fixture.endpointOf("stuck", 0));
        assertNull(fixture.endpointOf("r", 0));
    }

    /** Failures of all endpoints say little about a single one, and if all were ejected, no request would be served. */
    @Test
    void ignoresEjectionsIfMostEndpointsFail() {
        PolicyFixture fixture =
                new PolicyFixture().start().receiveFullSnapshot(A, B).request("r");
        for (int attempt = 0; attempt < 2; attempt++) {
            fixture.outcome("r", attempt, fixture.endpointOf("r", attempt), AttemptOutcome.CONNECT_FAILED, 1_000);
        }
        assertEquals(2, fixture.attemptCount());
        fixture.advanceMicros(150_000).fireTimer(SWEEP_TIMER).request("s");
        assertTrue(fixture.attemptCount() > 2, "no attempt was sent after both endpoints had failed");
    }

    /**
     * An isolated malformed response is attributed to the network. An endpoint that sends nothing but malformed
     * responses is ejected, but only after twice as many as of other failures.
     */
    @Test
    void countsMalformedResponseAsHalfFailure() {
        PolicyFixture fixture =
                new PolicyFixture().start().receiveFullSnapshot(A, B, PolicyFixture.endpoint("c", "zc", 3));
        List<String> selected = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            fixture.request("r" + i);
            for (int attempt = 0; fixture.endpointOf("r" + i, attempt) != null; attempt++) {
                String endpoint = fixture.endpointOf("r" + i, attempt);
                selected.add(endpoint);
                fixture.outcome(
                        "r" + i,
                        attempt,
                        endpoint,
                        endpoint.equals("a") ? AttemptOutcome.MALFORMED_RESPONSE : AttemptOutcome.OK,
                        75_000);
            }
            fixture.advanceMicros(10_000);
        }
        long sentToA = selected.stream().filter("a"::equals).count();
        assertTrue(
                sentToA >= 4 && sentToA <= 5, sentToA + " attempts were sent to a, of a total of " + selected.size());
    }

    /** An endpoint that drains but is not yet listed as draining rejects requests although it has little load. */
    @Test
    void ejectsIdleEndpointAfterRejection() {
        assertEjectedAfter(AttemptOutcome.REJECTED, 30_000);
    }

    /**
     * An endpoint that rejects some requests serves the others. If each rejection ejected it for seconds, it would
     * serve almost none.
     */
    @Test
    void doesNotEjectEndpointThatRejectsSomeRequests() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.loadReporting = LoadReporting.NONE;
        fixture.start().receiveFullSnapshot(A, B, PolicyFixture.endpoint("c", "zc", 3));
        int sentToA = 0;
        for (int i = 0; i < 60; i++) {
            String[] ids = {"x" + i, "y" + i, "z" + i};
            for (String id : ids) {
                fixture.request(id);
            }
            fixture.advanceMicros(5_000);
            for (String id : ids) {
                // Endpoint a rejects every second request.
                if (fixture.endpointOf(id, 0).equals("a") && sentToA++ % 2 == 1) {
                    fixture.outcome(id, 0, "a", AttemptOutcome.REJECTED, 5_000);
                }
            }
            fixture.advanceMicros(24_000);
            for (String id : ids) {
                int lastAttempt = fixture.attemptCount(id) - 1;
                fixture.outcome(id, lastAttempt, fixture.endpointOf(id, lastAttempt), AttemptOutcome.OK, 24_000);
            }
        }
        assertTrue(sentToA >= 30, "only " + sentToA + " of 180 requests were sent to endpoint a");
    }

    @Test
    void ejectsEndpointAfterFailedConnect() {
        assertEjectedAfter(AttemptOutcome.CONNECT_FAILED, 1_000);
    }

    /** On a bad network, single connects fail. If the process of the endpoint has died, the next connects fail too. */
    @Test
    void doesNotEjectRespondingEndpointAfterOneFailedConnect() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.loadReporting = LoadReporting.NONE;
        fixture.start().receiveFullSnapshot(A);
        for (int i = 0; i < 10; i++) {
            fixture.request("w" + i).advanceMicros(24_000).outcome("w" + i, 0, "a", AttemptOutcome.OK, 24_000);
        }
        fixture.request("r").advanceMicros(1_000).outcome("r", 0, "a", AttemptOutcome.CONNECT_FAILED, 1_000);
        assertEquals("a", fixture.endpointOf("r", 1));
        for (int i = 1; i <= 3; i++) {
            fixture.advanceMicros(1_000).outcome("r", i, "a", AttemptOutcome.CONNECT_FAILED, 1_000);
        }
        assertNull(fixture.endpointOf("r", 4));
    }

    private static void assertEjectedAfter(AttemptOutcome outcome, long intervalMicros) {
        PolicyFixture fixture = new PolicyFixture()
                .start()
                .receiveFullSnapshot(A, B)
                .request("r")
                .advanceMicros(1_000);
        String ejected = fixture.endpointOf("r", 0);
        fixture.outcome("r", 0, ejected, outcome, 1_000);
        fixture.outcome("r", 1, fixture.endpointOf("r", 1), AttemptOutcome.OK, 50_000);
        for (int i = 0; i < 10; i++) {
            fixture.advanceMicros(intervalMicros).request("n" + i);
            assertNotNull(fixture.endpointOf("n" + i, 0));
            assertNotEquals(ejected, fixture.endpointOf("n" + i, 0));
            fixture.outcome("n" + i, 0, fixture.endpointOf("n" + i, 0), AttemptOutcome.OK, 50_000);
        }
    }
}
