package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.GOSSIP_TIMER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.settings.Idempotency;
import org.junit.jupiter.api.Test;

/** A configuration reload applies to new requests only. */
class SettingsReloadTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    /** A request in progress keeps its request class; new requests get the request class of the new settings. */
    @Test
    void appliesNewSettingsToNewRequestsOnly() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.idempotency = Idempotency.NOT_IDEMPOTENT;
        fixture.start().receiveFullSnapshot(A, B).request("old");
        PolicyFixture idempotentFixture = new PolicyFixture();
        idempotentFixture.maxAttempts = 2;
        idempotentFixture.sidecarCount = 30;
        fixture.applySettings(idempotentFixture.start().settings());
        fixture.advanceMicros(10_000).outcome("old", 0, fixture.endpointOf("old", 0), AttemptOutcome.RESET, 10_000);
        assertEquals(
                List.of("old"),
                fixture.failedRequests(),
                "request old may have run and its class is not idempotent, so it must fail");
        fixture.request("new");
        for (int i = 0; i < 2; i++) {
            fixture.advanceMicros(10_000).outcome("new", i, fixture.endpointOf("new", i), AttemptOutcome.RESET, 10_000);
        }
        assertEquals(2, fixture.attemptCount("new"), "the new class is idempotent and allows two attempts");
        assertEquals(1, fixture.failureCount("new"));
        // The new settings have 30 sidecars, so gossip from the index 29 must be accepted and no higher index
        // addressed.
        fixture.receiveGossip(29, 3, 0);
        fixture.advanceMicros(1_000_000).fireTimer(GOSSIP_TIMER);
        assertTrue(fixture.gossipTargets().stream().allMatch(target -> target < 30));
    }
}
