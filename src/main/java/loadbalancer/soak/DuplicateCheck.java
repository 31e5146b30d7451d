package loadbalancer.soak;

import java.util.List;
import loadbalancer.soak.History.ClientOutcome;
import loadbalancer.soak.History.ClientRequest;
import loadbalancer.soak.History.EndpointCall;
import loadbalancer.soak.RequestKind.Idempotency;
import loadbalancer.soak.Violation.Rule;

/**
 * A request runs more than once only as its class allows, and is rejected only if that is harmless. An attempt counts
 * as run if an endpoint has begun to execute it.
 */
final class DuplicateCheck implements RuleCheck {
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;

    @Override
    public void check(History history, HistoryIndex index, SoakSettings settings, List<Violation> violations) {
        for (ClientRequest request : history.clientRequests) {
            checkAttempts(request, index.calls(request.id()), settings, violations);
        }
        for (EndpointCall call : history.endpointCalls) {
            if (!history.sentRequestIds.contains(call.requestId())) {
                violations.add(new Violation(
                        Rule.DUPLICATE, call.takenMicros(), call.requestId(), "no client has sent this request"));
            }
        }
    }

    private static void checkAttempts(
            ClientRequest request, List<EndpointCall> calls, SoakSettings settings, List<Violation> violations) {
        if (calls.size() > SoakSettings.MAX_ATTEMPTS) {
            violations.add(violation(request, calls.get(calls.size() - 1), calls.size() + " attempts"));
        }
        List<EndpointCall> executed =
                calls.stream().filter(EndpointCall::executed).toList();
        for (EndpointCall call : calls) {
            checkRepeat(request, call, executed, settings, violations);
        }
        boolean rejected = request.outcome() == ClientOutcome.RESPONSE
                && (request.status() == STATUS_TOO_MANY_REQUESTS || request.status() == STATUS_UNAVAILABLE);
        boolean harmless = request.kind().idempotency() == Idempotency.SAFE
                || (request.kind().idempotency() == Idempotency.KEYED && !settings.cellScope());
        if (rejected && !harmless && !executed.isEmpty()) {
            violations.add(new Violation(
                    Rule.REFUSAL,
                    request.endedMicros(),
                    request.id(),
                    "status " + request.status() + " although an endpoint has executed the request at "
                            + executed.get(0).takenMicros() / 1e6 + "s"));
        }
    }

    /** Checks one attempt against the executed ones before it. */
    private static void checkRepeat(
            ClientRequest request,
            EndpointCall call,
            List<EndpointCall> executed,
            SoakSettings settings,
            List<Violation> violations) {
        for (EndpointCall earlier : executed) {
            if (earlier == call || earlier.takenMicros() > call.takenMicros()) {
                return;
            }
            String fault = faultOfRepeat(request.kind(), earlier, call, settings);
            if (!fault.isEmpty()) {
                violations.add(violation(request, call, fault));
                return;
            }
        }
    }

    /** Returns which rule a repeat breaks, or an empty string. */
    private static String faultOfRepeat(
            RequestKind kind, EndpointCall earlier, EndpointCall repeat, SoakSettings settings) {
        boolean overlaps = repeat.takenMicros() < earlier.endedMicros();
        if (overlaps && !settings.secondCopies()) {
            return "a second attempt while one is out";
        }
        if (kind.idempotency() == Idempotency.UNSAFE) {
            return "repeated although it must run once";
        }
        if (kind.idempotency() == Idempotency.SAFE) {
            return "";
        }
        if (settings.cellScope() && repeat.cell() != earlier.cell()) {
            return "repeated in another cell";
        }
        long windowMicros = SoakSettings.DEDUPLICATION_WINDOW_MICROS + HistoryChecker.SOCKET_SLACK_MICROS;
        return repeat.firstByteMicros() - earlier.firstByteMicros() > windowMicros
                ? "repeated after the deduplication window"
                : "";
    }

    private static Violation violation(ClientRequest request, EndpointCall call, String fault) {
        return new Violation(
                Rule.DUPLICATE,
                call.takenMicros(),
                request.id(),
                fault + ": class=" + request.kind().name() + " endpoint=" + call.endpoint());
    }
}
