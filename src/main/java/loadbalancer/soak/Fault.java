package loadbalancer.soak;

/**
 * One fault of a run.
 *
 * @param atMicros when it begins, in microseconds since all sidecars were ready
 * @param durationMicros how long it lasts, for types that last
 * @param sidecar the sidecar that it concerns, for types that concern one
 * @param endpoint the endpoint that it concerns, for types that concern one
 * @param variant a drawn number that types with variants use
 */
record Fault(Type type, long atMicros, long durationMicros, int sidecar, int endpoint, int variant) {
    /** The types of faults. */
    enum Type {
        /** The path from a sidecar to an endpoint is silent. */
        LINK_SILENT,
        LINK_DELAYED,
        LINK_RESET,
        LINK_REFUSED,
        /** All agents are silent and learn nothing. */
        DISCOVERY_DOWN,
        /** The path from a sidecar to its agent is silent. */
        WATCH_SILENT,
        WATCH_DELAYED,
        /** The agent ends the open watch without telling anything. */
        WATCH_ENDED,
        ENDPOINT_HANGS,
        ENDPOINT_SLOW,
        /** The process of an endpoint ends and returns in slow start. */
        ENDPOINT_CRASHES,
        /** The machine of an endpoint vanishes without a word, and returns in slow start. */
        ENDPOINT_VANISHES,
        ENDPOINT_DRAINS,
        /** Discovery removes an endpoint, which goes on to answer. */
        ENDPOINT_REMOVED,
        ALL_DRAIN,
        /** Discovery removes all endpoints, which go on to answer. */
        ALL_REMOVED,
        RESPONSES_BROKEN,
        RELOAD,
        RELOAD_TWICE,
        /** SIGTERM, SIGKILL at the earliest time, and a new start. */
        RESTART,
        /** SIGHUP, then a restart. */
        RESTART_IN_RELOAD,
        KILL,
        /** SIGSTOP and SIGCONT within the time for which the rules allow. */
        STOP_SHORT,
        STOP_LONG,
        CLIENT_CROWD,
        /** Many clients send most of a long request in pieces, stop and stay. */
        STALLED_CROWD,
        /** Many clients connect at once; half of them send nothing, the others a few bytes, and all stay. */
        HALF_WRITTEN_CROWD,
        /** Many clients send very short chunks and stay; some others leave behind much that is unread. */
        COSTLY_CROWD,
        /** One client sends small requests at full speed, all with new names. */
        CLIENT_FLOOD,
        /** The wall clock of all machines is stepped. */
        CLOCK_STEP_ALL,
        /** The wall clock of a sidecar is stepped. */
        CLOCK_STEP_ONE,
        SYSTEM_CALLS_FAIL,
        /** The agent of a sidecar answers late. */
        DISCOVERY_SLOW,
        /**
         * A sidecar is killed, an endpoint begins to drain, and the sidecar starts again with its list of before,
         * beside an agent that answers late.
         */
        RESTART_BESIDE_SLOW_DISCOVERY
    }
}
