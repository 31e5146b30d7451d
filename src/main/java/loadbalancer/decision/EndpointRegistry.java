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
 * The endpoints of all lists so far and their machine types. A removed one is kept until its last attempt has ended.
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

    /** Adds the settings' machine types and updates zone indexes. Estimates are kept. */
    void onSettings() {
        for (String name : settings.current().machineTypes()) {
            machineTypeOrNew(name);
        }
        for (TrackedEndpoint endpoint : endpoints.values()) {
            endpoint.setZoneIndex(settings.zoneIndex(endpoint.listEntry().zone()));
        }
    }

    /** Applies a list. Endpoints that a full or cached list does not name are removed. */
    void onEndpointList(EndpointListType type, List<Endpoint> listEntries) {
        Set<String> named = new HashSet<>();
        for (Endpoint listEntry : listEntries) {
            named.add(listEntry.id());
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
                if (!named.contains(endpoint.id())) {
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

    /** Collects the ready endpoints; where a subset is used, in the order that all sidecars share. */
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

    /** Forgets the endpoint if it is removed and has no attempt in flight. */
    void discardIfUnused(TrackedEndpoint endpoint) {
        if (endpoint.isDiscardable()) {
            endpoints.remove(endpoint.id(), endpoint);
        }
    }

    /** The endpoint of this id, or null. */
    TrackedEndpoint find(String id) {
        return endpoints.get(id);
    }

    /** Number of endpoints, including removed ones with attempts in flight. */
    int size() {
        return endpoints.size();
    }

    /** The ready endpoints: a view that changes with {@link #updateReady}. */
    List<TrackedEndpoint> ready() {
        return ready;
    }

    /** The machine type of this name, or null. */
    MachineTypeEstimate machineType(String name) {
        return machineTypes.get(name);
    }

    Collection<MachineTypeEstimate> machineTypes() {
        return machineTypes.values();
    }

    /** Names and estimates of the machine types. */
    Set<Map.Entry<String, MachineTypeEstimate>> machineTypeEntries() {
        return machineTypes.entrySet();
    }
}
