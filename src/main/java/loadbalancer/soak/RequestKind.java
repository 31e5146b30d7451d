package loadbalancer.soak;

/**
 * A request class of the soak.
 *
 * @param name name in the settings and on the wire
 * @param idempotency which repeats are allowed
 * @param weight relative frequency
 * @param workMicros processing time on one core of a warm endpoint
 * @param deadlineMicros how long clients wait at most
 */
record RequestKind(String name, Idempotency idempotency, int weight, long workMicros, long deadlineMicros) {
    /** Whether a request may run more than once. */
    enum Idempotency {
        SAFE("safe"),
        KEYED("keyed"),
        UNSAFE("unsafe");

        final String settingsName;

        Idempotency(String settingsName) {
            this.settingsName = settingsName;
        }
    }

    String method() {
        return idempotency == Idempotency.SAFE ? "GET" : "POST";
    }
}
