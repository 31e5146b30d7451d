package loadbalancer.proxy.discovery;

import loadbalancer.proxy.protocol.EndpointList;

/** Receives each list that discovery sends, on the event loop, before the decision module does. */
@FunctionalInterface
public interface EndpointListListener {
    /** A full snapshot, which is never empty, or a delta, which may be. */
    void onEndpointList(EndpointList list);
}
