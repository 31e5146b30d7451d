package loadbalancer.decision;

/**
 * Decides when idle connections to an endpoint are closed: when the endpoint drains, and before a send if they have
 * been idle for longer than the network seems to keep idle connections open. A failure on a connection that was idle
 * for long is attributed to the connection, not to the endpoint, and sets an idle limit; this is done only if the
 * sidecar uses a subset of the endpoints. An idle limit that another sidecar sends in gossip is always applied.
 * Connections that were idle for at least the limit are closed before use. The limit is raised, and finally removed, if
 * no such failure is seen for a while.
 */
final class IdleConnectionPolicy {
    /** Lowest idle limit. A connection that was idle for less is not suspected of having been dropped. */
    private static final long MIN_LIMIT_MICROS = 200_000;

    /** The idle limit is doubled when no failure has confirmed it for this long. */
    private static final long LIMIT_VALID_MICROS = 5_000_000;
    /** When a connection has worked after an idle time, the network is assumed for this long to keep such ones open. */
    private static final long KEPT_OPEN_VALID_MICROS = 3_000_000;

    private final PolicySettings settings;
    private final LoadBalancerActions actions;
    /** A connection that was idle for at least this long is closed before use; the maximum value means no limit. */
    private long limitMicros = Long.MAX_VALUE;

    private long limitSetMicros;
    /** Longest idle time after which a connection has recently worked; 0 if none is known. */
    private long keptOpenIdleMicros;
    /** When a connection last worked after {@link #keptOpenIdleMicros}. */
    private long keptOpenSeenMicros;
    /** When an attempt of this sidecar last failed on a connection that was idle for long. */
    private long localFailureMicros = RateMath.NEVER_MICROS;

    /** When this sidecar's connections to an endpoint were last used. */
    static final class ConnectionUse {
        /** 0 if no connection has been used yet. */
        private long lastUsedMicros;

        /** Forgets the connections to a process that has been replaced. */
        void reset() {
            lastUsedMicros = 0;
        }
    }

    IdleConnectionPolicy(PolicySettings settings, LoadBalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
    }

    /**
     * Closes the idle connections to an endpoint that is not ready, if the settings require it and a connection has
     * been used. Called when an endpoint list arrives, and after each outcome of an attempt on the endpoint. An
     * endpoint that is missing from the list is treated like a draining one, because its drain may have gone unnoticed.
     */
    void closeIfDraining(TrackedEndpoint endpoint) {
        boolean used = endpoint.connections.lastUsedMicros > 0;
        if (settings.rules().closeOnDrainMicros() > 0 && !endpoint.isReady() && used) {
            actions.closeIdleConnections(endpoint.id());
        }
    }

    /**
     * Prepares to send an attempt: closes the endpoint's idle connections if the network may have dropped them.
     *
     * @return how long the connection has been idle; 0 if it is in use or will be new
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
     * Updates the idle limit from the outcome of an attempt.
     *
     * @return whether the outcome is a failure that is attributed to the connection and not to the endpoint; always
     *     false if the sidecar uses all endpoints
     */
    boolean recordOutcome(long nowMicros, Attempt attempt, AttemptOutcome outcome) {
        relaxLimit(nowMicros);
        long idleMicros = attempt.connectionIdleMicros();
        if (outcome == AttemptOutcome.OK) {
            recordKeptOpenConnection(nowMicros, idleMicros);
        }
        if (!settings.usesSubset() || idleMicros < MIN_LIMIT_MICROS || !isSuspect(nowMicros, idleMicros, outcome)) {
            return false;
        }
        localFailureMicros = nowMicros;
        lowerLimit(nowMicros, withMargin(idleMicros));
        return true;
    }

    private void recordKeptOpenConnection(long nowMicros, long idleMicros) {
        boolean keptOpenIsStale = nowMicros - keptOpenSeenMicros > KEPT_OPEN_VALID_MICROS;
        if (idleMicros >= keptOpenIdleMicros || keptOpenIsStale) {
            keptOpenIdleMicros = idleMicros;
            keptOpenSeenMicros = nowMicros;
        }
    }

    /** Returns the idle limit for a connection that was dropped after this idle time: three quarters of the time. */
    private static long withMargin(long idleMicros) {
        return idleMicros * 3 / 4;
    }

    /**
     * Returns whether the connection may have caused the outcome: a reset, or a timeout unless a connection that was
     * idle for about as long has recently worked.
     */
    private boolean isSuspect(long nowMicros, long idleMicros, AttemptOutcome outcome) {
        boolean keptOpen =
                nowMicros - keptOpenSeenMicros < KEPT_OPEN_VALID_MICROS && withMargin(idleMicros) <= keptOpenIdleMicros;
        return outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.TIMEOUT && !keptOpen;
    }

    /**
     * Doubles the idle limit if no failure has confirmed it for a while; removes it if it already exceeds the idle
     * timeout of the settings.
     */
    private void relaxLimit(long nowMicros) {
        if (limitMicros == Long.MAX_VALUE || nowMicros - limitSetMicros <= LIMIT_VALID_MICROS) {
            return;
        }
        limitSetMicros = nowMicros;
        boolean beyondTimeout = limitMicros > settings.limits().connectionIdleTimeoutMicros();
        limitMicros = beyondTimeout ? Long.MAX_VALUE : limitMicros * 2;
    }

    /**
     * Lowers the idle limit to one that this or another sidecar has observed. Also confirms the limit, even if the
     * observed one is higher.
     */
    void lowerLimit(long nowMicros, long observedMicros) {
        limitMicros = Math.min(limitMicros, Math.max(MIN_LIMIT_MICROS, observedMicros));
        limitSetMicros = nowMicros;
    }

    boolean hasLimit() {
        return limitMicros < Long.MAX_VALUE;
    }

    /** Returns the idle limit; {@link Long#MAX_VALUE} if there is none. */
    long limitMicros() {
        return limitMicros;
    }

    /**
     * Returns the idle limit to send in gossip; 0 if this sidecar has not seen a failure recently, because a limit that
     * sidecars only passed on to one another would never expire.
     */
    long limitForGossipMicros(long nowMicros) {
        return nowMicros - localFailureMicros < LIMIT_VALID_MICROS ? limitMicros : 0;
    }
}
