package loadbalancer.proxy.discovery;

import loadbalancer.proxy.protocol.EndpointList;

/** Receives each accepted list on the event loop, before the load balancer does. */
@FunctionalInterface
public interface EndpointListListener {
    /** Handles an accepted list: a full snapshot or a delta. Either may be empty. */
    void onEndpointList(EndpointList list);
}
