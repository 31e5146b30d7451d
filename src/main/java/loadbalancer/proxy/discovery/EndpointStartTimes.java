package loadbalancer.proxy.discovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointState;
import loadbalancer.proxy.protocol.EndpointList;

/**
 * Converts the start times in endpoint lists from Unix time to the monotonic clock. The start of a process is converted
 * once, when it is first seen, so that its age does not change when the wall clock is stepped later.
 *
 * <p>A wall clock may have been stepped before a start is first seen, on this machine alone or on all machines. The age
 * is therefore computed with the present difference between wall clock and monotonic clock and with the earlier ones,
 * and the youngest possible age counts. If none is possible, because the start lies in the future or before that of the
 * process that it replaces, the process counts as just started. Both err towards slow start.
 *
 * <p>Confined to one thread at a time.
 */
public final class EndpointStartTimes {
    /** Smaller changes of the difference between the clocks are drift or inaccurate readings. */
    private static final long MIN_STEP_MICROS = 250_000;
    /** Number of differences between the clocks that are considered, the present one included. */
    private static final int MAX_CLOCK_OFFSETS = 8;

    private static final int MAX_REMOVED_ENDPOINTS = 4_096;
    /** Stands for a start long ago, both in lists and in the decision module. */
    private static final long LONG_AGO = 0;

    /** The start time of one process, on both clocks. */
    private record StartTime(long unixMicros, long monotonicMicros) {}

    private final LongSupplier monotonicMicros;
    private final LongSupplier unixMicros;
    /** Differences between wall clock and monotonic clock, the present one first. */
    private final ArrayDeque<Long> clockOffsetsMicros = new ArrayDeque<>();

    private final Map<String, StartTime> listed = new HashMap<>();
    /** Endpoints that are no longer listed and may return, the one that was removed first at the beginning. */
    private final Map<String, StartTime> removed = new LinkedHashMap<>();

    /**
     * @param monotonicMicros the clock to convert to
     * @param unixMicros the wall clock
     */
    public EndpointStartTimes(LongSupplier monotonicMicros, LongSupplier unixMicros) {
        this.monotonicMicros = monotonicMicros;
        this.unixMicros = unixMicros;
    }

    /** Returns the list with start times of the monotonic clock. Must be called once for each list that is applied. */
    public EndpointList toMonotonic(EndpointList list) {
        observeClocks();
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (EndpointList.Entry entry : list.entries()) {
            entries.add(new EndpointList.Entry(toMonotonic(entry.endpoint()), entry.address()));
        }
        if (list.fullSnapshot()) {
            removeUnlisted(list);
        }
        return new EndpointList(list.generation(), list.fullSnapshot(), entries);
    }

    private Endpoint toMonotonic(Endpoint endpoint) {
        String id = endpoint.id();
        StartTime previous = listed.containsKey(id) ? listed.get(id) : removed.remove(id);
        StartTime current = startTime(endpoint.startedMicros(), previous);
        if (endpoint.state() == EndpointState.REMOVED) {
            listed.remove(id);
            remember(id, current);
        } else {
            listed.put(id, current);
        }
        return endpoint.withStartedMicros(current.monotonicMicros());
    }

    /**
     * @param startedUnixMicros the start time in the list
     * @param previous the start time of this endpoint in earlier lists, or null if there is none
     */
    private StartTime startTime(long startedUnixMicros, StartTime previous) {
        if (startedUnixMicros <= LONG_AGO) {
            return new StartTime(startedUnixMicros, LONG_AGO);
        }
        if (previous != null && previous.unixMicros() == startedUnixMicros) {
            return previous;
        }
        long nowMicros = monotonicMicros.getAsLong();
        long startedMicros = nowMicros - youngestPossibleAgeMicros(startedUnixMicros, nowMicros);
        boolean replacesYoungerProcess = previous != null && startedMicros <= previous.monotonicMicros();
        return new StartTime(startedUnixMicros, replacesYoungerProcess ? nowMicros : startedMicros);
    }

    /** Returns the lowest age that is not negative, or 0 if the start lies in the future by all clock offsets. */
    private long youngestPossibleAgeMicros(long startedUnixMicros, long nowMicros) {
        long youngestMicros = Long.MAX_VALUE;
        for (long offsetMicros : clockOffsetsMicros) {
            long ageMicros = nowMicros + offsetMicros - startedUnixMicros;
            if (ageMicros >= 0) {
                youngestMicros = Math.min(youngestMicros, ageMicros);
            }
        }
        return youngestMicros == Long.MAX_VALUE ? 0 : youngestMicros;
    }

    /** Notices whether the wall clock has been stepped since the last call. */
    private void observeClocks() {
        long offsetMicros = unixMicros.getAsLong() - monotonicMicros.getAsLong();
        Long latest = clockOffsetsMicros.peekFirst();
        if (latest != null && Math.abs(offsetMicros - latest) < MIN_STEP_MICROS) {
            clockOffsetsMicros.removeFirst();
        }
        clockOffsetsMicros.addFirst(offsetMicros);
        if (clockOffsetsMicros.size() > MAX_CLOCK_OFFSETS) {
            clockOffsetsMicros.removeLast();
        }
    }

    private void removeUnlisted(EndpointList fullSnapshot) {
        Set<String> listedIds = fullSnapshot.ids();
        listed.entrySet().removeIf(idAndStart -> {
            boolean unlisted = !listedIds.contains(idAndStart.getKey());
            if (unlisted) {
                remember(idAndStart.getKey(), idAndStart.getValue());
            }
            return unlisted;
        });
    }

    private void remember(String id, StartTime start) {
        removed.put(id, start);
        if (removed.size() > MAX_REMOVED_ENDPOINTS) {
            removed.remove(removed.keySet().iterator().next());
        }
    }
}
