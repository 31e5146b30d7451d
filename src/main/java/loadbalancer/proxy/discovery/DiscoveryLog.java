package loadbalancer.proxy.discovery;

import loadbalancer.decision.EndpointState;
import loadbalancer.proxy.observability.LogRateLimit;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.protocol.EndpointList;

/**
 * Logs what a {@link DiscoveryWatch} receives: each list that it applies or refuses, and the failures of calls. The
 * lines of each event are limited in rate. Confined to the event loop of its watch.
 */
final class DiscoveryLog {
    private static final int MAX_LINES_PER_SECOND = 5;

    private final LogRateLimit appliedLists = new LogRateLimit(MAX_LINES_PER_SECOND);
    private final LogRateLimit repeatedFailures = new LogRateLimit(1);

    /** Logs a list that is applied. A delta without changes is not logged. */
    void listApplied(long nowMicros, EndpointList list) {
        boolean unchanged = !list.fullSnapshot() && list.entries().isEmpty();
        if (!unchanged && appliedLists.allowsLine(nowMicros)) {
            SidecarLog.info("endpoint_list_applied " + describe(list) + appliedLists.suppressedLines());
        }
    }

    /** Logs the first of consecutive failures of calls, and of the further failures at most one in each second. */
    void callFailed(long nowMicros, CallFailure failure, String detail, int consecutiveFailures) {
        if (consecutiveFailures == 1 || repeatedFailures.allowsLine(nowMicros)) {
            SidecarLog.info("discovery_call_failed reason=" + failure.logName() + (detail.isEmpty() ? "" : " " + detail)
                    + " consecutive_failures=" + consecutiveFailures + repeatedFailures.suppressedLines());
        }
    }

    /** Logs that the list of the configuration is used although discovery has not confirmed it. */
    void waitForFirstListEnded(long waitedMillis, int failedCalls, EndpointList initialList) {
        SidecarLog.info("endpoint_list_unconfirmed waited_millis=" + waitedMillis + " failed_calls=" + failedCalls + " "
                + describe(initialList));
    }

    void recovered(int failedCalls) {
        SidecarLog.info("discovery_recovered failed_calls=" + failedCalls);
    }

    /** Returns the generation, the type and the number of entries in each state, as keys and values. */
    static String describe(EndpointList list) {
        return "generation=" + list.generation() + " full_snapshot=" + list.fullSnapshot() + " ready="
                + count(list, EndpointState.READY) + " draining=" + count(list, EndpointState.DRAINING) + " removed="
                + count(list, EndpointState.REMOVED);
    }

    private static int count(EndpointList list, EndpointState state) {
        int count = 0;
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.endpoint().state() == state) {
                count++;
            }
        }
        return count;
    }
}
