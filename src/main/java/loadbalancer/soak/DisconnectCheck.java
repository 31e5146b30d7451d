package loadbalancer.soak;

import java.util.List;
import loadbalancer.soak.History.ClientOutcome;
import loadbalancer.soak.History.ClientRequest;
import loadbalancer.soak.History.EndpointCall;
import loadbalancer.soak.Violation.Rule;

/** No attempt begins more than 0.1 s after the client has closed its connection. */
final class DisconnectCheck implements RuleCheck {
    static final long LIMIT_MICROS = 100_000;

    @Override
    public void check(History history, HistoryIndex index, SoakSettings settings, List<Violation> violations) {
        for (ClientRequest request : history.clientRequests) {
            if (request.outcome() != ClientOutcome.CLIENT_LEFT) {
                continue;
            }
            for (EndpointCall call : index.calls(request.id())) {
                long limitMicros = request.endedMicros()
                        + LIMIT_MICROS
                        + index.stoppedMicros(call.process(), request.endedMicros(), call.firstByteMicros());
                if (call.firstByteMicros() > limitMicros) {
                    violations.add(new Violation(
                            Rule.DISCONNECT,
                            call.firstByteMicros(),
                            request.id(),
                            "endpoint=%s, the client had left at %.3fs"
                                    .formatted(call.endpoint(), request.endedMicros() / 1e6)));
                }
            }
        }
    }
}
