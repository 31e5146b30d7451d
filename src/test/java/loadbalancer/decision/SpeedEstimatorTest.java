package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.SWEEP_TIMER;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.RecordedAction.SentAttempt;
import loadbalancer.settings.LoadReporting;
import org.junit.jupiter.api.Test;

/** Speed factors are learned from the latency of responses. */
class SpeedEstimatorTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);

    /** A local request that queues behind those of 13 other sidecars shows their number, not a slow endpoint. */
    @Test
    void queueingBehindRemoteRequestsIsNotLearnedAsSpeedFactor() {
        PolicyFixture fixture = PolicyFixture.oneOfFourteen();
        for (int i = 0; i < 100; i++) {
            fixture.gossipFromThirteenSidecars(10, 1);
            String id = "r" + i;
            fixture.advance(200_000).request(id);
            String endpoint = fixture.endpointOf(id, 0);
            if (endpoint != null) {
                // 75 ms of work behind 13 others on two endpoints of two cores: a queueing time of about three such.
                fixture.advance(150_000).outcome(id, 0, endpoint, AttemptOutcome.OK, 290_000);
            }
        }
        double speedFactor = fixture.speedFactorOfMachineType();
        assertTrue(speedFactor > 0.6 && speedFactor < 1.7, "speed factor " + speedFactor);
    }

    /** Neither estimate drifts over two minutes of simulated time, and cores leave their first guess. */
    @Test
    void learnsSpeedAndCoresFromResponsesAlone() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.loadReporting = LoadReporting.NONE;
        fixture.latencyObjectiveMicros = 4_000_000;
        fixture.start().listed(A);
        long[] freeAtMicros = new long[4];
        List<long[]> responses = new ArrayList<>();
        int next = 0;
        for (long millisecond = 0; millisecond < 120_000; millisecond++) {
            fixture.advance(1_000);
            if (millisecond % 15 == 0) {
                fixture.request("r" + next, 100_000, 4_000_000);
                next++;
            }
            fixture.fire(SWEEP_TIMER);
            for (SentAttempt attempt : fixture.sentAttempts()) {
                int core = 0;
                for (int candidate = 1; candidate < 4; candidate++) {
                    core = freeAtMicros[candidate] < freeAtMicros[core] ? candidate : core;
                }
                freeAtMicros[core] = Math.max(freeAtMicros[core], fixture.nowMicros) + 50_000;
                responses.add(new long[] {
                    freeAtMicros[core], Long.parseLong(attempt.requestId().substring(1)), fixture.nowMicros
                });
            }
            fixture.clearActions();
            for (int i = 0; i < responses.size(); i++) {
                long[] entry = responses.get(i);
                if (entry[0] <= fixture.nowMicros) {
                    responses.remove(i--);
                    fixture.outcome("r" + entry[1], 0, "a", AttemptOutcome.OK, fixture.nowMicros - entry[2]);
                }
            }
        }
        double speedFactor = fixture.speedFactor("a");
        double cores = fixture.coresOfMachineType();
        assertTrue(cores > 2.5 && cores < 5, "" + cores);
        // Four cores at twice the standard speed: what counts is what they can do together.
        assertTrue(
                cores / speedFactor > 6.5 && cores / speedFactor < 9.5, cores + " cores, speed factor " + speedFactor);
    }
}
