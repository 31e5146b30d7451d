package loadbalancer.simulator;

import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.EndpointListType;
import loadbalancer.decision.EndpointState;

/**
 * Defines the message names and the codes of the simulator protocol and maps them to the terms of the code. The names
 * of settings and of the values in load reports are defined in {@link loadbalancer.input}.
 */
final class WireNames {
    // Delimiters of batches and replies.
    static final String BATCH_START = "MARK";
    static final String BATCH_END = "END";
    static final String REPLY_END = "OK";
    /** Names the instance of the events that follow. */
    static final String EVENT_INSTANCE = "INSTANCE";
    /** Names the instance of the actions that follow. */
    static final String ACTION_INSTANCE = "BY";

    // Events.
    static final String INSTANCE_STARTED = "ENLIST";
    static final String INSTANCE_STOPPED = "DOWN";
    /** Starts a numbered endpoint list, which belongs to no instance and which {@link #ENDPOINT_LIST} refers to. */
    static final String ENDPOINT_PAGE = "PAGE";

    static final String ENDPOINT_ROW = "ROW";
    static final String ENDPOINT_LIST = "ANNOUNCE";
    static final String REQUEST = "ACCEPT";
    static final String ATTEMPT_OUTCOME = "REPORT_BACK";
    static final String STREAM_STARTED = "OPENED";
    static final String HEALTH_CHECK_OUTCOME = "PROBED";
    static final String REQUEST_EXPIRED = "EXPIRED";
    static final String GOSSIP_RECEIVED = "MAIL";
    static final String TIMER_FIRED = "DEADLINE_HIT";

    // Actions.
    static final String SEND_ATTEMPT = "ASSIGN";
    static final String REJECT = "DENY";
    static final String FAIL = "FAIL";
    static final String CANCEL_ATTEMPT = "REVOKE";
    static final String CHECK_HEALTH = "SAMPLE";
    static final String POLL_ENDPOINTS = "TRACK 1";
    static final String SEND_GOSSIP = "WRITE_PEER";
    static final String CLOSE_IDLE_CONNECTIONS = "LET_GO";
    static final String START_TIMER = "SCHEDULE";
    static final String LOG = "TRACE";
    static final String INSTANCE_FAILED = "DIE";

    /** Stands for an absent value. */
    static final String ABSENT = "-";

    private WireNames() {}

    static AttemptOutcome attemptOutcome(String name) {
        return switch (name) {
            case "GOOD" -> AttemptOutcome.OK;
            case "BAD" -> AttemptOutcome.ERROR;
            case "FULL" -> AttemptOutcome.REJECTED;
            case "LATE" -> AttemptOutcome.TIMEOUT;
            case "NOCONN" -> AttemptOutcome.CONNECT_FAILED;
            case "RST" -> AttemptOutcome.RESET;
            case "CXL" -> AttemptOutcome.CANCELLED;
            case "NOP" -> AttemptOutcome.NOT_SENT;
            default -> throw new SimulatorProtocolException("unknown outcome '" + name + "'");
        };
    }

    static EndpointListType endpointListType(long code) {
        return switch ((int) code) {
            case 0 -> EndpointListType.FULL;
            case 2 -> EndpointListType.DELTA;
            case 3 -> EndpointListType.FAILED;
            case 4 -> EndpointListType.CACHED;
            default -> throw new SimulatorProtocolException(
                    "expected ANNOUNCE mode 0, 2, 3 or 4 but found '" + code + "'");
        };
    }

    static EndpointState endpointState(long code) {
        return switch ((int) code) {
            case 0 -> EndpointState.REMOVED;
            case 1 -> EndpointState.READY;
            case 2 -> EndpointState.DRAINING;
            default -> throw new SimulatorProtocolException(
                    "expected endpoint state 0, 1 or 2 but found '" + code + "'");
        };
    }
}
