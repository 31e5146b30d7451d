package loadbalancer.decision;

/**
 * Decides when idle connections to an endpoint are closed: where it drains, and before they are used after longer than
 * the network seems to keep them. An attempt that fails on a connection long idle tells of the connection, not of the
 * endpoint; others idle as long are then closed before use, until no such failure was seen for a while.
 */
final class IdleConnectionGuard {
    /** A connection idle for less than this is not suspected of having been dropped. */
    private static final long MIN_LIMIT_MICROS = 200_000;

    private static final long FORGET_MICROS = 5_000_000;
    /** A connection that was kept tells of the others for this long. */
    private static final long KEPT_MICROS = 3_000_000;

    private final PolicySettings settings;
    private final LoadBalancerActions actions;
    private long limitMicros = Long.MAX_VALUE;
    private long limitSetMicros;
    private long keptIdleMicros;
    private long keptSeenMicros;
    private long locallySeenMicros = Long.MIN_VALUE / 2;

    /** When this sidecar's connections to an endpoint were last used. */
    static final class ConnectionUse {
        /** 0 where no connection was used yet. */
        private long lastUsedMicros;

        /** Forgets the connections to an earlier process. */
        void reset() {
            lastUsedMicros = 0;
        }
    }

    IdleConnectionGuard(PolicySettings settings, LoadBalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
    }

    /**
     * Closes idle connections to an endpoint that drains, at the notice and after each later outcome there; also where
     * it vanishes from the list, since a drain may have gone unseen.
     */
    void closeIfDraining(TrackedEndpoint endpoint) {
        boolean used = endpoint.connections.lastUsedMicros > 0;
        if (settings.rules().closeOnDrainMicros() > 0 && !endpoint.isReady() && used) {
            actions.closeIdleConnections(endpoint.id());
        }
    }

    /**
     * Prepares a send, and closes the endpoint's idle connections where they may have been dropped unseen.
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
        noteUse(nowMicros, endpoint);
        return idleMicros;
    }

    /** Notes that a connection to the endpoint was in use until now. */
    void noteUse(long nowMicros, TrackedEndpoint endpoint) {
        endpoint.connections.lastUsedMicros = nowMicros;
    }

    /** Learns from an outcome; true where a failure is the connection's and says nothing of the endpoint. */
    boolean isConnectionFailure(long nowMicros, Attempt attempt, AttemptOutcome outcome) {
        relaxLimit(nowMicros);
        long idleMicros = attempt.connectionIdleMicros();
        boolean keptIsOld = nowMicros - keptSeenMicros > KEPT_MICROS;
        if (outcome == AttemptOutcome.OK && (idleMicros >= keptIdleMicros || keptIsOld)) {
            keptIdleMicros = idleMicros;
            keptSeenMicros = nowMicros;
        }
        if (!settings.usesSubset() || idleMicros < MIN_LIMIT_MICROS || !isSuspect(nowMicros, idleMicros, outcome)) {
            return false;
        }
        locallySeenMicros = nowMicros;
        lowerLimit(nowMicros, idleMicros * 3 / 4);
        return true;
    }

    /** A time-out may come of overload; not so where no connection idle for as long was kept of late. */
    private boolean isSuspect(long nowMicros, long idleMicros, AttemptOutcome outcome) {
        boolean kept = nowMicros - keptSeenMicros < KEPT_MICROS && idleMicros * 3 / 4 <= keptIdleMicros;
        return outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.TIMEOUT && !kept;
    }

    /** Doubles the limit when it has not been confirmed for a while, up to none. */
    private void relaxLimit(long nowMicros) {
        if (limitMicros == Long.MAX_VALUE || nowMicros - limitSetMicros <= FORGET_MICROS) {
            return;
        }
        limitSetMicros = nowMicros;
        boolean beyondTimeout = limitMicros > settings.limits().connectionIdleTimeoutMicros();
        limitMicros = beyondTimeout ? Long.MAX_VALUE : limitMicros * 2;
    }

    /** Takes notice of a limit, found here or by a peer. */
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

    /** The limit for gossip, or 0: only local failures are passed on, or a limit would circulate for ever. */
    long locallySeenLimitMicros(long nowMicros) {
        return nowMicros - locallySeenMicros < FORGET_MICROS ? limitMicros : 0;
    }
}
