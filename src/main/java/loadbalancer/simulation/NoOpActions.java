package loadbalancer.simulation;

import loadbalancer.decision.LoadBalancerActions;

/** Actions that the models have nothing to do for: no probes, watches, connections or operators here. */
class NoOpActions implements LoadBalancerActions {
    @Override
    public void send(String request, String upstream, long untilUs) {}

    @Override
    public void refuse(String request, long retryAfterUs) {}

    @Override
    public void fail(String request) {}

    @Override
    public void cancel(String request, int attempt) {}

    @Override
    public void probe(String upstream) {}

    @Override
    public void subscribe() {}

    @Override
    public void tell(int peer, byte[] message) {}

    @Override
    public void close(String upstream) {}

    @Override
    public void timer(String mark, long delayUs) {}

    @Override
    public void log(String text) {}
}
