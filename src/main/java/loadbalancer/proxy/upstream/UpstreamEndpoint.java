package loadbalancer.proxy.upstream;

import java.net.InetSocketAddress;
import loadbalancer.decision.EndpointState;
import loadbalancer.proxy.protocol.EndpointList;

/**
 * One process behind an endpoint's id, as the list has it now, and the idle connections to it. Another address or start
 * time under the same id is another process. Calls keep a reference: one that is no longer listed stays removed.
 */
final class UpstreamEndpoint {
    private final InetSocketAddress address;
    private final long startedMicros;
    private final IdleConnections idleConnections = new IdleConnections();
    private EndpointState state;

    UpstreamEndpoint(EndpointList.Entry entry) {
        address = entry.address();
        startedMicros = entry.endpoint().startedMicros();
        state = entry.endpoint().state();
    }

    boolean isSameProcess(EndpointList.Entry entry) {
        return address.equals(entry.address())
                && startedMicros == entry.endpoint().startedMicros();
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isReady() {
        return state == EndpointState.READY;
    }

    IdleConnections idleConnections() {
        return idleConnections;
    }

    /** Idle connections are closed once the endpoint takes no new requests. */
    void updateState(EndpointState newState) {
        state = newState;
        if (newState != EndpointState.READY) {
            idleConnections.closeAll();
        }
    }
}
