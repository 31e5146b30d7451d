package loadbalancer.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints of all endpoint lists so far, and their machine types. A removed endpoint is kept until its last
 * attempt has ended.
 */
final class EndpointRegistry {
    private final PolicySettings settings;
    private final IdleConnectionPolicy idleConnections;
    private final Map<String, TrackedEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, MachineTypeEstimate> machineTypes = new LinkedHashMap<>();
    private final List<TrackedEndpoint> ready = new ArrayList<>();

    EndpointRegistry(PolicySettings settings, IdleConnectionPolicy idleConnections) {
        this.settings = settings;
        this.idleConnections = idleConnections;
    }

    /** Adds the machine types of new settings and updates the zone indexes. Keeps all estimates. */
    void onSettings() {
        for (String name : settings.current().machineTypes()) {
            machineTypeOrNew(name);
        }
        for (TrackedEndpoint endpoint : endpoints.values()) {
            endpoint.setZoneIndex(settings.zoneIndex(endpoint.listEntry().zone()));
        }
    }

    /**
     * Applies an endpoint list. Marks endpoints that a full or cached list does not contain as removed. Must not be
     * called with {@link EndpointListType#FAILED}.
     */
    void onEndpointList(EndpointListType type, List<Endpoint> listEntries) {
        Set<String> listedIds = new HashSet<>();
        for (Endpoint listEntry : listEntries) {
            listedIds.add(listEntry.id());
            TrackedEndpoint endpoint = endpoints.get(listEntry.id());
            if (endpoint == null) {
                endpoint = new TrackedEndpoint(listEntry, machineTypeOrNew(listEntry.machineType()));
                endpoints.put(listEntry.id(), endpoint);
            }
            endpoint.update(listEntry, settings.zoneIndex(listEntry.zone()));
            idleConnections.closeIfDraining(endpoint);
        }
        if (type != EndpointListType.DELTA) {
            for (TrackedEndpoint endpoint : endpoints.values()) {
                if (!listedIds.contains(endpoint.id())) {
                    endpoint.markRemoved();
                    idleConnections.closeIfDraining(endpoint);
                }
            }
        }
        endpoints.values().removeIf(TrackedEndpoint::isDiscardable);
    }

    private MachineTypeEstimate machineTypeOrNew(String name) {
        MachineTypeEstimate machineType = machineTypes.get(name);
        if (machineType == null) {
            machineType = new MachineTypeEstimate(settings.initialCores());
            machineTypes.put(name, machineType);
        }
        return machineType;
    }

    /** Collects the ready endpoints. If a subset is used, sorts them in the order that is the same on all sidecars. */
    void updateReady() {
        ready.clear();
        for (TrackedEndpoint endpoint : endpoints.values()) {
            if (endpoint.isReady()) {
                ready.add(endpoint);
            }
        }
        if (settings.usesSubset()) {
            ready.sort(Comparator.comparingInt(TrackedEndpoint::sharedOrder).thenComparing(TrackedEndpoint::id));
        }
    }

    /** Discards the endpoint if it is removed and has no attempt in flight. */
    void discardIfUnused(TrackedEndpoint endpoint) {
        if (endpoint.isDiscardable()) {
            endpoints.remove(endpoint.id(), endpoint);
        }
    }

    /** Returns the endpoint with this id, or null if there is none. */
    TrackedEndpoint find(String id) {
        return endpoints.get(id);
    }

    /** Returns the number of endpoints, including removed ones with attempts in flight. */
    int size() {
        return endpoints.size();
    }

    /** Returns the ready endpoints: a view that changes with {@link #updateReady}. */
    List<TrackedEndpoint> ready() {
        return ready;
    }

    /** Returns the estimates for the machine type with this name, or null if there are none. */
    MachineTypeEstimate machineType(String name) {
        return machineTypes.get(name);
    }

    Collection<MachineTypeEstimate> machineTypes() {
        return machineTypes.values();
    }

    /** Returns the names and estimates of the machine types. */
    Set<Map.Entry<String, MachineTypeEstimate>> machineTypeEntries() {
        return machineTypes.entrySet();
    }
}
