package loadbalancer.simulator;

import java.util.Base64;
import loadbalancer.decision.LoadBalancerActions;

/** Appends the actions of one instance to the reply. */
final class ReplyWriter implements LoadBalancerActions {
    private final String instance;
    private final Reply reply;

    ReplyWriter(String instance, Reply reply) {
        this.instance = instance;
        this.reply = reply;
    }

    private StringBuilder startAction(String name) {
        return reply.startAction(instance, name);
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {
        startAction(WireNames.SEND_ATTEMPT)
                .append(' ')
                .append(requestId)
                .append(' ')
                .append(endpointId)
                .append(' ')
                .append(deadlineMicros)
                .append('\n');
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        startAction(WireNames.REJECT)
                .append(' ')
                .append(requestId)
                .append(' ')
                .append(retryAfterMicros)
                .append('\n');
    }

    @Override
    public void fail(String requestId) {
        startAction(WireNames.FAIL).append(' ').append(requestId).append('\n');
    }

    @Override
    public void cancelAttempt(String requestId, int attemptNumber) {
        startAction(WireNames.CANCEL_ATTEMPT)
                .append(' ')
                .append(requestId)
                .append(' ')
                .append(attemptNumber)
                .append('\n');
    }

    @Override
    public void checkHealth(String endpointId) {
        startAction(WireNames.CHECK_HEALTH).append(' ').append(endpointId).append('\n');
    }

    @Override
    public void pollEndpoints() {
        startAction(WireNames.POLL_ENDPOINTS).append('\n');
    }

    @Override
    public void sendGossip(int sidecarIndex, byte[] message) {
        startAction(WireNames.SEND_GOSSIP)
                .append(' ')
                .append(sidecarIndex)
                .append(' ')
                .append(Base64.getEncoder().encodeToString(message))
                .append('\n');
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        startAction(WireNames.CLOSE_IDLE_CONNECTIONS)
                .append(' ')
                .append(endpointId)
                .append('\n');
    }

    @Override
    public void startTimer(String timerName, long delayMicros) {
        startAction(WireNames.START_TIMER)
                .append(' ')
                .append(timerName)
                .append(' ')
                .append(delayMicros)
                .append('\n');
    }

    @Override
    public void log(String text) {
        startAction(WireNames.LOG).append(' ').append(text).append('\n');
    }
}
