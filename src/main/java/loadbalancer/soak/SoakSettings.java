package loadbalancer.soak;

import java.util.List;
import java.util.StringJoiner;
import loadbalancer.soak.RequestKind.Idempotency;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The deployment of one run, drawn from its seed.
 *
 * @param pushedDiscovery whether lists are pushed; otherwise the sidecars ask for them
 * @param cellScope whether endpoints recognize keys within one cell only, instead of everywhere
 * @param secondCopies whether a request may have two attempts at once
 */
record SoakSettings(
        int sidecarCount,
        int endpointCount,
        boolean pushedDiscovery,
        boolean cellScope,
        boolean secondCopies,
        long slowStartMicros,
        long overloadWindowMicros,
        double slowStartInitialRatio,
        List<RequestKind> kinds) {
    static final int CORES_PER_ENDPOINT = 3;
    static final int CELL_COUNT = 2;
    static final long DRAIN_GRACE_MICROS = 250_000;
    static final double OVERLOAD_MULTIPLE = 3;
    static final long DEDUPLICATION_WINDOW_MICROS = 4_000_000;
    static final int MAX_ATTEMPTS = 5;
    static final int DESCRIPTOR_LIMIT = 384;
    static final long MEMORY_LIMIT_BYTES = 160L << 20;

    static SoakSettings draw(UniformRandomProvider random) {
        double deadlineFactor = 0.5 + random.nextDouble();
        List<RequestKind> kinds = List.of(
                kind("lookup", Idempotency.SAFE, 4, 12_000, deadlineFactor * 700_000),
                kind("submit", Idempotency.KEYED, 4, 20_000, deadlineFactor * 1_100_000),
                kind("issue", Idempotency.UNSAFE, 3, 35_000, deadlineFactor * 1_700_000));
        return new SoakSettings(
                2 + random.nextInt(2),
                4 + random.nextInt(4),
                random.nextDouble() < 0.7,
                random.nextBoolean(),
                random.nextBoolean(),
                6_000_000L + 1_000_000L * random.nextInt(8),
                1_000_000L + 500_000L * random.nextInt(3),
                0.13 + 0.2 * random.nextDouble(),
                kinds);
    }

    private static RequestKind kind(
            String name, Idempotency idempotency, int weight, long workMicros, double deadlineMicros) {
        return new RequestKind(name, idempotency, weight, workMicros, (long) deadlineMicros);
    }

    RequestKind drawKind(UniformRandomProvider random) {
        int weightSum = kinds.stream().mapToInt(RequestKind::weight).sum();
        int drawn = random.nextInt(weightSum);
        for (RequestKind kind : kinds) {
            drawn -= kind.weight();
            if (drawn < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("the weights do not add up");
    }

    double meanWorkMicros() {
        double weightedWork = 0;
        int weightSum = 0;
        for (RequestKind kind : kinds) {
            weightedWork += (double) kind.weight() * kind.workMicros();
            weightSum += kind.weight();
        }
        return weightedWork / weightSum;
    }

    long longestDeadlineMicros() {
        return kinds.stream().mapToLong(RequestKind::deadlineMicros).max().orElseThrow();
    }

    /** Returns the capacity ratio of an endpoint of this age: linear from the initial ratio to 1. */
    double capacityRatio(long ageMicros) {
        if (ageMicros >= slowStartMicros) {
            return 1;
        }
        return slowStartInitialRatio + (1 - slowStartInitialRatio) * Math.max(0, ageMicros) / slowStartMicros;
    }

    /** Returns the settings of one sidecar as JSON, with the external names. */
    String json(int sidecarIndex) {
        StringJoiner profiles = new StringJoiner(",");
        kinds.forEach(kind -> profiles.add(profileJson(kind)));
        return """
                {"me":%d,"balancers":%d,"zone":"z","azs":["z"],"kinds":["k"],"discovery":"%s","profiles":[%s],
                 "rules":{"drain_grace_us":%d,"cold_share":%s,"ramp_time_us":%d,"fall_multiple":%s,"fall_us":%d,
                          "ask_every_us":10000000},
                 "limits":{"max_attempts":%d,"second_copies":%b,"cancelling":true,"probing":false,"peers":true,
                           "retry_after":true,"max_retry_after_us":2000000,"conn_idle_us":10000000,
                           "dial_timeout_us":150000},
                 "load_info":{"how":"off"}}"""
                .formatted(
                        sidecarIndex,
                        sidecarCount,
                        pushedDiscovery ? "pushed" : "on_request",
                        profiles,
                        DRAIN_GRACE_MICROS,
                        slowStartInitialRatio,
                        slowStartMicros,
                        OVERLOAD_MULTIPLE,
                        overloadWindowMicros,
                        MAX_ATTEMPTS,
                        secondCopies);
    }

    private String profileJson(RequestKind kind) {
        return """
                {"name":"%s","semantics":"%s","group":"%s","window_us":%d,"objective_us":%d,"give_up_us":%d}"""
                .formatted(
                        kind.name(),
                        kind.idempotency().settingsName,
                        cellScope ? "cell" : "all",
                        DEDUPLICATION_WINDOW_MICROS,
                        kind.deadlineMicros() / 3,
                        kind.deadlineMicros());
    }
}
