package loadbalancer.decision;

/**
 * Estimates how many requests an endpoint holds: the local attempts in flight, and those of other sidecars according to
 * the endpoint's last load report, less what it can have served since. This is the load that HALO_PoD compares (section
 * IV-C).
 */
final class LoadEstimator {
    /** From this many times its forecast time on, an attempt without response counts as additional load. */
    private static final double STALL_RATIO = 2;

    private final WorkEstimator work;

    /** What an endpoint last reported of its load. */
    static final class ReportedLoad {
        private int lostAttempts;
        private double remoteInFlight;
        private long reportedMicros = RateMath.NEVER_MICROS;

        /** Local attempts that the endpoint did not hold. */
        int lostAttempts() {
            return lostAttempts;
        }

        /** When the endpoint last reported or was last assumed to be full. */
        long reportedMicros() {
            return reportedMicros;
        }
    }

    LoadEstimator(WorkEstimator work) {
        this.work = work;
    }

    /**
     * The most requests that an endpoint should hold: its cores and, by the rule of square-root staffing, their root.
     */
    static double maxLoad(double cores) {
        return cores + Math.sqrt(cores);
    }

    /** Estimated number of requests that the endpoint holds. */
    double load(TrackedEndpoint endpoint, long nowMicros) {
        return localLoad(endpoint, nowMicros) + remoteLoad(endpoint, nowMicros) + stallLoad(endpoint, nowMicros);
    }

    /** Local attempts in flight, without those that were lost on their way. */
    private static int localLoad(TrackedEndpoint endpoint, long nowMicros) {
        int lost = Math.max(endpoint.reportedLoad.lostAttempts, endpoint.attempts.presumedLostCount(nowMicros));
        return Math.max(0, endpoint.localInFlight() - lost);
    }

    /** Requests of other sidecars at the last report, less those that the endpoint can have served since. */
    private double remoteLoad(TrackedEndpoint endpoint, long nowMicros) {
        ReportedLoad report = endpoint.reportedLoad;
        double servedSinceReport = (nowMicros - report.reportedMicros)
                * endpoint.machineType().cores()
                / (endpoint.speedFactor() * work.meanWorkMicros());
        return Math.max(0, report.remoteInFlight - servedSinceReport);
    }

    /** Additional load for a late response, in requests: a stall of the endpoint shows in the local attempts first. */
    private static double stallLoad(TrackedEndpoint endpoint, long nowMicros) {
        Attempt oldest = endpoint.attempts.oldestNotOvertaken();
        if (oldest == null || endpoint.reportedLoad.lostAttempts != 0) {
            return 0;
        }
        double overdue = (nowMicros - oldest.sentMicros()) / oldest.forecast().responseMicros() - STALL_RATIO;
        return overdue > 0 ? overdue * endpoint.machineType().cores() : 0;
    }

    /** Handles a load report. Overdue attempts that the endpoint does not hold were lost on their connections. */
    void onReport(TrackedEndpoint endpoint, LoadReport report, long nowMicros) {
        long overdue = 0;
        for (Attempt attempt : endpoint.attempts.inSendOrder()) {
            if (attempt.isOverdue(nowMicros)) {
                overdue++;
            }
        }
        int local = endpoint.localInFlight();
        ReportedLoad reported = endpoint.reportedLoad;
        reported.lostAttempts = (int) Math.min(overdue, Math.max(0, local - Math.round(report.inFlight())));
        reported.remoteInFlight = Math.max(0, report.inFlight() - local);
        reported.reportedMicros = nowMicros;
    }

    /** Assumes at least the load limit, after a rejection or a health check whose reply holds no load report. */
    void assumeFull(TrackedEndpoint endpoint, long nowMicros) {
        double full = Math.max(
                load(endpoint, nowMicros), maxLoad(endpoint.machineType().cores()));
        endpoint.reportedLoad.remoteInFlight = full - endpoint.localInFlight();
        endpoint.reportedLoad.reportedMicros = nowMicros;
    }
}
