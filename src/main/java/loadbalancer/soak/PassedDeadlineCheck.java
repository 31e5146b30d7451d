package loadbalancer.soak;

import java.util.List;
import loadbalancer.soak.History.ClientRequest;
import loadbalancer.soak.History.EndpointCall;
import loadbalancer.soak.Violation.Rule;

/** The time that an attempt passes to its endpoint is at most what is left to the client, with some slack. */
final class PassedDeadlineCheck implements RuleCheck {
    static final long SLACK_MICROS = 150_000;

    @Override
    public void check(History history, HistoryIndex index, SoakSettings settings, List<Violation> violations) {
        for (ClientRequest request : history.clientRequests) {
            for (EndpointCall call : index.calls(request.id())) {
                long leftMicros = request.deadlineMicros() - call.firstByteMicros();
                long slackMicros = SLACK_MICROS
                        + index.stoppedMicros(call.process(), request.sentMicros(), call.firstByteMicros());
                if (call.remainingMicros() > leftMicros + slackMicros) {
                    violations.add(new Violation(
                            Rule.DEADLINE,
                            call.firstByteMicros(),
                            request.id(),
                            "endpoint=%s was told %d ms, %d ms were left"
                                    .formatted(call.endpoint(), call.remainingMicros() / 1000, leftMicros / 1000)));
                }
            }
        }
    }
}
