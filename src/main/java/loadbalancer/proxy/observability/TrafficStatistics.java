package loadbalancer.proxy.observability;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.decision.AttemptOutcome;

/** Counts the traffic since the previous {@code totals} line of the log. Confined to the event loop. */
public final class TrafficStatistics {
    private final Map<AttemptOutcome, Integer> attemptsByOutcome = new EnumMap<>(AttemptOutcome.class);
    /** Counts by request class, because the sums can look good although one class is hardly served. */
    private final Map<String, ClassCounts> countsByRequestClass = new TreeMap<>();

    private int failedRequests;
    private int disconnectedClients;
    private int firstAttempts;
    private long totalQueuedMicros;
    private long maxQueuedMicros;
    private int clientConnectionsAccepted;
    private int upstreamConnectionsOpened;
    private long maxLagMicros;

    private static final class ClassCounts {
        int accepted;
        int served;
        int rejected;
    }

    private ClassCounts countsOf(String requestClass) {
        return countsByRequestClass.computeIfAbsent(requestClass, name -> new ClassCounts());
    }

    /** Counts a valid request that a client has sent. */
    public void requestAccepted(String requestClass) {
        countsOf(requestClass).accepted++;
    }

    /** Counts a request that was completed with the response of an endpoint. */
    public void requestServed(String requestClass) {
        countsOf(requestClass).served++;
    }

    /** Counts a request that was completed with a rejection, which states that no endpoint has executed the request. */
    public void requestRejected(String requestClass) {
        countsOf(requestClass).rejected++;
    }

    /** Counts a request that was completed with an error, which does not state whether an endpoint has executed it. */
    public void requestFailed() {
        failedRequests++;
    }

    /** Counts a client that closed its connection before it received the response to its request. */
    public void clientDisconnected() {
        disconnectedClients++;
    }

    /** Counts the first attempt of a request, which was started {@code queuedMicros} after the request was accepted. */
    public void firstAttemptStarted(long queuedMicros) {
        firstAttempts++;
        totalQueuedMicros += queuedMicros;
        maxQueuedMicros = Math.max(maxQueuedMicros, queuedMicros);
    }

    /** Counts an attempt that has ended. */
    public void attemptCompleted(AttemptOutcome outcome) {
        attemptsByOutcome.merge(outcome, 1, Integer::sum);
    }

    /** Counts a client connection that was accepted. */
    public void clientConnectionAccepted() {
        clientConnectionsAccepted++;
    }

    /** Counts an upstream connection that is being opened, whether or not it gets established. */
    public void upstreamConnectionOpened() {
        upstreamConnectionsOpened++;
    }

    /** Records that the event loop, and thereby every response in that time, was late by {@code lagMicros}. */
    public void recordEventLoopLag(long lagMicros) {
        maxLagMicros = Math.max(maxLagMicros, lagMicros);
    }

    /** Returns a log line with all counts and resets the counts. Returns null if there was no traffic. */
    public String summarizeAndReset(int openRequestCount, int clientConnectionCount, int upstreamConnectionCount) {
        if (countsByRequestClass.isEmpty()
                && clientConnectionsAccepted + upstreamConnectionsOpened + openRequestCount == 0) {
            maxLagMicros = 0;
            return null;
        }
        String line = summary(openRequestCount, clientConnectionCount, upstreamConnectionCount);
        reset();
        return line;
    }

    private String summary(int openRequestCount, int clientConnectionCount, int upstreamConnectionCount) {
        StringBuilder line = new StringBuilder("totals");
        countsByRequestClass.forEach((name, counts) -> line.append(" class=")
                .append(name)
                .append(" accepted=")
                .append(counts.accepted)
                .append(" served=")
                .append(counts.served)
                .append(" rejected=")
                .append(counts.rejected));
        line.append(" failed=").append(failedRequests);
        line.append(" client_disconnected=").append(disconnectedClients);
        line.append(" open_requests=").append(openRequestCount);
        line.append(" queued_mean_micros=").append(totalQueuedMicros / Math.max(1, firstAttempts));
        line.append(" queued_max_micros=").append(maxQueuedMicros);
        line.append(" client_connections=").append(clientConnectionCount);
        line.append(" client_connections_accepted=").append(clientConnectionsAccepted);
        line.append(" upstream_connections=").append(upstreamConnectionCount);
        line.append(" upstream_connections_opened=").append(upstreamConnectionsOpened);
        line.append(" lag_max_millis=").append(maxLagMicros / 1000);
        attemptsByOutcome.forEach((outcome, attempts) ->
                line.append(" outcome=").append(outcome).append(" attempts=").append(attempts));
        return line.toString();
    }

    private void reset() {
        attemptsByOutcome.clear();
        countsByRequestClass.clear();
        failedRequests = 0;
        disconnectedClients = 0;
        firstAttempts = 0;
        totalQueuedMicros = 0;
        maxQueuedMicros = 0;
        clientConnectionsAccepted = 0;
        upstreamConnectionsOpened = 0;
        maxLagMicros = 0;
    }
}
