package loadbalancer.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.AttemptResult;
import loadbalancer.decision.LoadReport;
import loadbalancer.proxy.eventloop.FaultBarrier;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.upstream.UpstreamCall;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;

/**
 * Carries requests between clients, the load balancer and the upstream connections: reports each request and each
 * outcome of an attempt to the load balancer, carries out what that decides, and gives every request exactly one final
 * response. Where the load balancer fails or gives no response in time, the request fails here.
 *
 * <p>Confined to the event loop, as are the exchanges that it holds. Unknown request ids are ignored, because a
 * decision may arrive after the request has ended.
 */
public final class RequestDispatcher {
    /** How long after the deadline the load balancer may still respond; attempts time out at the deadline itself. */
    private static final long RESPONSE_GRACE_MICROS = 2_000;

    /** A response this long after the deadline is logged: it points to a fault of this program or of its machine. */
    private static final long LATE_RESPONSE_LOG_MICROS = 100_000;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final LoadBalancerExecutor loadBalancer;
    private final UpstreamConnectionPool upstreams;
    private int maxAttempts;
    private final TrafficStatistics statistics;
    /** Requests without a final response or with an attempt in flight, by id. */
    private final Map<String, RequestExchange> exchanges = new HashMap<>();
    /** Requests without a final response, the earliest deadline first. */
    private final TreeSet<RequestExchange> pendingResponses = new TreeSet<>(
            Comparator.comparingLong(RequestExchange::deadlineMicros).thenComparing(RequestExchange::requestId));
    /** Due when the first pending response is overdue, or earlier; null where no response is pending. */
    private Future<?> deadlineCheck;

    /**
     * Creates a dispatcher without requests.
     *
     * @param loop owns this object; all of its methods are called there
     * @param maxAttempts attempts of one request, at most; see {@link #updateMaxAttempts}
     */
    public RequestDispatcher(
            EventLoop loop,
            MonotonicClock clock,
            LoadBalancerExecutor loadBalancer,
            UpstreamConnectionPool upstreams,
            int maxAttempts,
            TrafficStatistics statistics) {
        this.loop = loop;
        this.clock = clock;
        this.loadBalancer = loadBalancer;
        this.upstreams = upstreams;
        this.maxAttempts = maxAttempts;
        this.statistics = statistics;
    }

    /** Sets how many attempts a request may have from now on; further ones end as not sent. */
    public void updateMaxAttempts(int attempts) {
        maxAttempts = attempts;
    }

    /** How many requests have no final response yet or an attempt in flight. */
    public int openRequests() {
        return exchanges.size();
    }

    boolean isOpen(String requestId) {
        return exchanges.containsKey(requestId);
    }

    /**
     * Takes over a request. Overdue responses are written first. A request whose own deadline has passed fails at once
     * and is not reported to the load balancer.
     */
    void dispatch(RequestExchange exchange) {
        failOverdueRequests();
        exchange.dispatchedAt(clock.nowMicros());
        statistics.requestAccepted(exchange.request().requestClass());
        if (exchange.dispatchedMicros() >= exchange.deadlineMicros()) {
            exchange.complete();
            statistics.requestFailed();
            exchange.responseHandler().onFailed();
            return;
        }
        exchanges.put(exchange.requestId(), exchange);
        pendingResponses.add(exchange);
        if (pendingResponses.first() == exchange) {
            scheduleDeadlineCheck();
        }
        loadBalancer.submit(
                "request", balancer -> balancer.onRequest(clock.nowMicros(), exchange.request()), () -> fail(exchange));
    }

    /** Ends a request without a response. An attempt that is already written ends by itself. */
    void clientDisconnected(RequestExchange exchange) {
        if (!exchange.isCompleted()) {
            statistics.clientDisconnected();
            complete(exchange);
            reportExpired(exchange);
        }
    }

    /**
     * Fails the requests whose deadline and grace have passed, the earliest deadline first. On a late event loop this
     * runs ahead of other work: a failure written now may still be in time, one behind a hundred requests is not.
     */
    void failOverdueRequests() {
        long nowMicros = clock.nowMicros();
        while (!pendingResponses.isEmpty() && overdueMicros(pendingResponses.first()) <= nowMicros) {
            failAndExpire(pendingResponses.pollFirst());
        }
    }

    private static long overdueMicros(RequestExchange exchange) {
        return exchange.deadlineMicros() + RESPONSE_GRACE_MICROS;
    }

    private void scheduleDeadlineCheck() {
        if (deadlineCheck != null) {
            deadlineCheck.cancel(false);
        }
        long delayMicros = overdueMicros(pendingResponses.first()) - clock.nowMicros();
        deadlineCheck = loop.schedule(this::checkDeadlines, delayMicros, TimeUnit.MICROSECONDS);
    }

    private void checkDeadlines() {
        deadlineCheck = null;
        FaultBarrier.run("overdue_responses", this::failOverdueRequests);
        if (!pendingResponses.isEmpty()) {
            scheduleDeadlineCheck();
        }
    }

    /** Fails the open requests that have no attempt in flight, after a fault in which their state may be lost. */
    public void failRequestsWithoutAttemptInFlight() {
        for (RequestExchange exchange : List.copyOf(exchanges.values())) {
            if (!exchange.hasAttemptInFlight()) {
                failAndExpire(exchange);
            }
        }
    }

    private void failAndExpire(RequestExchange exchange) {
        if (!exchange.isCompleted()) {
            fail(exchange);
            reportExpired(exchange);
        }
    }

