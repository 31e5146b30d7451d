package loadbalancer.proxy.discovery;

/** Why a call to discovery failed. */
enum CallFailure {
    TIMEOUT("timeout"),
    CONNECT_FAILED("connect_failed"),
    /** The connection was closed before a complete response, by discovery or because the response was too large. */
    CONNECTION_CLOSED("connection_closed"),
    UNEXPECTED_STATUS("unexpected_status"),
    /** The response is not valid HTTP. */
    MALFORMED_RESPONSE("malformed_response"),
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
