package loadbalancer.simulation;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.input.SettingsReader;
import loadbalancer.settings.LoadBalancerSettings;

/**
 * The parameters of a simulated fleet. Simulations with the same parameters produce the same events.
 *
 * @param sidecarCount number of sidecars, 1 or more
 * @param endpointCount number of endpoints, 1 or more; each has {@link #CORES_PER_ENDPOINT} cores
 * @param utilization request rate of all sidecars together, as a fraction of the endpoints' full capacity
 * @param busyRateRatio request rate of each busy sidecar, divided by the mean rate of all sidecars; a tenth of the
 *     sidecars are busy, and with 1 all rates are equal
 * @param maxNotificationDelayMicros maximum of the random delay after which a sidecar is notified of a change of the
 *     endpoint list
 * @param gossipLossRatio fraction of the gossip messages that are lost, 0 to 1
 * @param seed seed of the random number generators
 */
record FleetParameters(
        int sidecarCount,
        int endpointCount,
        double utilization,
        double busyRateRatio,
        long maxNotificationDelayMicros,
        double gossipLossRatio,
        long seed) {
    static final int CORES_PER_ENDPOINT = 2;
    /** Mean work of a request on one core; the work is exponentially distributed. */
    static final double MEAN_WORK_MICROS = 80_000;

    static final double SLOW_START_INITIAL_RATIO = 0.2;
    static final long SLOW_START_MICROS = 16_000_000;
    static final double OVERLOAD_MULTIPLE = 3;
    static final long OVERLOAD_WINDOW_MICROS = 2_000_000;
    static final long DEADLINE_MICROS = 1_500_000;

    static final String ZONE = "za";
    static final String MACHINE_TYPE = "k";
    /** Name of the request class with the higher priority weight; its requests have idempotency keys. */
    static final String SUBMIT_CLASS = "submit";
    /** Name of the request class with the lower priority weight; its requests are not idempotent. */
    static final String ISSUE_CLASS = "issue";

    /** Returns the requests per second that all endpoints together can serve outside slow start. */
    double capacityPerSecond() {
        return endpointCount * CORES_PER_ENDPOINT * 1e6 / MEAN_WORK_MICROS;
    }

    /** Returns the requests per second of all sidecars together. */
    double requestsPerSecond() {
        return utilization * capacityPerSecond();
    }

    /** Returns the requests per second of this sidecar; every tenth sidecar is busy. */
    double requestsPerSecond(int sidecarIndex) {
        boolean busy = sidecarIndex % 10 == 0;
        int busyCount = (sidecarCount + 9) / 10;
        double meanRate = requestsPerSecond() / sidecarCount;
        double otherRateRatio = (sidecarCount - busyRateRatio * busyCount) / Math.max(1, sidecarCount - busyCount);
        return meanRate * (busy ? busyRateRatio : otherRateRatio);
    }

    /** Returns the settings of one sidecar, read from text in the same way as the configuration of a real sidecar. */
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