    private void reportExpired(RequestExchange exchange) {
        loadBalancer.submit(
                "request_expired",
                balancer -> balancer.onRequestExpired(clock.nowMicros(), exchange.requestId()),
                () -> {});
    }

    /**
     * Starts an attempt of a request. One that is out of time, beyond the maximum or of a completed request is not sent
     * and ends as {@link AttemptOutcome#NOT_SENT}.
     *
     * @param untilMicros when to give the attempt up; 0 or less, and any time after it, stand for the deadline
     */
    public void sendAttempt(String requestId, String endpointId, long untilMicros) {
        RequestExchange exchange = exchanges.get(requestId);
        if (exchange == null) {
            return;
        }
        int number = exchange.attempts().size();
        long deadlineMicros = exchange.deadlineMicros();
        long giveUpMicros = untilMicros <= 0 ? deadlineMicros : Math.min(untilMicros, deadlineMicros);
        boolean sendable = !exchange.isCompleted() && number < maxAttempts && giveUpMicros > clock.nowMicros();
        UpstreamCall attempt = createAttempt(exchange, number, endpointId, giveUpMicros);
        if (number == 0) {
            statistics.firstAttemptStarted(clock.nowMicros() - exchange.dispatchedMicros());
        }
        exchange.attempts().add(attempt);
        if (sendable) {
            upstreams.startCall(attempt);
        } else {
            attempt.endUnsent(clock.nowMicros());
        }
    }

    private UpstreamCall createAttempt(RequestExchange exchange, int number, String endpointId, long giveUpMicros) {
        return UpstreamCall.attempt(
                endpointId,
                giveUpMicros,
                remainingMicros -> exchange.payload().toHttpRequest(exchange.requestId(), remainingMicros),
                (call, outcome, report, body) -> {
                    attemptEnded(exchange, call, outcome, body);
                    reportOutcome(exchange, number, report);
                });
    }

    /** {@code body} belongs to the caller and is set with {@link AttemptOutcome#OK} alone. */
    private void attemptEnded(RequestExchange exchange, UpstreamCall attempt, AttemptOutcome outcome, ByteBuf body) {
        attempt.noteEnd(clock.nowMicros());
        statistics.attemptCompleted(outcome);
        if (outcome == AttemptOutcome.OK && !exchange.isCompleted()) {
            statistics.requestServed(exchange.request().requestClass());
            complete(exchange);
            exchange.responseHandler().onServed(body.retain());
        }
        removeIfSettled(exchange);
    }

    private void reportOutcome(RequestExchange exchange, int number, LoadReport report) {
        long nowMicros = clock.nowMicros();
        UpstreamCall attempt = exchange.attempts().get(number);
        loadBalancer.submit(
                "attempt_outcome",
                balancer -> balancer.onAttemptOutcome(
                        nowMicros,
                        new AttemptResult(
                                exchange.requestId(),
                                number,
                                attempt.endpoint(),
                                attempt.outcome(),
                                nowMicros - attempt.sentMicros(),
                                exchange.isCompleted(),
                                report)),
                () -> failUnlessInFlight(exchange));
    }

    private void failUnlessInFlight(RequestExchange exchange) {
        if (!exchange.hasAttemptInFlight()) {
            fail(exchange);
        }
    }

    /** Gives up one attempt of a request; without effect where there is none of that number or it has ended. */
    public void cancelAttempt(String requestId, int number) {
        RequestExchange exchange = exchanges.get(requestId);
        if (exchange != null && number >= 0 && number < exchange.attempts().size()) {
            exchange.attempts().get(number).cancel();
        }
    }

    /** Rejects a request; {@code retryAfterMicros} is 0 where none is suggested. */
    public void reject(String requestId, long retryAfterMicros) {
        RequestExchange exchange = exchanges.get(requestId);
        if (exchange != null && !exchange.isCompleted()) {
            statistics.requestRejected(exchange.request().requestClass());
            complete(exchange);
            exchange.responseHandler().onRejected(retryAfterMicros);
        }
    }

    /** Responds to a request that it has failed. */
    public void fail(String requestId) {
        RequestExchange exchange = exchanges.get(requestId);
        if (exchange != null) {
            fail(exchange);
        }
    }

    private void fail(RequestExchange exchange) {
        if (!exchange.isCompleted()) {
            statistics.requestFailed();
            complete(exchange);
            exchange.responseHandler().onFailed();
        }
    }

    /** Attempts that still wait for a connection are withdrawn: no endpoint has to run them any more. */
    private void complete(RequestExchange exchange) {
        exchange.complete();
        logIfLate(exchange);
        pendingResponses.remove(exchange);
        exchange.attempts().forEach(UpstreamCall::withdraw);
        removeIfSettled(exchange);
    }

    private void logIfLate(RequestExchange exchange) {
        long nowMicros = clock.nowMicros();
        boolean late = nowMicros - exchange.deadlineMicros() > LATE_RESPONSE_LOG_MICROS;
        // A pipelined request may be past its deadline before it is dispatched: no fault of this program.
        if (late && exchange.dispatchedMicros() < exchange.deadlineMicros()) {
            SidecarLog.info(exchange.describeLateResponse(nowMicros));
        }
    }

    private void removeIfSettled(RequestExchange exchange) {
        if (exchange.isSettled()) {
            exchanges.remove(exchange.requestId());
        }
    }
}
