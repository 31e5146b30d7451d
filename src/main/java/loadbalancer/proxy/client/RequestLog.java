package loadbalancer.proxy.client;

import java.util.List;
import loadbalancer.proxy.observability.LogRateLimit;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.upstream.UpstreamCall;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;

/**
 * Logs why requests are retried, rejected or failed, with what is known about their attempts. The lines of each event
 * are limited in rate. Confined to the event loop.
 */
final class RequestLog {
    /** Why a request fails. */
    enum FailureReason {
        /** The load balancer has decided so, because another attempt is not allowed or not possible in time. */
        NO_FURTHER_ATTEMPT("no_further_attempt"),
        DEADLINE_PASSED("deadline_passed"),
        /** The load balancer has thrown an exception. */
        DECISION_FAILED("decision_failed");

        private final String logName;

        FailureReason(String logName) {
            this.logName = logName;
        }
    }

    private static final int MAX_LINES_PER_SECOND = 2;
    private static final long MICROS_PER_MILLI = 1_000;

    private final LogRateLimit retries = new LogRateLimit(MAX_LINES_PER_SECOND);
    private final LogRateLimit rejections = new LogRateLimit(MAX_LINES_PER_SECOND);
    private final LogRateLimit failures = new LogRateLimit(MAX_LINES_PER_SECOND);
    private final LogRateLimit lateResponses = new LogRateLimit(MAX_LINES_PER_SECOND);

    /** Logs an attempt after the first one. Called before the attempt is added to the exchange. */
    void retried(long nowMicros, RequestExchange exchange, String endpointId) {
        if (retries.allowsLine(nowMicros)) {
            SidecarLog.info("request_retried endpoint=" + endpointId + " " + describe(nowMicros, exchange)
                    + retries.suppressedLines());
        }
    }

    /** Logs a rejection. If there were no attempts, it is due to the expected load or to the lack of an endpoint. */
    void rejected(long nowMicros, RequestExchange exchange, UpstreamConnectionPool upstreamPool) {
        if (rejections.allowsLine(nowMicros)) {
            SidecarLog.info("request_rejected ready_endpoints=" + upstreamPool.readyEndpointCount() + " "
                    + describe(nowMicros, exchange) + rejections.suppressedLines());
        }
    }

    void failed(long nowMicros, RequestExchange exchange, FailureReason reason) {
        if (failures.allowsLine(nowMicros)) {
            SidecarLog.info("request_failed reason=" + reason.logName + " " + describe(nowMicros, exchange)
                    + failures.suppressedLines());
        }
    }

    /** Logs a final response that comes long after its deadline. */
    void late(long nowMicros, RequestExchange exchange) {
        if (lateResponses.allowsLine(nowMicros)) {
            SidecarLog.info(exchange.describeLateResponse(nowMicros) + lateResponses.suppressedLines());
        }
    }

    private static String describe(long nowMicros, RequestExchange exchange) {
        StringBuilder text = new StringBuilder("request=")
                .append(exchange.requestId())
                .append(" class=")
                .append(exchange.request().requestClassName())
                .append(" elapsed_millis=")
                .append((nowMicros - exchange.dispatchedMicros()) / MICROS_PER_MILLI)
                .append(" remaining_millis=")
                .append((exchange.deadlineMicros() - nowMicros) / MICROS_PER_MILLI);
        List<UpstreamCall> attempts = exchange.attempts();
        text.append(" attempts=").append(attempts.size());
        if (!attempts.isEmpty()) {
            UpstreamCall last = attempts.get(attempts.size() - 1);
            text.append(" last_endpoint=")
                    .append(last.endpointId())
                    .append(" last_outcome=")
                    .append(last.hasEnded() ? last.outcome() : "IN_FLIGHT");
        }
        return text.toString();
    }
}
