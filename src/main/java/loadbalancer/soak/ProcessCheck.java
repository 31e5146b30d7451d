package loadbalancer.soak;

import java.util.List;
import loadbalancer.soak.History.FaultLine;
import loadbalancer.soak.History.ProcessEvent;
import loadbalancer.soak.History.ProcessEventType;
import loadbalancer.soak.History.ResourceSample;
import loadbalancer.soak.Violation.Rule;

/**
 * Each sidecar is ready in time, ends only when it is told to, logs no fault of the program, and keeps to its limits of
 * descriptors and memory.
 */
final class ProcessCheck implements RuleCheck {
    static final long READY_LIMIT_MICROS = 10_000_000;

    @Override
    public void check(History history, HistoryIndex index, SoakSettings settings, List<Violation> violations) {
        for (int process : index.processes()) {
            checkStart(process, index, violations);
            checkExit(process, index, violations);
        }
        for (ResourceSample sample : history.resourceSamples) {
            if (sample.descriptors() > SoakSettings.DESCRIPTOR_LIMIT
                    || sample.residentBytes() > SoakSettings.MEMORY_LIMIT_BYTES) {
                violations.add(new Violation(Rule.RESOURCES, sample.atMicros(), "", sample.toString()));
            }
        }
        for (FaultLine line : history.faultLines) {
            violations.add(new Violation(Rule.PROCESS, 0, "", "process=" + line.process() + " logged: " + line.line()));
        }
    }

    private static void checkStart(int process, HistoryIndex index, List<Violation> violations) {
        long startedMicros = index.firstMicros(process, ProcessEventType.STARTED);
        long readyMicros = index.firstMicros(process, ProcessEventType.READY);
        long endMicros = Math.min(
                index.firstMicros(process, ProcessEventType.KILL_SENT),
                index.firstMicros(process, ProcessEventType.TERMINATE_SENT));
        long limitMicros =
                startedMicros + READY_LIMIT_MICROS + index.stoppedMicros(process, startedMicros, readyMicros);
        if (readyMicros > limitMicros && endMicros > limitMicros) {
            violations.add(
                    new Violation(Rule.PROCESS, limitMicros, "", "process=" + process + " is not ready in time"));
        }
    }

    private static void checkExit(int process, HistoryIndex index, List<Violation> violations) {
        for (ProcessEvent exit : index.events(process, ProcessEventType.EXITED)) {
            boolean killed = index.firstMicros(process, ProcessEventType.KILL_SENT) <= exit.atMicros();
            boolean terminated = index.firstMicros(process, ProcessEventType.TERMINATE_SENT) <= exit.atMicros();
            if (!killed && !(terminated && exit.exitCode() == 0)) {
                violations.add(new Violation(
                        Rule.PROCESS,
                        exit.atMicros(),
                        "",
                        "process=" + process + " exited with code " + exit.exitCode()));
            }
        }
    }
}
