package loadbalancer.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.soak.History.EndpointCall;
import loadbalancer.soak.History.MeasurementLag;
import loadbalancer.soak.History.ProcessEvent;
import loadbalancer.soak.History.ProcessEventType;
import loadbalancer.soak.History.ProcessorWait;

/** Lookups in a complete {@link History}. Immutable. */
final class HistoryIndex {
    /** A stop up to this long is no excuse: the limits of the rules allow for it. */
    static final long TOLERATED_STOP_MICROS = 150_000;

    private static final long NOT_STOPPED = -1;

    private final Map<String, List<EndpointCall>> callsByRequest = new HashMap<>();
    private final Map<Integer, List<ProcessEvent>> eventsByProcess = new HashMap<>();
    private final List<MeasurementLag> measurementLags;
    private final List<ProcessorWait> processorWaits;

    HistoryIndex(History history) {
        measurementLags = history.measurementLags;
        processorWaits = history.processorWaits;
        for (EndpointCall call : history.endpointCalls) {
            callsByRequest
                    .computeIfAbsent(call.requestId(), unused -> new ArrayList<>())
                    .add(call);
        }
        for (List<EndpointCall> calls : callsByRequest.values()) {
            calls.sort(Comparator.comparingLong(EndpointCall::takenMicros));
        }
        for (ProcessEvent event : history.processEvents) {
            eventsByProcess
                    .computeIfAbsent(event.process(), unused -> new ArrayList<>())
                    .add(event);
        }
    }

    /** Returns the calls with this request id in the order in which endpoints had received them completely. */
    List<EndpointCall> calls(String requestId) {
        return callsByRequest.getOrDefault(requestId, List.of());
    }

    Iterable<Integer> processes() {
        return eventsByProcess.keySet();
    }

    /** Returns when the event happened first, or {@link Long#MAX_VALUE} if it never did. */
    long firstMicros(int process, ProcessEventType type) {
        for (ProcessEvent event : eventsByProcess.getOrDefault(process, List.of())) {
            if (event.type() == type) {
                return event.atMicros();
            }
        }
        return Long.MAX_VALUE;
    }

    int sidecar(int process) {
        return eventsByProcess.get(process).get(0).sidecar();
    }

    /** Returns the process events of this type. */
    List<ProcessEvent> events(int process, ProcessEventType type) {
        return eventsByProcess.getOrDefault(process, List.of()).stream()
                .filter(event -> event.type() == type)
                .toList();
    }

    /**
     * Returns for how long between two times the process was stopped by signals, got no processor, or the record is
     * inaccurate. Counts only stops beyond {@link #TOLERATED_STOP_MICROS}, each in full.
     */
    long stoppedMicros(int process, long fromMicros, long untilMicros) {
        long stoppedMicros = 0;
        for (ProcessorWait wait : processorWaits) {
            boolean overlaps = wait.fromMicros() <= untilMicros && wait.untilMicros() >= fromMicros;
            stoppedMicros += overlaps && wait.process() == process ? wait.waitedMicros() : 0;
        }
        for (MeasurementLag lag : measurementLags) {
            boolean overlaps = lag.fromMicros() <= untilMicros && lag.untilMicros() >= fromMicros;
            stoppedMicros += overlaps ? lag.untilMicros() - lag.fromMicros() : 0;
        }
        long stopMicros = NOT_STOPPED;
        for (ProcessEvent event : eventsByProcess.getOrDefault(process, List.of())) {
            if (event.type() == ProcessEventType.STOP_SENT && stopMicros == NOT_STOPPED) {
                stopMicros = event.atMicros();
            } else if (event.type() == ProcessEventType.CONTINUE_SENT && stopMicros != NOT_STOPPED) {
                long lengthMicros = event.atMicros() - stopMicros;
                boolean overlaps = stopMicros < untilMicros && event.atMicros() > fromMicros;
                stoppedMicros += overlaps && lengthMicros > TOLERATED_STOP_MICROS ? lengthMicros : 0;
                stopMicros = NOT_STOPPED;
            }
        }
        return stoppedMicros;
    }
}
