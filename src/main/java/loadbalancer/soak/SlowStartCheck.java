package loadbalancer.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.soak.History.EndpointCall;
import loadbalancer.soak.History.ListChange;
import loadbalancer.soak.History.ListDelivery;
import loadbalancer.soak.History.ListedState;
import loadbalancer.soak.Violation.Rule;

/**
 * In each overload window after its start, an endpoint gets no more requests of mean work than its capacity then allows
 * several times over. The rule is broken if more than two thirds of them came from sidecars that were notified of the
 * start.
 */
final class SlowStartCheck implements RuleCheck {
    /** Below this number of allowed requests the slack is larger. */
    private static final double FEW_REQUESTS = 30;

    private static final double NOTIFIED_FRACTION = 2.0 / 3;

    @Override
    public void check(History history, HistoryIndex index, SoakSettings settings, List<Violation> violations) {
        Map<String, List<EndpointCall>> callsByStart = new HashMap<>();
        for (EndpointCall call : history.endpointCalls) {
            long ageMicros = call.firstByteMicros() - call.startedMicros();
            if (call.startedMicros() > 0 && ageMicros < settings.slowStartMicros()) {
                callsByStart
                        .computeIfAbsent(call.endpoint() + " " + call.startedMicros(), unused -> new ArrayList<>())
                        .add(call);
            }
        }
        for (List<EndpointCall> calls : callsByStart.values()) {
            calls.sort(Comparator.comparingLong(EndpointCall::firstByteMicros));
            checkStart(calls, history, settings, violations);
        }
    }

    /** Checks the window that ends with each call, and reports the first that is exceeded. */
    private static void checkStart(
            List<EndpointCall> calls, History history, SoakSettings settings, List<Violation> violations) {
        int first = 0;
        for (int last = 0; last < calls.size(); last++) {
            EndpointCall call = calls.get(last);
            while (calls.get(first).firstByteMicros() < call.firstByteMicros() - settings.overloadWindowMicros()) {
                first++;
            }
            List<EndpointCall> window = calls.subList(first, last + 1);
            double allowed = allowedRequests(settings, call.firstByteMicros() - call.startedMicros());
            if (window.size() > allowed && isMostlyFromNotified(window, history)) {
                violations.add(new Violation(
                        Rule.SLOW_START,
                        call.firstByteMicros(),
                        call.requestId(),
                        "endpoint=%s age=%.3fs got %d requests in a window, %.1f are allowed"
                                .formatted(
                                        call.endpoint(),
                                        (call.firstByteMicros() - call.startedMicros()) / 1e6,
                                        window.size(),
                                        allowed)));
                return;
            }
        }
    }

    /** Returns the budget of a window in requests of mean work, with its slack. */
    static double allowedRequests(SoakSettings settings, long ageMicros) {
        double requests = SoakSettings.OVERLOAD_MULTIPLE
                * SoakSettings.CORES_PER_ENDPOINT
                * settings.capacityRatio(ageMicros)
                * settings.overloadWindowMicros()
                / settings.meanWorkMicros();
        double root = Math.sqrt(requests);
        return requests < FEW_REQUESTS ? requests + 3 * root + 3 : requests + 2 * root + 2;
    }

    private static boolean isMostlyFromNotified(List<EndpointCall> window, History history) {
        long notified =
                window.stream().filter(call -> isNotified(call, history)).count();
        return notified > NOTIFIED_FRACTION * window.size();
    }

    /** Returns whether the sidecar had received a list with this start of the endpoint. */
    private static boolean isNotified(EndpointCall call, History history) {
        for (ListChange change : history.listChanges) {
            boolean announcesStart = change.endpoint().equals(call.endpoint())
                    && change.startedMicros() == call.startedMicros()
                    && change.state() == ListedState.READY;
            if (announcesStart && isDelivered(call, change.generation(), history)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isDelivered(EndpointCall call, long generation, History history) {
        for (ListDelivery delivery : history.listDeliveries) {
            if (delivery.process() == call.process()
                    && delivery.generation() >= generation
                    && delivery.writtenMicros() <= call.firstByteMicros()) {
                return true;
            }
        }
        return false;
    }
}
