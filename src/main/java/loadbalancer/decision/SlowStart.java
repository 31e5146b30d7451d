package loadbalancer.decision;

import loadbalancer.settings.EndpointRules;

/**
 * Computes the capacity that an endpoint in slow start is assumed to have: the lowest that {@link EndpointRules} allows
 * at the time.
 */
final class SlowStart {
    private final PolicySettings settings;

    SlowStart(PolicySettings settings) {
        this.settings = settings;
    }

    /**
     * Returns the endpoint's capacity relative to its full capacity. The ratio increases linearly from the initial
     * ratio of the rules to 1 during slow start; it is 1 outside slow start.
     */
    double capacityRatio(TrackedEndpoint endpoint, long nowMicros) {
        long startedMicros = endpoint.listEntry().startedMicros();
        EndpointRules rules = settings.rules();
        long ageMicros = nowMicros - startedMicros;
        if (startedMicros <= 0 || ageMicros >= rules.slowStartMicros()) {
            return 1;
        }
        double initialRatio = rules.slowStartInitialRatio();
        return initialRatio + (1 - initialRatio) * Math.max(0, ageMicros) / rules.slowStartMicros();
    }
}
