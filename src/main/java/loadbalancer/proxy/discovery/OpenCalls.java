package loadbalancer.proxy.discovery;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;

/**
 * The calls to discovery that may still be answered: at most one in flight, and overdue ones, which have timed out. A
 * list that arrives slowly is still used unless a call that was started later has been answered in the meantime.
 * Confined to the event loop of the {@link DiscoveryClient}.
 */
final class OpenCalls {
    /** Enough for the calls of the last 6 s, the time within which missed changes must be known. */
    static final int MAX_OVERDUE_CALLS = 8;

    /** Null if no call is in flight. */
    private DiscoveryCall callInFlight;
    /** In the order of their starts. All were started before the call in flight. */
    private final List<DiscoveryCall> overdueCalls = new ArrayList<>();

    boolean hasCallInFlight() {
        return callInFlight != null;
    }

    /** Returns the call in flight, or null if there is none. */
    DiscoveryCall callInFlight() {
        return callInFlight;
    }

    /** Adds a call in flight. Must not be called while there is one. */
    void start(DiscoveryCall call) {
        callInFlight = call;
    }

    boolean isInFlight(DiscoveryCall call) {
        return call == callInFlight;
    }

    boolean contains(DiscoveryCall call) {
        return call == callInFlight || overdueCalls.contains(call);
    }

    /** Returns the open call that uses this connection, or null if there is none. */
    DiscoveryCall callOn(Channel connection) {
        if (callInFlight != null && callInFlight.connection == connection) {
            return callInFlight;
        }
        for (DiscoveryCall call : overdueCalls) {
            if (call.connection == connection) {
                return call;
            }
        }
        return null;
    }

    /**
     * Makes the call in flight overdue. If there are too many overdue calls then, abandons the second oldest. The
     * oldest one is the next that a very slow discovery answers. The latest ones are those that it answers after an
     * outage, in which it may have lost all earlier ones.
     */
    void makeCallInFlightOverdue() {
        overdueCalls.add(callInFlight);
        callInFlight = null;
        if (overdueCalls.size() > MAX_OVERDUE_CALLS) {
            overdueCalls.remove(1).abandon();
        }
    }

    /** Abandons one open call. */
    void abandon(DiscoveryCall call) {
        call.abandon();
        if (call == callInFlight) {
            callInFlight = null;
        } else {
            overdueCalls.remove(call);
        }
    }

    /**
     * Removes a call that has received its response, and abandons the calls that were started earlier: their responses
     * would be older. Those that were started later may bring a change that this one does not have.
     */
    void complete(DiscoveryCall call) {
        call.timer.cancel(false);
        if (call == callInFlight) {
            callInFlight = null;
            abandonOverdueCalls();
            return;
        }
        while (overdueCalls.get(0) != call) {
            overdueCalls.remove(0).abandon();
        }
        overdueCalls.remove(0);
    }

    /** Abandons all calls. */
    void abandonAll() {
        if (callInFlight != null) {
            abandon(callInFlight);
        }
        abandonOverdueCalls();
    }

    private void abandonOverdueCalls() {
        overdueCalls.forEach(DiscoveryCall::abandon);
        overdueCalls.clear();
    }

    /** Marks the overdue calls as calls to a previous address, and abandons those that are not for a full snapshot. */
    void keepFullSnapshotsOfPreviousAddress() {
        for (DiscoveryCall call : List.copyOf(overdueCalls)) {
            call.toPreviousAddress = true;
            if (!EndpointListCursor.isFullSnapshotTarget(call.requestTarget)) {
                abandon(call);
            }
        }
    }
}
