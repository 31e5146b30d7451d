package loadbalancer.decision;

/**
 * Decides when idle connections to an endpoint are closed: when it drains, and before a use after they have been idle
 * for longer than the network seems to keep them. A failure on a connection that was idle for long is blamed on the
 * connection, not on the endpoint. It sets a limit; connections that were idle for longer than the limit are closed
 * before use, until no such failure has been seen for a while.
 */
final class IdleConnectionPolicy {
    /** A connection idle for less than this is not suspected of having been dropped. */
    private static final long MIN_LIMIT_MICROS = 200_000;

    /** The limit is doubled when it has not been confirmed for this long. */
    private static final long FORGET_MICROS = 5_000_000;
    /** For this long, a connection that worked after being idle shows that others are kept as well. */
    private static final long KEPT_MICROS = 3_000_000;

    private final PolicySettings settings;
    private final LoadBalancerActions actions;
    /** Longest idle time after which a connection is used; the maximum value stands for no limit. */
    private long limitMicros = Long.MAX_VALUE;

    private long limitSetMicros;
    /** Longest idle time after which a connection has recently worked, and when it did. */
    private long keptIdleMicros;

    private long keptSeenMicros;
    /** When an attempt of this sidecar last failed on a connection that was idle for long. */
    private long locallyObservedMicros = RateMath.NEVER_MICROS;

    /** When this sidecar's connections to an endpoint were last used. */
    static final class ConnectionUse {
        /** 0 where no connection was used yet. */
        private long lastUsedMicros;

        /** Forgets the connections to an earlier process. */
        void reset() {
            lastUsedMicros = 0;
        }
    }

    IdleConnectionPolicy(PolicySettings settings, LoadBalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
    }

    /**
     * Closes the idle connections to an endpoint that is not ready, if the rules ask for it and there were any. Called
     * when the endpoint list says so and after each later outcome there. An endpoint that is missing from the list is
     * treated alike, since its drain may have gone unnoticed.
     */
    void closeIfDraining(TrackedEndpoint endpoint) {
        boolean used = endpoint.connections.lastUsedMicros > 0;
        if (settings.rules().closeOnDrainMicros() > 0 && !endpoint.isReady() && used) {
            actions.closeIdleConnections(endpoint.id());
        }
    }

    /**
     * Prepares a send: closes the endpoint's idle connections if the network may have dropped them.
     *
     * @return how long the connection has been idle; 0 where it is in use or will be new
     */
    long prepareSend(long nowMicros, TrackedEndpoint endpoint) {
        long idleMicros = nowMicros - endpoint.connections.lastUsedMicros;
        if (endpoint.localInFlight() > 0 || idleMicros > settings.limits().connectionIdleTimeoutMicros()) {
            idleMicros = 0;
        }
        if (idleMicros >= limitMicros) {
            actions.closeIdleConnections(endpoint.id());
            idleMicros = 0;
        }
        recordUse(nowMicros, endpoint);
        return idleMicros;
    }

    /** Notes that a connection to the endpoint was in use until now. */
    void recordUse(long nowMicros, TrackedEndpoint endpoint) {
        endpoint.connections.lastUsedMicros = nowMicros;
    }

    /**
     * Learns from an outcome.
     *
     * @return whether the failure is blamed on the connection, so that it says nothing about the endpoint
     */
    boolean recordOutcome(long nowMicros, Attempt attempt, AttemptOutcome outcome) {
        relaxLimit(nowMicros);
        long idleMicros = attempt.connectionIdleMicros();
        if (outcome == AttemptOutcome.OK) {
            recordKeptConnection(nowMicros, idleMicros);
        }
        if (!settings.usesSubset() || idleMicros < MIN_LIMIT_MICROS || !isSuspect(nowMicros, idleMicros, outcome)) {
            return false;
        }
        locallyObservedMicros = nowMicros;
        lowerLimit(nowMicros, withMargin(idleMicros));
        return true;
    }

    private void recordKeptConnection(long nowMicros, long idleMicros) {
        boolean keptIsOld = nowMicros - keptSeenMicros > KEPT_MICROS;
        if (idleMicros >= keptIdleMicros || keptIsOld) {
            keptIdleMicros = idleMicros;
            keptSeenMicros = nowMicros;
        }
    }

    /** The limit that follows from a connection dropped after this idle time. */
    private static long withMargin(long idleMicros) {
        return idleMicros * 3 / 4;
    }

    /** Whether the connection may be at fault: on a reset, or on a timeout unless one idle about as long was kept. */
    private boolean isSuspect(long nowMicros, long idleMicros, AttemptOutcome outcome) {
        boolean kept = nowMicros - keptSeenMicros < KEPT_MICROS && withMargin(idleMicros) <= keptIdleMicros;
        return outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.TIMEOUT && !kept;
    }

    /** Doubles a limit that has not been confirmed for a while; beyond the idle timeout it is removed. */
    private void relaxLimit(long nowMicros) {
        if (limitMicros == Long.MAX_VALUE || nowMicros - limitSetMicros <= FORGET_MICROS) {
            return;
        }
        limitSetMicros = nowMicros;
        boolean beyondTimeout = limitMicros > settings.limits().connectionIdleTimeoutMicros();
        limitMicros = beyondTimeout ? Long.MAX_VALUE : limitMicros * 2;
    }

    /** Lowers the limit to the observed one, from here or from another sidecar, and counts as a confirmation. */
    void lowerLimit(long nowMicros, long observedMicros) {
        limitMicros = Math.min(limitMicros, Math.max(MIN_LIMIT_MICROS, observedMicros));
        limitSetMicros = nowMicros;
    }

    boolean hasLimit() {
        return limitMicros < Long.MAX_VALUE;
    }

    long limitMicros() {
        return limitMicros;
    }

    /** The limit to send in gossip; 0 without a recent local failure, since a limit passed on would never expire. */
    long locallyObservedLimitMicros(long nowMicros) {
        return nowMicros - locallyObservedMicros < FORGET_MICROS ? limitMicros : 0;
    }
}
