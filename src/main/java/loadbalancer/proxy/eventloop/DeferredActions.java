package loadbalancer.proxy.eventloop;

import java.util.Queue;
import loadbalancer.decision.LoadBalancerActions;

/**
 * Turns each action into a task in a queue, which calls the same method of another {@link LoadBalancerActions} when it
 * is run. Confined to the event loop.
 */
final class DeferredActions implements LoadBalancerActions {
    private final Queue<Runnable> pending;
    private final LoadBalancerActions executor;

    DeferredActions(Queue<Runnable> pending, LoadBalancerActions executor) {
        this.pending = pending;
        this.executor = executor;
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {
        pending.add(() -> executor.sendAttempt(requestId, endpointId, deadlineMicros));
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        pending.add(() -> executor.reject(requestId, retryAfterMicros));
    }

    @Override
    public void fail(String requestId) {
        pending.add(() -> executor.fail(requestId));
    }

    @Override
    public void cancelAttempt(String requestId, int attemptNumber) {
        pending.add(() -> executor.cancelAttempt(requestId, attemptNumber));
    }

    @Override
    public void checkHealth(String endpointId) {
        pending.add(() -> executor.checkHealth(endpointId));
    }

    @Override
    public void pollEndpoints() {
        pending.add(executor::pollEndpoints);
    }

    @Override
    public void sendGossip(int sidecarIndex, byte[] message) {
        pending.add(() -> executor.sendGossip(sidecarIndex, message));
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        pending.add(() -> executor.closeIdleConnections(endpointId));
    }

    @Override
    public void startTimer(String timerName, long delayMicros) {
        pending.add(() -> executor.startTimer(timerName, delayMicros));
    }

    @Override
    public void log(String text) {
        pending.add(() -> executor.log(text));
    }
}
