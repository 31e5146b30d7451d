package loadbalancer.decision;

/**
 * Estimates how many requests an endpoint holds: the local attempts in flight, plus the requests of other sidecars
 * according to the endpoint's last load report, minus those that it can have served since, plus an additional load
 * while a response is late. This is the load that HALO_PoD compares (section IV-C).
 */
final class LoadEstimator {
    /** An attempt without a response after this many times its forecast response time counts as additional load. */
    private static final double STALL_RATIO = 2;

    private final WorkEstimator work;

    /** The load derived from an endpoint's last load report, or the load limit if it was assumed to be full since. */
    static final class ReportedLoad {
        private int lostAttempts;
        private double remoteInFlight;
        private long reportedMicros = RateMath.NEVER_MICROS;

        /** Returns the number of local attempts in flight that the endpoint did not hold at its last load report. */
        int lostAttempts() {
            return lostAttempts;
        }

        /**
         * Returns when the endpoint last reported its load or was last assumed to be full;
         * {@link RateMath#NEVER_MICROS} if neither has happened.
         */
        long reportedMicros() {
            return reportedMicros;
        }
    }

    LoadEstimator(WorkEstimator work) {
        this.work = work;
    }

    /**
     * Returns the load limit, the maximum number of requests that an endpoint should hold: its number of cores plus the
     * square root of that number (square-root staffing rule).
     */
    static double maxLoad(double cores) {
        return cores + Math.sqrt(cores);
    }

    /** Returns the estimated number of requests that the endpoint holds. */
    double load(TrackedEndpoint endpoint, long nowMicros) {
        return localLoad(endpoint, nowMicros) + remoteLoad(endpoint, nowMicros) + stallLoad(endpoint, nowMicros);
    }

    /** Returns the number of local attempts in flight, without those that are reported or presumed lost. */
    private static int localLoad(TrackedEndpoint endpoint, long nowMicros) {
        int lost = Math.max(endpoint.reportedLoad.lostAttempts, endpoint.attempts.presumedLostCount(nowMicros));
        return Math.max(0, endpoint.localInFlight() - lost);
    }

    /** Returns the requests of other sidecars at the last report, minus those that can have been served since. */
    private double remoteLoad(TrackedEndpoint endpoint, long nowMicros) {
        ReportedLoad reported = endpoint.reportedLoad;
        double servedSinceReport = (nowMicros - reported.reportedMicros)
                * endpoint.machineType().cores()
                / (endpoint.speedFactor() * work.meanWorkMicros());
        return Math.max(0, reported.remoteInFlight - servedSinceReport);
    }

    /**
     * Returns the additional load, in requests, that is assumed while a response is late. A late local attempt is the
     * first sign that the endpoint is stalled. Returns 0 if the last load report showed lost attempts, because then the
     * late attempt is probably one of them.
     */
    private static double stallLoad(TrackedEndpoint endpoint, long nowMicros) {
        Attempt oldest = endpoint.attempts.oldestNotOvertaken();
        if (oldest == null || endpoint.reportedLoad.lostAttempts != 0) {
            return 0;
        }
        double stallExcessRatio =
                (nowMicros - oldest.sentMicros()) / oldest.forecast().responseMicros() - STALL_RATIO;
        return stallExcessRatio > 0 ? stallExcessRatio * endpoint.machineType().cores() : 0;
    }

    /** Handles a load report. Counts overdue attempts that the endpoint does not hold as lost on their connections. */
    void onReport(TrackedEndpoint endpoint, LoadReport report, long nowMicros) {
        long overdueCount = 0;
        for (Attempt attempt : endpoint.attempts.inSendOrder()) {
            if (attempt.isOverdue(nowMicros)) {
                overdueCount++;
            }
        }
        int localInFlight = endpoint.localInFlight();
        ReportedLoad reported = endpoint.reportedLoad;
        reported.lostAttempts =
                (int) Math.min(overdueCount, Math.max(0, localInFlight - Math.round(report.inFlight())));
        reported.remoteInFlight = Math.max(0, report.inFlight() - localInFlight);
        reported.reportedMicros = nowMicros;
    }

    /**
     * Assumes that the endpoint holds at least as many requests as its load limit. Called after a rejection and after a
     * health check reply without a load report.
     */
    void assumeFull(TrackedEndpoint endpoint, long nowMicros) {
        double fullLoad = Math.max(
                load(endpoint, nowMicros), maxLoad(endpoint.machineType().cores()));
        endpoint.reportedLoad.remoteInFlight = fullLoad - endpoint.localInFlight();
        endpoint.reportedLoad.reportedMicros = nowMicros;
    }
}
