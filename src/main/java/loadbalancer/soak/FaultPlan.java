package loadbalancer.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import loadbalancer.soak.Fault.Type;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws the faults of a run from its seed. Those that concern a slow discovery are drawn from a generator of their own,
 * so that the other faults of a seed do not depend on them.
 */
final class FaultPlan {
    private static final double FAULTS_PER_SECOND = 0.7;
    private static final long MIN_DURATION_MICROS = 200_000;

    /** Longest durations of the types that last. */
    private static final Map<Type, Long> MAX_DURATION_MICROS = new EnumMap<>(Map.ofEntries(
            Map.entry(Type.LINK_SILENT, 4_000_000L),
            Map.entry(Type.LINK_DELAYED, 3_000_000L),
            Map.entry(Type.LINK_REFUSED, 3_000_000L),
            Map.entry(Type.DISCOVERY_DOWN, 8_000_000L),
            Map.entry(Type.WATCH_SILENT, 4_000_000L),
            Map.entry(Type.WATCH_DELAYED, 3_000_000L),
            Map.entry(Type.ENDPOINT_HANGS, 3_000_000L),
            Map.entry(Type.ENDPOINT_SLOW, 4_000_000L),
            Map.entry(Type.ENDPOINT_CRASHES, 3_000_000L),
            Map.entry(Type.ENDPOINT_VANISHES, 4_000_000L),
            Map.entry(Type.ENDPOINT_DRAINS, 4_000_000L),
            Map.entry(Type.ENDPOINT_REMOVED, 4_000_000L),
            Map.entry(Type.ALL_DRAIN, 3_000_000L),
            Map.entry(Type.ALL_REMOVED, 3_000_000L),
            Map.entry(Type.RESPONSES_BROKEN, 4_000_000L),
            Map.entry(Type.CLIENT_CROWD, 2_000_000L),
            Map.entry(Type.CLIENT_FLOOD, 2_000_000L),
            Map.entry(Type.SYSTEM_CALLS_FAIL, 4_000_000L)));

    private static final double SLOW_DISCOVERY_PROBABILITY = 0.7;
    private static final long MIN_SLOW_DISCOVERY_MICROS = 6_000_000;
    private static final long MAX_SLOW_DISCOVERY_MICROS = 9_000_000;

    private FaultPlan() {}

    static List<Fault> draw(UniformRandomProvider random, SoakSettings settings, long lengthMicros) {
        int count = (int) Math.round(FAULTS_PER_SECOND * lengthMicros / 1e6);
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Type type = Type.values()[random.nextInt(Type.DISCOVERY_SLOW.ordinal())];
            long maxDurationMicros = MAX_DURATION_MICROS.getOrDefault(type, MIN_DURATION_MICROS + 1);
            faults.add(new Fault(
                    type,
                    random.nextLong(lengthMicros),
                    MIN_DURATION_MICROS + random.nextLong(maxDurationMicros - MIN_DURATION_MICROS),
                    random.nextInt(settings.sidecarCount()),
                    random.nextInt(settings.endpointCount()),
                    random.nextInt(1_000)));
        }
        faults.sort(Comparator.comparingLong(Fault::atMicros));
        return faults;
    }

    /** Draws at most one slow discovery and one restart beside one. */
    static List<Fault> drawSlowDiscovery(
            UniformRandomProvider random, SoakSettings settings, long lengthMicros, List<Fault> otherFaults) {
        List<Fault> faults = new ArrayList<>();
        for (Type type : List.of(Type.DISCOVERY_SLOW, Type.RESTART_BESIDE_SLOW_DISCOVERY)) {
            boolean drawn = random.nextDouble() < SLOW_DISCOVERY_PROBABILITY;
            Fault fault = new Fault(
                    type,
                    random.nextLong(lengthMicros / 2),
                    random.nextLong(MIN_SLOW_DISCOVERY_MICROS, MAX_SLOW_DISCOVERY_MICROS),
                    random.nextInt(settings.sidecarCount()),
                    random.nextInt(settings.endpointCount()),
                    random.nextInt(1_000));
            if (drawn && !meetsOutage(fault, otherFaults)) {
                faults.add(fault);
            }
        }
        return faults;
    }

    /** Returns whether discovery is down during the fault. A restarted sidecar could not know what its agent has. */
    private static boolean meetsOutage(Fault fault, List<Fault> otherFaults) {
        return otherFaults.stream()
                .filter(other -> other.type() == Type.DISCOVERY_DOWN)
                .anyMatch(outage -> outage.atMicros() <= fault.atMicros() + fault.durationMicros()
                        && fault.atMicros() <= outage.atMicros() + outage.durationMicros());
    }
}
