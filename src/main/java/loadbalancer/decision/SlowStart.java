package loadbalancer.decision;

import loadbalancer.settings.EndpointRules;

/** The part of its full capacity that an endpoint surely has after its start: the slowest ramp the rules allow. */
final class SlowStart {
    private final PolicySettings settings;

    SlowStart(PolicySettings settings) {
        this.settings = settings;
    }

    /** From the initial ratio of the rules up to 1, linearly over the time of the slow start. */
    double capacityRatio(TrackedEndpoint endpoint, long nowMicros) {
        long startedMicros = endpoint.listing().startedMicros();
        EndpointRules rules = settings.rules();
        long ageMicros = nowMicros - startedMicros;
        if (startedMicros <= 0 || ageMicros >= rules.slowStartMicros()) {
            return 1;
        }
        double initialRatio = rules.slowStartInitialRatio();
        return initialRatio + (1 - initialRatio) * Math.max(0, ageMicros) / rules.slowStartMicros();
    }
}
