package loadbalancer.simulation;

import loadbalancer.decision.LoadBalancerActions;

/** Actions that the models have nothing to do for: no probes, watches, connections or operators here. */
class NoOpActions implements LoadBalancerActions {
    @Override
    public void sendAttempt(String request, String upstream, long untilUs) {}

    @Override
    public void reject(String request, long retryAfterUs) {}

    @Override
    public void fail(String request) {}

    @Override
    public void cancelAttempt(String request, int attempt) {}

    @Override
    public void checkHealth(String upstream) {}

    @Override
    public void pollEndpoints() {}

    @Override
    public void sendGossip(int peer, byte[] message) {}

    @Override
    public void closeIdleConnections(String upstream) {}

    @Override
    public void startTimer(String mark, long delayUs) {}

    @Override
    public void log(String text) {}
}
