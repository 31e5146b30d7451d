package loadbalancer.proxy.discovery;

/** Why a call to discovery has failed. */
enum CallFailure {
    TIMEOUT("timeout"),
    CONNECT_FAILED("connect_failed"),
    CONNECTION_CLOSED("connection_closed"),
    UNEXPECTED_STATUS("unexpected_status"),
    /** The body is no endpoint list, or one that can't follow the list known so far. */
    MALFORMED_LIST("malformed_list");

    private final String logName;

    CallFailure(String logName) {
        this.logName = logName;
    }

    String logName() {
        return logName;
    }
}
