package loadbalancer.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Describes the result of a run as text: one line, and for a broken rule what happened around it. */
final class SoakReport {
    private static final long TIMELINE_BEFORE_MICROS = 7_000_000;
    private static final long LOG_BEFORE_MICROS = 1_500_000;
    private static final int MAX_LOG_LINE_CHARACTERS = 220;
    private static final int MAX_VIOLATIONS = 5;

    private SoakReport() {}

    /** A line of the timeline. */
    private record TimedLine(long atMicros, String text) {}

    static String summary(SoakRun.Result result) {
        Map<String, Long> outcomes = result.history().clientRequests.stream()
                .collect(Collectors.groupingBy(
                        request -> request.status() > 0
                                ? Integer.toString(request.status())
                                : request.outcome().name(),
                        TreeMap::new,
                        Collectors.counting()));
        return ("seed %d: %d sidecars, %d endpoints, %d faults, outcomes %s, latency p50 %d ms p99 %d ms,"
                        + " %d lags of the record, %d waits for a processor, %d violations")
                .formatted(
                        result.seed(),
                        result.settings().sidecarCount(),
                        result.settings().endpointCount(),
                        result.faults().size(),
                        outcomes,
                        result.latencyMicros().getValueAtPercentile(50) / 1_000,
                        result.latencyMicros().getValueAtPercentile(99) / 1_000,
                        result.history().measurementLags.size(),
                        result.history().processorWaits.size(),
                        result.violations().size());
    }

    /** Returns the first violations, each with the timeline of its request. */
    static String details(SoakRun.Result result, long seconds) {
        StringBuilder text = new StringBuilder();
        text.append("  again: java -jar load-balancer-sidecar.jar fault-soak --seeds ")
                .append(result.seed())
                .append(" --seconds ")
                .append(seconds)
                .append('\n');
        for (Violation violation :
                result.violations().stream().limit(MAX_VIOLATIONS).toList()) {
            text.append("  ").append(violation).append('\n');
            for (TimedLine line : timeline(violation, result)) {
                text.append("    %8.3f %s%n".formatted(line.atMicros() / 1e6, line.text()));
            }
        }
        return text.toString();
    }

    private static List<TimedLine> timeline(Violation violation, SoakRun.Result result) {
        List<TimedLine> lines = new ArrayList<>();
        addRequest(violation, result.history(), lines);
        addEnvironment(violation, result, lines);
        lines.sort(Comparator.comparingLong(TimedLine::atMicros));
        return lines;
    }

    private static void addRequest(Violation violation, History history, List<TimedLine> lines) {
        if (violation.requestId().isEmpty()) {
            return;
        }
        Set<Integer> connections = history.clientRequests.stream()
                .filter(request -> request.id().equals(violation.requestId()))
                .map(History.ClientRequest::connection)
                .collect(Collectors.toSet());
        history.clientRequests.stream()
                .filter(request -> connections.contains(request.connection()))
                .filter(request -> request.endedMicros() >= violation.atMicros() - TIMELINE_BEFORE_MICROS)
                .forEach(request -> lines.add(new TimedLine(request.sentMicros(), request.toString())));
        for (History.EndpointCall call : history.endpointCalls) {
            if (call.requestId().equals(violation.requestId())) {
                lines.add(new TimedLine(call.firstByteMicros(), call.toString()));
            }
        }
    }

    private static void addEnvironment(Violation violation, SoakRun.Result result, List<TimedLine> lines) {
        History history = result.history();
        long until = violation.atMicros();
        long from = until - TIMELINE_BEFORE_MICROS;
        history.listChanges.stream()
                .filter(change -> change.learnedMicros() >= from && change.learnedMicros() <= until)
                .forEach(change -> lines.add(new TimedLine(change.learnedMicros(), change.toString())));
        history.listDeliveries.stream()
                .filter(delivery -> delivery.writtenMicros() >= from && delivery.writtenMicros() <= until)
                .forEach(delivery -> lines.add(new TimedLine(delivery.writtenMicros(), delivery.toString())));
        history.processEvents.stream()
                .filter(event -> event.atMicros() >= from && event.atMicros() <= until)
                .forEach(event -> lines.add(new TimedLine(event.atMicros(), event.toString())));
        history.discoveryTroubles.stream()
                .filter(trouble -> trouble.untilMicros() >= from && trouble.fromMicros() <= until)
                .forEach(trouble -> lines.add(new TimedLine(trouble.fromMicros(), trouble.toString())));
        history.processorWaits.stream()
                .filter(wait -> wait.untilMicros() >= from && wait.fromMicros() <= until)
                .forEach(wait -> lines.add(new TimedLine(wait.fromMicros(), wait.toString())));
        history.measurementLags.stream()
                .filter(lag -> lag.untilMicros() >= from && lag.fromMicros() <= until)
                .forEach(lag -> lines.add(new TimedLine(lag.fromMicros(), lag.toString())));
        for (SidecarUnderTest.LogLine line : result.log()) {
            boolean near = line.atMicros() >= until - LOG_BEFORE_MICROS && line.atMicros() <= until + LOG_BEFORE_MICROS;
            boolean names = !violation.requestId().isEmpty() && line.text().contains(violation.requestId());
            if (near || names) {
                String text = "log of process " + line.process() + ": " + line.text();
                lines.add(new TimedLine(
                        line.atMicros(), text.substring(0, Math.min(text.length(), MAX_LOG_LINE_CHARACTERS))));
            }
        }
    }
}
