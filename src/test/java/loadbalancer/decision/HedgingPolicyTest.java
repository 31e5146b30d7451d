package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.HEALTH_CHECK_DUE_TIMER_PREFIX;
import static loadbalancer.decision.PolicyFixture.OVERDUE_TIMER_PREFIX;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.settings.Idempotency;
import org.junit.jupiter.api.Test;

/** Tests when a request gets a second attempt while the first is in flight. */
class HedgingPolicyTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    @Test
    void permitsSecondAttemptInFlightOnlyIfSettingsAllowHedging() {
        for (boolean hedging : new boolean[] {false, true}) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.hedging = hedging;
            fixture.start().receiveFullSnapshot(A, B).request("r");
            String other = fixture.endpointOf("r", 0).equals("a") ? "b" : "a";
            assertEquals(hedging, fixture.maySend("r", other));
        }
    }

    /**
     * An endpoint that does not reply to the health check for an overdue attempt has probably stalled; only then is the
     * request hedged. A request that is not idempotent is never hedged, because it could be executed twice.
     */
    @Test
    void hedgesOverdueAttemptOnlyIfEndpointIsUnresponsive() {
        for (boolean unresponsive : new boolean[] {true, false}) {
            for (Idempotency idempotency : new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT}) {
                PolicyFixture fixture = new PolicyFixture();
                fixture.healthChecks = fixture.hedging = true;
                fixture.idempotency = idempotency;
                fixture.start().receiveFullSnapshot(A, B);
                for (int i = 0; i < 20; i++) {
                    // Fills the budget for a hedged request, and reports that both endpoints are idle.
                    fixture.request("w" + i).advanceMicros(1_000);
                    for (String id : new String[] {"a", "b"}) {
                        fixture.healthCheckReply(id, new LoadReport(0, 0, 0));
                    }
                    fixture.outcome("w" + i, 0, fixture.endpointOf("w" + i, 0), AttemptOutcome.OK, 50_000);
                }
                fixture.request("r").advanceMicros(1_000);
                for (String id : new String[] {"a", "b"}) {
                    fixture.healthCheckReply(id, new LoadReport(0, 0, 0));
                }
                String endpoint = fixture.endpointOf("r", 0);
                fixture.clearActions();
                fixture.advanceMicros(150_000).fireTimer(OVERDUE_TIMER_PREFIX + "r");
                if (idempotency == Idempotency.IDEMPOTENT) {
                    assertEquals(List.of(endpoint), fixture.checkedEndpoints());
                }
                fixture.advanceMicros(5_000);
                if (!unresponsive) {
                    fixture.healthCheckReply(endpoint, new LoadReport(1, 0, 1));
                }
                fixture.fireTimer(HEALTH_CHECK_DUE_TIMER_PREFIX + "r");
                assertEquals(unresponsive && idempotency == Idempotency.IDEMPOTENT ? 1 : 0, fixture.attemptCount("r"));
            }
        }
    }
}
