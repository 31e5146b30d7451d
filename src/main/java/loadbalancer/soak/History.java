package loadbalancer.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The record of one run. Times are in microseconds since its start. Confined to the event loop of the run. */
final class History {
    /** How a client's request ended. */
    enum ClientOutcome {
        RESPONSE,
        /** The sidecar closed the connection without a response. */
        CONNECTION_CLOSED,
        /** The client closed the connection. */
        CLIENT_LEFT,
        /** Neither a response nor a close until the end of the run. */
        PENDING
    }

    /**
     * A request that a client has sent completely.
     *
     * @param process number of the sidecar process to which it was sent, counted over all starts
     * @param connection number of the connection, unique in the run
     * @param newConnection whether it was the first request of its connection
     * @param status status of the response; 0 without one
     * @param body body of the response; empty without one
     */
    record ClientRequest(
            String id,
            RequestKind kind,
            int process,
            int connection,
            boolean newConnection,
            long sentMicros,
            long remainingMicros,
            ClientOutcome outcome,
            long endedMicros,
            int status,
            String body) {
        long deadlineMicros() {
            return sentMicros + remainingMicros;
        }
    }

    /**
     * A request that has reached an endpoint.
     *
     * @param startedMicros when the endpoint's process started; tells restarts of one endpoint apart
     * @param firstByteMicros when the first byte arrived
     * @param takenMicros when the last byte had arrived
     * @param remainingMicros the time that the sidecar has passed on
     * @param executed whether the endpoint began to execute it, instead of turning it away
     * @param endedMicros when the endpoint wrote its response or the connection ended
     */
    record EndpointCall(
            String requestId,
            String endpoint,
            int cell,
            long startedMicros,
            int process,
            long firstByteMicros,
            long takenMicros,
            long remainingMicros,
            boolean executed,
            long endedMicros) {}

    /** State of an endpoint in the list. */
    enum ListedState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * A change of the list that an agent has.
     *
     * @param sidecar the sidecar whose agent it is
     * @param startedMicros the start of the endpoint's process, 0 if long ago
     */
    record ListChange(
            int sidecar, long generation, String endpoint, ListedState state, long startedMicros, long learnedMicros) {}

    /** A response of an agent that was written completely to a sidecar and contains all changes up to a generation. */
    record ListDelivery(int process, long generation, long writtenMicros) {}

    /** What disturbed discovery for one sidecar. */
    enum DiscoveryTroubleType {
        /** Discovery or the path to it could not be reached, or not in time. */
        UNREACHABLE,
        /** The agent answered late. */
        SLOW
    }

    /** A time in which discovery or the path to it was disturbed for one sidecar. */
    record DiscoveryTrouble(int sidecar, DiscoveryTroubleType type, long fromMicros, long untilMicros) {}

    /** What happened to a sidecar process. */
    enum ProcessEventType {
        STARTED,
        READY,
        TERMINATE_SENT,
        KILL_SENT,
        HANG_UP_SENT,
        STOP_SENT,
        CONTINUE_SENT,
        EXITED
    }

    /**
     * An event of a sidecar process.
     *
     * @param exitCode the exit code if the process has exited, otherwise 0
     */
    record ProcessEvent(int process, int sidecar, ProcessEventType type, long atMicros, int exitCode) {}

    /** A client that sends part of a request and stops; {@code endedMicros} is when it got its error or close. */
    record StalledClient(int process, long openedMicros, long endedMicros) {}

    /** A request that was sent again with the id of one that had been executed and whose client had left. */
    record RepeatedId(String id, int process, long sentMicros) {}

    /** Use of resources by a process at one time. */
    record ResourceSample(int process, long atMicros, int descriptors, long residentBytes) {}

    /** A time for which the event loop of the run was late, so that what it recorded may have happened earlier. */
    record MeasurementLag(long fromMicros, long untilMicros) {}

    /**
     * A time in which the event loop thread of a process was ready to run but got no processor, by the kernel's
     * account.
     *
     * @param waitedMicros for how long of that time it waited
     */
    record ProcessorWait(int process, long fromMicros, long untilMicros, long waitedMicros) {}

    /** A line of a sidecar's log that tells of a fault of the program. */
    record FaultLine(int process, String line) {}

    /** The ids of all requests that clients have begun to send. */
    final Set<String> sentRequestIds = new HashSet<>();

    final List<ClientRequest> clientRequests = new ArrayList<>();
    final List<EndpointCall> endpointCalls = new ArrayList<>();
    final List<ListChange> listChanges = new ArrayList<>();
    final List<ListDelivery> listDeliveries = new ArrayList<>();
    final List<DiscoveryTrouble> discoveryTroubles = new ArrayList<>();
    final List<ProcessEvent> processEvents = new ArrayList<>();
    final List<StalledClient> stalledClients = new ArrayList<>();
    final List<RepeatedId> repeatedIds = new ArrayList<>();
    final List<ResourceSample> resourceSamples = new ArrayList<>();
    final List<MeasurementLag> measurementLags = new ArrayList<>();
    final List<ProcessorWait> processorWaits = new ArrayList<>();
    final List<FaultLine> faultLines = new ArrayList<>();
    /** The body of each complete successful response that an endpoint has written, which contains the request id. */
    final Set<String> endpointBodies = new HashSet<>();
}
