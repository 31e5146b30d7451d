package loadbalancer.proxy.discovery;

import loadbalancer.proxy.protocol.EndpointList;

/** Receives each accepted list on the event loop, before the load balancer does. */
@FunctionalInterface
public interface EndpointListListener {
    /** Called with each accepted list: a full snapshot, which is never empty, or a delta, which may be empty. */
    void onEndpointList(EndpointList list);
}
