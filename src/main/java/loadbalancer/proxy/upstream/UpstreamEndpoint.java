package loadbalancer.proxy.upstream;

import java.net.InetSocketAddress;
import loadbalancer.decision.EndpointState;
import loadbalancer.proxy.protocol.EndpointList;

/**
 * One process that an endpoint id stands for, with its state in the current list and the idle connections to it. The
 * same id with another address or start time is another process. Calls keep a reference to the process that they were
 * started for; once it is removed from the list, it stays removed. Confined to the event loop of the pool.
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

    /** Sets the state. Idle connections are closed if the endpoint takes no new requests. */
    void updateState(EndpointState newState) {
        state = newState;
        if (newState != EndpointState.READY) {
            idleConnections.closeAll();
        }
    }
}
