package loadbalancer.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.soak.History.ListedState;

/** The list of endpoints in discovery, with all versions that it had. Confined to the event loop of the run. */
final class EndpointRegistry {
    /**
     * One endpoint in the list.
     *
     * @param startedUnixMillis the start of its process by the wall clock of the endpoints, 0 if long ago
     * @param startedMicros the same time on the clock of the run
     */
    record Entry(EndpointStandIn endpoint, int cell, ListedState state, long startedUnixMillis, long startedMicros) {}

    private final List<Map<String, Entry>> versions = new ArrayList<>();

    EndpointRegistry(List<Entry> entries) {
        Map<String, Entry> first = new LinkedHashMap<>();
        for (Entry entry : entries) {
            first.put(entry.endpoint().id(), entry);
        }
        versions.add(first);
    }

    /** Returns the number of the newest version, which is at least 1. */
    long generation() {
        return versions.size();
    }

    /** Returns the endpoints of a version by id, those that are gone included. */
    Map<String, Entry> version(long generation) {
        return versions.get((int) generation - 1);
    }

    /** Adds a version in which these entries replace those with the same ids. */
    void publish(List<Entry> changed) {
        Map<String, Entry> next = new LinkedHashMap<>(version(generation()));
        for (Entry entry : changed) {
            next.put(entry.endpoint().id(), entry);
        }
        versions.add(next);
    }
}
