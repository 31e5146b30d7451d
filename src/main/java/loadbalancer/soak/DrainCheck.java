package loadbalancer.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.soak.History.DiscoveryTrouble;
import loadbalancer.soak.History.DiscoveryTroubleType;
import loadbalancer.soak.History.EndpointCall;
import loadbalancer.soak.History.ListChange;
import loadbalancer.soak.History.ListDelivery;
import loadbalancer.soak.History.ListedState;
import loadbalancer.soak.History.ProcessEvent;
import loadbalancer.soak.History.ProcessEventType;
import loadbalancer.soak.Violation.Rule;

/**
 * No request is sent to an endpoint later than the grace after its sidecar counts as notified that the endpoint drains
 * or is gone. Where lists are pushed, a sidecar counts as notified when its agent has the change, also if it is not
 * delivered. Where lists are asked for, and while the path to discovery is disturbed, it counts when the change is
 * delivered, at the latest 6 s after discovery had it and could be reached; after a reload 4 s after the signal. While
 * an agent answers late, a sidecar can't know a change before it is delivered, at the latest after 6 s; but one that
 * the agent had before the process started counts from the start.
 */
final class DrainCheck implements RuleCheck {
    private static final long NOTIFIED_AFTER_TROUBLE_MICROS = 6_000_000;
    private static final long NOTIFIED_AFTER_RELOAD_MICROS = 4_000_000;
    /** How long a disturbance that has ended may still keep a change from being delivered. */
    private static final long TROUBLE_AFTERMATH_MICROS = 6_000_000;

    @Override
    public void check(History history, HistoryIndex index, SoakSettings settings, List<Violation> violations) {
        Map<String, List<ListChange>> changesByAgentAndEndpoint = new HashMap<>();
        for (ListChange change : history.listChanges) {
            changesByAgentAndEndpoint
                    .computeIfAbsent(key(change.sidecar(), change.endpoint()), unused -> new ArrayList<>())
                    .add(change);
        }
        for (EndpointCall call : history.endpointCalls) {
            String key = key(index.sidecar(call.process()), call.endpoint());
            Violation violation =
                    violation(call, changesByAgentAndEndpoint.getOrDefault(key, List.of()), history, index, settings);
            if (violation != null) {
                violations.add(violation);
            }
        }
    }

    private static String key(int sidecar, String endpoint) {
        return sidecar + " " + endpoint;
    }

    /** Returns the violation by this call, or null. */
    private static Violation violation(
            EndpointCall call, List<ListChange> changes, History history, HistoryIndex index, SoakSettings settings) {
        ListChange latest = null;
        for (ListChange change : changes) {
            if (change.learnedMicros() <= call.firstByteMicros()) {
                latest = change;
            }
        }
        if (latest == null || latest.state() == ListedState.READY) {
            return null;
        }
        ListChange first = firstOfUnreadyRun(changes, latest);
        long notifiedMicros = notifiedMicros(call.process(), first, history, index, settings);
        long limitMicros = notifiedMicros
                + SoakSettings.DRAIN_GRACE_MICROS
                + HistoryChecker.SOCKET_SLACK_MICROS
                + index.stoppedMicros(call.process(), notifiedMicros, call.firstByteMicros());
        if (call.firstByteMicros() <= limitMicros) {
            return null;
        }
        return new Violation(
                Rule.DRAIN,
                call.firstByteMicros(),
                call.requestId(),
                "endpoint=%s is %s since generation %d, process=%d counts as notified at %.3fs"
                        .formatted(
                                call.endpoint(),
                                first.state(),
                                first.generation(),
                                call.process(),
                                notifiedMicros / 1e6));
    }

    /** Returns the change that ended the endpoint's last time as ready, up to and including {@code latest}. */
    private static ListChange firstOfUnreadyRun(List<ListChange> changes, ListChange latest) {
        ListChange first = null;
        for (ListChange change : changes) {
            if (change.state() == ListedState.READY) {
                first = null;
            } else if (first == null) {
                first = change;
            }
            if (change == latest) {
                break;
            }
        }
        return first;
    }

    private static long notifiedMicros(
            int process, ListChange change, History history, HistoryIndex index, SoakSettings settings) {
        long startedMicros = index.firstMicros(process, ProcessEventType.STARTED);
        long knownMicros = Math.max(change.learnedMicros(), startedMicros);
        long deliveredMicros = deliveredMicros(process, change, history);
        long latestMicros = settings.pushedDiscovery() ? knownMicros : knownMicros + NOTIFIED_AFTER_TROUBLE_MICROS;
        for (DiscoveryTrouble trouble : history.discoveryTroubles) {
            boolean concerns = trouble.type() == DiscoveryTroubleType.UNREACHABLE
                    && trouble.sidecar() == change.sidecar()
                    && trouble.fromMicros() <= knownMicros + SoakSettings.DRAIN_GRACE_MICROS
                    && knownMicros <= trouble.untilMicros() + TROUBLE_AFTERMATH_MICROS;
            if (concerns) {
                latestMicros = Math.max(
                        latestMicros, Math.max(knownMicros, trouble.untilMicros()) + NOTIFIED_AFTER_TROUBLE_MICROS);
            }
        }
        if (change.learnedMicros() > startedMicros && isSlow(change, history)) {
            latestMicros = Math.max(latestMicros, knownMicros + NOTIFIED_AFTER_TROUBLE_MICROS);
        }
        for (ProcessEvent hangUp : index.events(process, ProcessEventType.HANG_UP_SENT)) {
            long afterReloadMicros = hangUp.atMicros() + NOTIFIED_AFTER_RELOAD_MICROS;
            boolean concerns = hangUp.atMicros() <= knownMicros + SoakSettings.DRAIN_GRACE_MICROS
                    && knownMicros <= afterReloadMicros;
            if (concerns) {
                latestMicros = Math.max(latestMicros, afterReloadMicros);
            }
        }
        return Math.min(latestMicros, Math.max(knownMicros, deliveredMicros));
    }

    /** Returns whether the agent answered late when it learned the change. */
    private static boolean isSlow(ListChange change, History history) {
        return history.discoveryTroubles.stream()
                .filter(trouble -> trouble.type() == DiscoveryTroubleType.SLOW)
                .anyMatch(slowness -> slowness.sidecar() == change.sidecar()
                        && slowness.fromMicros() <= change.learnedMicros() + SoakSettings.DRAIN_GRACE_MICROS
                        && change.learnedMicros() <= slowness.untilMicros());
    }

    /** Returns when the change, or a later one, was first written to the process. */
    private static long deliveredMicros(int process, ListChange change, History history) {
        long deliveredMicros = Long.MAX_VALUE;
        for (ListDelivery delivery : history.listDeliveries) {
            if (delivery.process() == process && delivery.generation() >= change.generation()) {
                deliveredMicros = Math.min(deliveredMicros, delivery.writtenMicros());
            }
        }
        return deliveredMicros;
    }
}
