package loadbalancer.decision;

import loadbalancer.settings.EndpointRules;

/** The part of its full capacity that an endpoint has at least after its start: the slowest ramp the rules allow. */
final class SlowStart {
    private final PolicySettings settings;

    SlowStart(PolicySettings settings) {
        this.settings = settings;
    }

    /** Rises linearly from the rules' initial ratio to 1 over the time of the slow start; 1 outside it. */
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
