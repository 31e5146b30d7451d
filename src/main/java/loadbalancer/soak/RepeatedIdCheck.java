package loadbalancer.soak;

import java.util.List;
import loadbalancer.soak.History.EndpointCall;
import loadbalancer.soak.History.RepeatedId;
import loadbalancer.soak.Violation.Rule;

/** An id that comes again after its client has left does not run again, if it has been executed. */
final class RepeatedIdCheck implements RuleCheck {
    @Override
    public void check(History history, HistoryIndex index, SoakSettings settings, List<Violation> violations) {
        for (RepeatedId repeat : history.repeatedIds) {
            for (EndpointCall call : index.calls(repeat.id())) {
                if (call.process() == repeat.process() && call.firstByteMicros() > repeat.sentMicros()) {
                    violations.add(new Violation(
                            Rule.DUPLICATE,
                            call.firstByteMicros(),
                            repeat.id(),
                            "endpoint=%s, the id came again at %.3fs"
                                    .formatted(call.endpoint(), repeat.sentMicros() / 1e6)));
                }
            }
        }
    }
}
