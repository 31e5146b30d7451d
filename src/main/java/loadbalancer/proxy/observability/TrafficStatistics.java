package loadbalancer.proxy.observability;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.decision.AttemptOutcome;

/** Counts the traffic since the previous {@code totals} line of the log. Confined to the event loop. */
public final class TrafficStatistics {
    private final Map<AttemptOutcome, Integer> attemptOutcomes = new EnumMap<>(AttemptOutcome.class);
    /** Counted by request class, because the sum can look good while one class is hardly served. */
    private final Map<String, ClassCounts> requestClasses = new TreeMap<>();

    private int failed;
    private int disconnected;
    private int firstAttempts;
    private long queuedMicros;
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
        return requestClasses.computeIfAbsent(requestClass, name -> new ClassCounts());
    }

    /** A valid request was received from a client. */
    public void requestAccepted(String requestClass) {
        countsOf(requestClass).accepted++;
    }

    /** A request was answered with the response of an endpoint. */
    public void requestServed(String requestClass) {
        countsOf(requestClass).served++;
    }

    /** A request was answered with the promise that nothing has run. */
    public void requestRejected(String requestClass) {
        countsOf(requestClass).rejected++;
    }

    /** A request was answered with an error, and an attempt may have run. */
    public void requestFailed() {
        failed++;
    }

    /** A client closed its connection before its request was answered. */
    public void clientDisconnected() {
        disconnected++;
    }

    /** The first attempt of a request was started {@code queuedMicros} after the request was accepted. */
    public void firstAttemptStarted(long queuedMicros) {
        firstAttempts++;
        this.queuedMicros += queuedMicros;
        maxQueuedMicros = Math.max(maxQueuedMicros, queuedMicros);
    }

    /** An attempt has ended. */
    public void attemptCompleted(AttemptOutcome outcome) {
        attemptOutcomes.merge(outcome, 1, Integer::sum);
    }

    /** A connection of a client was accepted. */
    public void clientConnectionAccepted() {
        clientConnectionsAccepted++;
    }

    /** A connection to an endpoint was begun, whether or not it gets established. */
    public void upstreamConnectionOpened() {
        upstreamConnectionsOpened++;
    }

    /** The event loop was late by this much, and so was every response during that time. */
    public void eventLoopLag(long lagMicros) {
        maxLagMicros = Math.max(maxLagMicros, lagMicros);
    }

    /** Returns a log line with all counts and resets them; null if there was no traffic. */
    public String summarizeAndReset(int openRequests, int clientConnections, int upstreamConnections) {
        if (requestClasses.isEmpty() && clientConnectionsAccepted + upstreamConnectionsOpened + openRequests == 0) {
            maxLagMicros = 0;
            return null;
        }
        String line = summary(openRequests, clientConnections, upstreamConnections);
        reset();
        return line;
    }

    private String summary(int openRequests, int clientConnections, int upstreamConnections) {
        StringBuilder line = new StringBuilder("totals");
        requestClasses.forEach((name, counts) -> line.append(" class=")
                .append(name)
                .append(" accepted=")
                .append(counts.accepted)
                .append(" served=")
                .append(counts.served)
                .append(" rejected=")
                .append(counts.rejected));
        line.append(" failed=").append(failed);
        line.append(" client_disconnected=").append(disconnected);
        line.append(" open_requests=").append(openRequests);
        line.append(" queued_mean_micros=").append(queuedMicros / Math.max(1, firstAttempts));
        line.append(" queued_max_micros=").append(maxQueuedMicros);
        line.append(" client_connections=").append(clientConnections);
        line.append(" client_connections_accepted=").append(clientConnectionsAccepted);
        line.append(" upstream_connections=").append(upstreamConnections);
        line.append(" upstream_connections_opened=").append(upstreamConnectionsOpened);
        line.append(" lag_max_millis=").append(maxLagMicros / 1000);
        attemptOutcomes.forEach((outcome, attempts) ->
                line.append(" outcome=").append(outcome).append(" attempts=").append(attempts));
        return line.toString();
    }

    private void reset() {
        attemptOutcomes.clear();
        requestClasses.clear();
        failed = 0;
        disconnected = 0;
        firstAttempts = 0;
        queuedMicros = 0;
        maxQueuedMicros = 0;
        clientConnectionsAccepted = 0;
        upstreamConnectionsOpened = 0;
        maxLagMicros = 0;
    }
}
