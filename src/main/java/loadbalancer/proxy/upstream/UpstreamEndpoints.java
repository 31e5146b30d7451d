package loadbalancer.proxy.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import loadbalancer.decision.EndpointState;
import loadbalancer.proxy.protocol.EndpointList;

/** The endpoints of the current list, by id. Confined to the event loop of the pool. */
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
        UpstreamEndpoint endpoint = endpoints.get(id);
        if (endpoint == null || !endpoint.isSameProcess(entry)) {
            if (endpoint != null) {
                endpoint.updateState(EndpointState.REMOVED);
            }
            endpoint = new UpstreamEndpoint(entry);
            endpoints.put(id, endpoint);
        }
        endpoint.updateState(entry.endpoint().state());
        if (entry.endpoint().state() == EndpointState.REMOVED) {
            // Replacements come under new ids, so removed endpoints would accumulate if they were kept.
            endpoints.remove(id);
        }
    }

    private void removeUnlisted(EndpointList fullSnapshot) {
        Set<String> listed = new HashSet<>();
        for (EndpointList.Entry entry : fullSnapshot.entries()) {
            listed.add(entry.endpoint().id());
        }
        endpoints.entrySet().removeIf(known -> {
            if (listed.contains(known.getKey())) {
                return false;
            }
            known.getValue().updateState(EndpointState.REMOVED);
            return true;
        });
    }

    /** Returns null if no such endpoint is known. */
    UpstreamEndpoint get(String id) {
        return endpoints.get(id);
    }

    Collection<UpstreamEndpoint> all() {
        return endpoints.values();
    }

    int size() {
        return endpoints.size();
    }

    boolean hasReady() {
        for (UpstreamEndpoint endpoint : endpoints.values()) {
            if (endpoint.isReady()) {
                return true;
            }
        }
        return false;
    }
}
