package loadbalancer.soak;

/**
 * A broken rule.
 *
 * @param rule name of the rule
 * @param atMicros when it was broken, in microseconds since the start of the run
 * @param requestId the request, or an empty string if no request is concerned
 * @param detail what was found and what the rule allows
 */
record Violation(Rule rule, long atMicros, String requestId, String detail) {
    /** The rules that are checked. */
    enum Rule {
        LOST,
        WRONG_RESPONSE,
        DUPLICATE,
        REFUSAL,
        DRAIN,
        SLOW_START,
        DEADLINE,
        DISCONNECT,
        STALLED_CLIENT,
        PROCESS,
        RESOURCES
    }

    @Override
    public String toString() {
        String request = requestId.isEmpty() ? "" : " request=" + requestId;
        return "rule=%s at=%.3fs%s %s".formatted(rule, atMicros / 1e6, request, detail);
    }
}
