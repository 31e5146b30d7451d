package loadbalancer.simulation;

import loadbalancer.decision.LoadBalancerActions;

/** Ignores every action. Subclasses override the methods of the actions that they handle. */
class NoOpActions implements LoadBalancerActions {
    @Override
    public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {}

    @Override
    public void reject(String requestId, long retryAfterMicros) {}

    @Override
    public void fail(String requestId) {}

    @Override
    public void cancelAttempt(String requestId, int attemptNumber) {}

    @Override
    public void checkHealth(String endpointId) {}

    @Override
    public void pollEndpoints() {}

    @Override
    public void sendGossip(int sidecarIndex, byte[] message) {}

    @Override
    public void closeIdleConnections(String endpointId) {}

    @Override
    public void startTimer(String timerName, long delayMicros) {}

    @Override
    public void log(String text) {}
}
