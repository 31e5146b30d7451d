package loadbalancer.decision;

import loadbalancer.settings.LoadBalancerSettings;

/** Creates and connects the settings and the estimators of one load balancing policy. */
final class Estimators {
    final PolicySettings settings = new PolicySettings();
    final GossipState gossip = new GossipState();
    final InFlightAttempts attempts = new InFlightAttempts();
    final SlowStart slowStart = new SlowStart(settings);
    final WorkEstimator work;
    final RequestRateEstimator rates;
    final SpeedEstimator speeds;
    final LoadEstimator loads;

    Estimators(LoadBalancerSettings initialSettings, long nowMicros) {
        work = new WorkEstimator(initialSettings.requestClasses());
        rates = new RequestRateEstimator(settings, gossip, nowMicros);
        speeds = new SpeedEstimator(settings, work, slowStart);
        loads = new LoadEstimator(work);
    }
}
