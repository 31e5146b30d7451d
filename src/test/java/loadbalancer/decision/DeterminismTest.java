package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.SWEEP_TIMER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

/**
 * Tests that the same settings, seed and events give the same actions. State that instances of the policy share, for
 * example a static field, would break this.
 */
class DeterminismTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    @Test
    void repeatsActionsForSameEventsBesideOtherInstance() {
        PolicyFixture alone = new PolicyFixture().start().receiveFullSnapshot(A, B);
        sendEvents(alone, 0, 200);
        PolicyFixture first = new PolicyFixture().start().receiveFullSnapshot(A, B);
        PolicyFixture second =
                new PolicyFixture().start().receiveFullSnapshot(A, B, PolicyFixture.endpoint("c", "zc", 3));
        for (int i = 0; i < 200; i += 10) {
            sendEvents(first, i, i + 10);
            sendEvents(second, i, i + 10);
        }
        assertEquals(alone.actions(), first.actions());
        assertNotEquals(first.actions(), second.actions());
    }

    private static void sendEvents(PolicyFixture fixture, int from, int to) {
        for (int i = from; i < to; i++) {
            fixture.advanceMicros(3_000).request("r" + i);
            if (i % 3 == 0 && fixture.endpointOf("r" + i, 0) != null) {
                fixture.outcome(
                        "r" + i,
                        0,
                        fixture.endpointOf("r" + i, 0),
                        i % 9 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                        70_000);
            }
            fixture.fireTimer(SWEEP_TIMER);
        }
    }
}
