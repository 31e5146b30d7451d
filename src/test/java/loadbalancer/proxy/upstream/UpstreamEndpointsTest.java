package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointState;
import loadbalancer.proxy.protocol.EndpointList;
import org.junit.jupiter.api.Test;

class UpstreamEndpointsTest {
    private final UpstreamEndpoints endpoints = new UpstreamEndpoints();

    private static EndpointList.Entry entry(String id, int port, long startedMicros, EndpointState state) {
        return new EndpointList.Entry(
                new Endpoint(id, "", "", Endpoint.NO_CELL, startedMicros, 1, state),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    private void applyDelta(EndpointList.Entry... entries) {
        endpoints.update(new EndpointList(1, false, List.of(entries)));
    }

    private void applyFullSnapshot(EndpointList.Entry... entries) {
        endpoints.update(new EndpointList(1, true, List.of(entries)));
    }

    @Test
    void keepsEndpointOfUnchangedEntry() {
        applyDelta(entry("a", 1, 0, EndpointState.READY));
        UpstreamEndpoint endpoint = endpoints.get("a");
        applyFullSnapshot(entry("a", 1, 0, EndpointState.READY));
        assertSame(endpoint, endpoints.get("a"));
        assertTrue(endpoint.isReady());
    }

    @Test
    void replacesProcessAfterNewAddressOrStartTime() {
        applyDelta(entry("a", 1, 0, EndpointState.READY));
        UpstreamEndpoint first = endpoints.get("a");
        applyDelta(entry("a", 2, 0, EndpointState.READY));
        UpstreamEndpoint moved = endpoints.get("a");
        assertNotSame(first, moved);
        assertFalse(first.isReady());
        applyDelta(entry("a", 2, 5, EndpointState.READY));
        assertNotSame(moved, endpoints.get("a"));
        assertFalse(moved.isReady());
    }

    @Test
    void keepsDrainingEndpointAsNotReady() {
        applyDelta(entry("a", 1, 0, EndpointState.READY));
        assertTrue(endpoints.get("a").isReady());
        applyDelta(entry("a", 1, 0, EndpointState.DRAINING));
        assertFalse(endpoints.get("a").isReady());
        assertEquals(1, endpoints.size());
    }

    @Test
    void removesUnlistedEndpointsOnlyAfterFullSnapshot() {
        applyDelta(entry("a", 1, 0, EndpointState.READY));
        UpstreamEndpoint unlisted = endpoints.get("a");
        applyDelta(entry("b", 2, 0, EndpointState.READY));
        assertTrue(unlisted.isReady());
        applyFullSnapshot(entry("b", 2, 0, EndpointState.READY));
        assertNull(endpoints.get("a"));
        assertFalse(unlisted.isReady());
        assertEquals(1, endpoints.size());
    }
}
