package loadbalancer.proxy.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import loadbalancer.decision.EndpointState;
import loadbalancer.proxy.protocol.EndpointList;

/** The endpoints of the current list by id. Confined to the event loop of the pool. */
final class UpstreamEndpoints {
    private final Map<String, UpstreamEndpoint> endpoints = new HashMap<>();

    void update(EndpointList list) {
        for (EndpointList.Entry entry : list.entries()) {
            update(entry);
        }
        if (list.fullSnapshot()) {
            removeUnlisted(list);
        }
    }

    private void update(EndpointList.Entry entry) {
        String id = entry.endpoint().id();
        if (entry.endpoint().state() == EndpointState.REMOVED) {
            remove(id);
            return;
        }
        UpstreamEndpoint endpoint = endpoints.get(id);
        if (endpoint == null || !endpoint.isSameProcess(entry)) {
            if (endpoint != null) {
                endpoint.updateState(EndpointState.REMOVED);
            }
            endpoint = new UpstreamEndpoint(entry);
            endpoints.put(id, endpoint);
        }
        endpoint.updateState(entry.endpoint().state());
    }

    /** Removes an endpoint. A replacement has a new id, so removed endpoints would accumulate if they were kept. */
    private void remove(String id) {
        UpstreamEndpoint endpoint = endpoints.remove(id);
        if (endpoint != null) {
            endpoint.updateState(EndpointState.REMOVED);
        }
    }

    private void removeUnlisted(EndpointList fullSnapshot) {
        Set<String> listedIds = fullSnapshot.ids();
        endpoints.entrySet().removeIf(idAndEndpoint -> {
            if (listedIds.contains(idAndEndpoint.getKey())) {
                return false;
            }
            idAndEndpoint.getValue().updateState(EndpointState.REMOVED);
            return true;
        });
    }

    /** Returns the endpoint, or null if the current list does not contain it. */
    UpstreamEndpoint get(String id) {
        return endpoints.get(id);
    }

    Collection<UpstreamEndpoint> all() {
        return endpoints.values();
    }

    int size() {
        return endpoints.size();
    }
}
