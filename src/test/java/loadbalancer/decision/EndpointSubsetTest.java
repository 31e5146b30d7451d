package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.settings.LoadReporting;
import org.junit.jupiter.api.Test;

/** If connections have a price, a sidecar uses a small subset of the endpoints. */
class EndpointSubsetTest {
    /** Without gossip every sidecar prefers its own zone, which must not leave it without an endpoint. */
    @Test
    void usesOtherZonesIfLocalZoneHasNoEndpoint() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            String zone = i % 2 == 0 ? "zb" : "zc";
            endpoints.add(new Endpoint("u" + i * 7919, zone, "type" + i / 2, i, 0, 1, EndpointState.READY));
        }
        for (int i = 0; i < 14; i++) {
            for (double crossZonePrice : new double[] {0, 0.05}) {
                PolicyFixture fixture = new PolicyFixture();
                fixture.sidecarIndex = i;
                fixture.sidecarCount = 14;
                fixture.connectionPrice = 0.05;
                fixture.crossZonePrice = crossZonePrice;
                fixture.loadReporting = LoadReporting.NONE;
                fixture.start().receiveFullSnapshot(endpoints.toArray(new Endpoint[0]));
                for (int j = 0; j < 20; j++) {
                    fixture.advanceMicros(200_000).request("r" + j);
                    assertEquals(1, fixture.attemptCount("r" + j), "sidecar " + i + ", request " + j);
                    fixture.outcome("r" + j, 0, fixture.endpointOf("r" + j, 0), AttemptOutcome.OK, 75_000);
                }
            }
        }
    }

    @Test
    void selectsSmallSubsetsSpreadEvenlyOverEachMachineType() {
        int sidecarCount = 400;
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            String machineType = i % 3 == 0 ? "slow" : "fast";
            endpoints.add(new Endpoint("u" + i * 7919, "za", machineType, i / 3, 0, 1, EndpointState.READY));
        }
        Map<String, Integer> sidecarsByEndpoint = new HashMap<>();
        for (int i = 0; i < sidecarCount; i++) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.sidecarIndex = i;
            fixture.sidecarCount = sidecarCount;
            fixture.connectionPrice = 0.05;
            fixture.loadReporting = LoadReporting.NONE;
            fixture.start().receiveFullSnapshot(endpoints.toArray(new Endpoint[0]));
            Set<String> usedEndpoints = new HashSet<>();
            for (int j = 0; j < 40; j++) {
                fixture.advanceMicros(200_000).request("r" + j);
                usedEndpoints.add(fixture.endpointOf("r" + j, 0));
                fixture.outcome("r" + j, 0, fixture.endpointOf("r" + j, 0), AttemptOutcome.OK, 75_000);
            }
            assertTrue(usedEndpoints.size() <= 6, "used endpoints: " + usedEndpoints);
            usedEndpoints.forEach(endpoint -> sidecarsByEndpoint.merge(endpoint, 1, Integer::sum));
        }
        assertEquals(60, sidecarsByEndpoint.size());
        sidecarsByEndpoint.forEach((endpoint, count) ->
                assertTrue(count >= 5 && count <= 50, endpoint + " is used by sidecars: " + count));
    }
}
