package loadbalancer.simulation;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.input.SettingsReader;
import loadbalancer.settings.LoadBalancerSettings;

/**
 * The parameters of a simulated fleet. The same parameters give the same history.
 *
 * @param sidecarCount 1 or more
 * @param endpointCount 1 or more; each has {@link #CORES_PER_ENDPOINT} cores
 * @param utilization rate of requests of all sidecars together, as a part of the endpoints' full capacity
 * @param unevenness each of the busiest tenth of the sidecars gets this many times the mean rate; 1 for equal rates
 * @param maxNotificationDelayMicros a change of the endpoint list reaches each sidecar after a random time up to this
 * @param gossipLossRatio part of the gossip messages that never arrive, 0 to 1
 * @param seed seed of all random draws
 */
record FleetShape(
        int sidecarCount,
        int endpointCount,
        double utilization,
        double unevenness,
        long maxNotificationDelayMicros,
        double gossipLossRatio,
        long seed) {
    static final int CORES_PER_ENDPOINT = 2;
    /** Mean work of a request on one core; exponentially distributed. */
    static final double MEAN_WORK_MICROS = 80_000;

    static final double SLOW_START_INITIAL_RATIO = 0.2;
    static final long SLOW_START_MICROS = 16_000_000;
    static final double OVERLOAD_MULTIPLE = 3;
    static final long OVERLOAD_WINDOW_MICROS = 2_000_000;
    static final long DEADLINE_MICROS = 1_500_000;

    static final String ZONE = "za";
    static final String MACHINE_TYPE = "k";
    /** The request class of the higher priority weight, with an idempotency key. */
    static final String SUBMIT_CLASS = "submit";
    /** The request class of the lower priority weight, not idempotent. */
    static final String ISSUE_CLASS = "issue";

    /** Requests a second that all endpoints can serve outside slow start. */
    double capacityPerSecond() {
        return endpointCount * CORES_PER_ENDPOINT * 1e6 / MEAN_WORK_MICROS;
    }

    /** Requests a second of all sidecars. */
    double requestsPerSecond() {
        return utilization * capacityPerSecond();
    }

    /** Requests a second of this sidecar; every tenth sidecar is busy. */
    double requestsPerSecond(int sidecarIndex) {
        boolean busy = sidecarIndex % 10 == 0;
        int busyCount = (sidecarCount + 9) / 10;
        double mean = requestsPerSecond() / sidecarCount;
        double otherMultiple = (sidecarCount - unevenness * busyCount) / Math.max(1, sidecarCount - busyCount);
        return mean * (busy ? unevenness : otherMultiple);
    }

    /** The settings of one sidecar, read from text as a real sidecar reads its configuration. */
    LoadBalancerSettings settings(int sidecarIndex) {
        Map<String, String> values = new HashMap<>();
        values.put("me", "" + sidecarIndex);
        values.put("balancers", "" + sidecarCount);
        values.put("zone", ZONE);
        values.put("azs", ZONE);
        values.put("kinds", MACHINE_TYPE);
        values.put("discovery", "pushed");
        values.put("profiles.count", "2");
        putRequestClass(values, 0, SUBMIT_CLASS, "keyed", 400_000, 10);
        putRequestClass(values, 1, ISSUE_CLASS, "unsafe", 800_000, 2);
        values.put("limits.max_attempts", "4");
        values.put("limits.second_copies", "true");
        values.put("limits.peers", "true");
        values.put("limits.cancelling", "true");
        values.put("limits.retry_after", "true");
        values.put("limits.max_retry_after_us", "2000000");
        values.put("rules.drain_grace_us", "250000");
        values.put("rules.cold_share", "" + SLOW_START_INITIAL_RATIO);
        values.put("rules.ramp_time_us", "" + SLOW_START_MICROS);
        values.put("rules.fall_multiple", "" + OVERLOAD_MULTIPLE);
        values.put("rules.fall_us", "" + OVERLOAD_WINDOW_MICROS);
        values.put("tariffs.peer", "0.04");
        values.put("tariffs.handshake", "0.02");
        return new SettingsReader(values).read();
    }

    private static void putRequestClass(
            Map<String, String> values,
            int index,
            String name,
            String semantics,
            long latencyObjectiveMicros,
            int priorityWeight) {
        String prefix = "profiles." + index + ".";
        values.put(prefix + "name", name);
        values.put(prefix + "semantics", semantics);
        values.put(prefix + "group", "cell");
        values.put(prefix + "window_us", "6000000");
        values.put(prefix + "objective_us", "" + latencyObjectiveMicros);
        values.put(prefix + "give_up_us", "" + DEADLINE_MICROS);
        values.put(prefix + "importance", "" + priorityWeight);
        values.put(prefix + "late_worth", "0.2");
    }
}
