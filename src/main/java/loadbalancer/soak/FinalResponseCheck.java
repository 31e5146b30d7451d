package loadbalancer.soak;

import java.util.List;
import loadbalancer.soak.History.ClientOutcome;
import loadbalancer.soak.History.ClientRequest;
import loadbalancer.soak.History.ProcessEventType;
import loadbalancer.soak.Violation.Rule;

/**
 * Each request that a sidecar has taken gets one final response, at most half a second after its deadline. A successful
 * response is one that an endpoint has made for this request.
 */
final class FinalResponseCheck implements RuleCheck {
    /** Until this long after its deadline a response is late, but the request is not lost. */
    static final long LATE_MICROS = 500_000;

    private static final int STATUS_OK = 200;

    @Override
    public void check(History history, HistoryIndex index, SoakSettings settings, List<Violation> violations) {
        for (ClientRequest request : history.clientRequests) {
            if (isLost(request, index)) {
                violations.add(new Violation(
                        Rule.LOST,
                        request.endedMicros(),
                        request.id(),
                        "outcome=%s sent=%.3fs deadline=%.3fs ended=%.3fs process=%d new_connection=%b"
                                .formatted(
                                        request.outcome(),
                                        request.sentMicros() / 1e6,
                                        request.deadlineMicros() / 1e6,
                                        request.endedMicros() / 1e6,
                                        request.process(),
                                        request.newConnection())));
            }
            boolean served = request.outcome() == ClientOutcome.RESPONSE && request.status() == STATUS_OK;
            if (served && !isResponseOfEndpoint(request, history)) {
                violations.add(new Violation(
                        Rule.WRONG_RESPONSE,
                        request.endedMicros(),
                        request.id(),
                        "no endpoint has written the body '" + request.body() + "' for this request"));
            }
        }
    }

    private static boolean isResponseOfEndpoint(ClientRequest request, History history) {
        return request.body().startsWith(request.id() + " ") && history.endpointBodies.contains(request.body());
    }

    private static boolean isLost(ClientRequest request, HistoryIndex index) {
        long limitMicros = request.deadlineMicros()
                + LATE_MICROS
                + index.stoppedMicros(request.process(), request.sentMicros(), request.endedMicros());
        return switch (request.outcome()) {
            case CLIENT_LEFT -> false;
            case RESPONSE -> request.endedMicros() > limitMicros;
            case PENDING -> request.endedMicros() > limitMicros && !isKilled(request, index);
            case CONNECTION_CLOSED -> !isKilled(request, index) && !mayHaveCrossedClose(request, index);
        };
    }

    /** Returns whether the process was killed before the request ended, other than after a request to terminate. */
    private static boolean isKilled(ClientRequest request, HistoryIndex index) {
        long killMicros = index.firstMicros(request.process(), ProcessEventType.KILL_SENT);
        long terminateMicros = index.firstMicros(request.process(), ProcessEventType.TERMINATE_SENT);
        return killMicros <= request.endedMicros() && terminateMicros > killMicros;
    }

    /** A close of a connection between requests may cross a request that the sidecar has not read. */
    private static boolean mayHaveCrossedClose(ClientRequest request, HistoryIndex index) {
        return !request.newConnection() && index.calls(request.id()).isEmpty();
    }
}
