package loadbalancer.proxy.eventloop;

import java.util.Queue;
import loadbalancer.decision.LoadBalancerActions;

/**
 * Adds each action to a queue, as a task that calls the same method of the delegate when it is run. Confined to the
 * event loop.
 */
final class DeferredActions implements LoadBalancerActions {
    private final Queue<Runnable> pending;
    private final LoadBalancerActions delegate;

    DeferredActions(Queue<Runnable> pending, LoadBalancerActions delegate) {
        this.pending = pending;
        this.delegate = delegate;
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {
        pending.add(() -> delegate.sendAttempt(requestId, endpointId, deadlineMicros));
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        pending.add(() -> delegate.reject(requestId, retryAfterMicros));
    }

    @Override
    public void fail(String requestId) {
        pending.add(() -> delegate.fail(requestId));
    }

    @Override
    public void cancelAttempt(String requestId, int attemptNumber) {
        pending.add(() -> delegate.cancelAttempt(requestId, attemptNumber));
    }

    @Override
    public void checkHealth(String endpointId) {
        pending.add(() -> delegate.checkHealth(endpointId));
    }

    @Override
    public void pollEndpoints() {
        pending.add(delegate::pollEndpoints);
    }

    @Override
    public void sendGossip(int sidecarIndex, byte[] message) {
        pending.add(() -> delegate.sendGossip(sidecarIndex, message));
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        pending.add(() -> delegate.closeIdleConnections(endpointId));
    }

    @Override
    public void startTimer(String timerName, long delayMicros) {
        pending.add(() -> delegate.startTimer(timerName, delayMicros));
    }

    @Override
    public void log(String text) {
        pending.add(() -> delegate.log(text));
    }
}
