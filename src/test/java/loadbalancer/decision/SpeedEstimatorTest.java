package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.SWEEP_TIMER;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.RecordedAction.SentAttempt;
import loadbalancer.settings.LoadReporting;
import org.junit.jupiter.api.Test;

/** Speed factors and cores are learned from response times. */
class SpeedEstimatorTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);

    /**
     * A local request that is queued behind requests of 13 other sidecars has a long response time because of their
     * number. This must not be taken for a slow endpoint.
     */
    @Test
    void doesNotLearnQueueingBehindRemoteRequestsAsSpeedFactor() {
        PolicyFixture fixture = PolicyFixture.oneOfFourteenSidecars();
        for (int i = 0; i < 100; i++) {
            fixture.receiveGossipFromThirteenSidecars(10, 1);
            String id = "r" + i;
            fixture.advanceMicros(200_000).request(id);
            String endpoint = fixture.endpointOf(id, 0);
            if (endpoint != null) {
                // 75 ms of work, queued behind 13 others on two endpoints with two cores each: it waits for about three
                // times its own work.
                fixture.advanceMicros(150_000).outcome(id, 0, endpoint, AttemptOutcome.OK, 290_000);
            }
        }
        double speedFactor = fixture.speedFactorOfMachineType();
        assertTrue(speedFactor > 0.6 && speedFactor < 1.7, "estimated speed factor: " + speedFactor);
    }

    /**
     * Over two minutes of simulated time neither estimate drifts, and the number of cores moves away from its initial
     * estimate.
     */
    @Test
    void learnsSpeedAndCoresFromResponsesAlone() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.loadReporting = LoadReporting.NONE;
        fixture.latencyObjectiveMicros = 4_000_000;
        fixture.start().receiveFullSnapshot(A);
        long[] coreFreeMicros = new long[4];
        // Each element contains the completion time, the request number and the send time.
        List<long[]> responses = new ArrayList<>();
        int requestCount = 0;
        for (long millisecond = 0; millisecond < 120_000; millisecond++) {
            fixture.advanceMicros(1_000);
            if (millisecond % 15 == 0) {
                fixture.request("r" + requestCount, 100_000, 4_000_000);
                requestCount++;
            }
            fixture.fireTimer(SWEEP_TIMER);
            for (SentAttempt attempt : fixture.sentAttempts()) {
                int core = 0;
                for (int candidate = 1; candidate < 4; candidate++) {
                    core = coreFreeMicros[candidate] < coreFreeMicros[core] ? candidate : core;
                }
                coreFreeMicros[core] = Math.max(coreFreeMicros[core], fixture.nowMicros) + 50_000;
                responses.add(new long[] {
                    coreFreeMicros[core], Long.parseLong(attempt.requestId().substring(1)), fixture.nowMicros
                });
            }
            fixture.clearActions();
            for (int i = 0; i < responses.size(); i++) {
                long[] response = responses.get(i);
                if (response[0] <= fixture.nowMicros) {
                    responses.remove(i--);
                    fixture.outcome("r" + response[1], 0, "a", AttemptOutcome.OK, fixture.nowMicros - response[2]);
                }
            }
        }
        double speedFactor = fixture.speedFactor("a");
        double cores = fixture.coresOfMachineType();
        assertTrue(cores > 2.5 && cores < 5, "estimated cores: " + cores);
        // The endpoint has four cores at twice the standard speed; only the total speed of its cores matters.
        assertTrue(
                cores / speedFactor > 6.5 && cores / speedFactor < 9.5,
                cores + " estimated cores, estimated speed factor " + speedFactor);
    }
}
