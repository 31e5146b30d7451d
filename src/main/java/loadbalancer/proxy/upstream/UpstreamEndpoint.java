package loadbalancer.proxy.upstream;

import java.net.InetSocketAddress;
import loadbalancer.decision.EndpointState;
import loadbalancer.proxy.protocol.EndpointList;

/**
 * One process of an endpoint, with its state in the current endpoint list and the idle connections to it. An entry with
 * the same endpoint id but another address or start time describes another process. A call keeps a reference to the
 * process for which it was started, so that it is not sent if this process is removed or replaced in the meantime.
 * Confined to the event loop of the pool.
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

    /** Sets the state. Closes the idle connections if the new state allows no new requests. */
    void updateState(EndpointState newState) {
        state = newState;
        if (newState != EndpointState.READY) {
            idleConnections.closeAll();
        }
    }
}
