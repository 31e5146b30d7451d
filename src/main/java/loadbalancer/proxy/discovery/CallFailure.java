package loadbalancer.proxy.discovery;

/** Why a call to discovery failed. */
enum CallFailure {
    TIMEOUT("timeout"),
    CONNECT_FAILED("connect_failed"),
    /** The connection was closed before a complete response, by discovery or because the response was too large. */
    CONNECTION_CLOSED("connection_closed"),
    /** The status is not 200, or the response is not valid HTTP. */
    UNEXPECTED_STATUS("unexpected_status"),
    /** The body is not an endpoint list, or is a delta that can't be applied to the known list. */
    MALFORMED_LIST("malformed_list");

    private final String logName;

    CallFailure(String logName) {
        this.logName = logName;
    }

    String logName() {
        return logName;
    }
}
