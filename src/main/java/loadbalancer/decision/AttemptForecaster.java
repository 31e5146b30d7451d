package loadbalancer.decision;

/** Predicts how long an attempt will take, from the endpoint's load and speed. */
final class AttemptForecaster {
    private final LoadEstimator loads;
    private final FleetLoadEstimator fleetLoad;
    private final SpeedEstimator speeds;

    AttemptForecaster(LoadEstimator loads, FleetLoadEstimator fleetLoad, SpeedEstimator speeds) {
        this.loads = loads;
        this.fleetLoad = fleetLoad;
        this.speeds = speeds;
    }

    AttemptForecast forecast(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        double load = loads.load(endpoint, nowMicros) + fleetLoad.remoteInFlight(endpoint, nowMicros);
        double responseMicros = speeds.expectedResponseMicros(endpoint, request.workMicros(), load, nowMicros);
        return new AttemptForecast(load, responseMicros, responseMicros / endpoint.speedFactor());
    }
}
