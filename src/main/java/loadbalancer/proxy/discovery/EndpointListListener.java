package loadbalancer.proxy.discovery;

import loadbalancer.proxy.protocol.EndpointList;

/** Receives each accepted list on the event loop, before the load balancer does. */
@FunctionalInterface
public interface EndpointListListener {
    /** Handles an accepted list, which is a full snapshot with at least one entry, or a delta, which may be empty. */
    void onEndpointList(EndpointList list);
}
