package loadbalancer.decision;

/** An action that the policy under test has taken: a call of one method of {@link LoadBalancerActions}. */
sealed interface RecordedAction {
    record SentAttempt(String requestId, String endpointId, long deadlineMicros) implements RecordedAction {}

    record Rejection(String requestId) implements RecordedAction {}

    record Failure(String requestId) implements RecordedAction {}

    record Cancellation(String requestId, int attemptNumber) implements RecordedAction {}

    record HealthCheck(String endpointId) implements RecordedAction {}

    record EndpointPoll() implements RecordedAction {}

    record Gossip(int sidecarIndex, int length) implements RecordedAction {}

    record ConnectionClose(String endpointId) implements RecordedAction {}

    record TimerStart(String timerName, long delayMicros) implements RecordedAction {}

    record LogLine(String text) implements RecordedAction {}
}
