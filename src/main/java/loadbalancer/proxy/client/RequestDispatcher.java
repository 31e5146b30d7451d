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
import java.util.function.Consumer;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.AttemptResult;
import loadbalancer.decision.LoadReport;
import loadbalancer.proxy.client.RequestLog.FailureReason;
import loadbalancer.proxy.eventloop.FaultIsolation;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.upstream.UpstreamCall;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;

/**
 * Holds the open requests. Reports each request and the outcome of each attempt to the load balancer, carries out the
 * load balancer's decisions, and gives every request exactly one final response unless its client disconnects first. If
 * the load balancer throws an exception or makes no decision in time, the dispatcher fails the request itself.
 *
 * <p>Confined to the event loop, as are the exchanges that it holds. Methods that take a request id ignore an unknown
 * one, because a decision may arrive after the request has ended.
 */
public final class RequestDispatcher {
    /**
     * Time from a request's deadline until the dispatcher fails the request. Attempts time out at the deadline itself,
     * so the load balancer has this time to decide on the timeout.
     */
    private static final long RESPONSE_GRACE_MICROS = 2_000;

    /**
     * A response that is late by more than this is logged, because it indicates a fault of this program or an
     * overloaded machine.
     */
    private static final long LATE_RESPONSE_LOG_THRESHOLD_MICROS = 100_000;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final LoadBalancerExecutor loadBalancerExecutor;
    private final UpstreamConnectionPool upstreamPool;
    private int maxAttempts;
    private final TrafficStatistics statistics;
    private final RequestLog log = new RequestLog();
    /** The open requests by id: those that are not completed or have an attempt in flight. */
    private final Map<String, RequestExchange> exchanges = new HashMap<>();
    /** The requests that are not completed, ordered by deadline, the earliest first. */
    private final TreeSet<RequestExchange> exchangesByDeadline = new TreeSet<>(
            Comparator.comparingLong(RequestExchange::deadlineMicros).thenComparing(RequestExchange::requestId));
    /** Receives each exchange that has ended. */
    private Consumer<RequestExchange> onEnded = exchange -> {};
    /**
     * The timer that runs {@link #checkDeadlines} when the first request in {@link #exchangesByDeadline} becomes
     * overdue, or earlier; null if none is scheduled.
     */
    private Future<?> deadlineCheck;

    /**
     * Creates a dispatcher without requests.
     *
     * @param loop the event loop on which all methods are called
     * @param maxAttempts the maximum number of attempts of one request; see {@link #updateMaxAttempts}
     */
    public RequestDispatcher(
            EventLoop loop,
            MonotonicClock clock,
            LoadBalancerExecutor loadBalancerExecutor,
            UpstreamConnectionPool upstreamPool,
            int maxAttempts,
            TrafficStatistics statistics) {
        this.loop = loop;
        this.clock = clock;
        this.loadBalancerExecutor = loadBalancerExecutor;
        this.upstreamPool = upstreamPool;
        this.maxAttempts = maxAttempts;
        this.statistics = statistics;
    }

    /**
     * Sets the maximum number of attempts of one request. Attempts beyond it end as {@link AttemptOutcome#NOT_SENT}.
     */
    public void updateMaxAttempts(int attempts) {
        maxAttempts = attempts;
    }

    /** Sets what receives each exchange that has ended. Called before the first request is dispatched. */
    void setEndListener(Consumer<RequestExchange> listener) {
        onEnded = listener;
    }

    /** Returns the number of requests that are not completed or still have an attempt in flight. */
    public int openRequestCount() {
        return exchanges.size();
    }

    /** Returns whether a request with this id is open, in the sense of {@link #openRequestCount}. */
    boolean isOpen(String requestId) {
        return exchanges.containsKey(requestId);
    }

    /**
     * Accepts a new request and reports it to the load balancer. Fails all overdue requests first. If the deadline of
     * the new request has already passed, fails it at once without reporting it.
     */
    void dispatch(RequestExchange exchange) {
        failOverdueRequests();
        exchange.recordDispatch(clock.nowMicros());
        statistics.requestAccepted(exchange.request().requestClassName());
        if (exchange.dispatchedMicros() >= exchange.deadlineMicros()) {
            exchange.markCompleted();
            statistics.requestFailed();
            log.failed(exchange.dispatchedMicros(), exchange, FailureReason.DEADLINE_PASSED);
            exchange.responseHandler().onFailed();
            return;
        }
        exchanges.put(exchange.requestId(), exchange);
        exchangesByDeadline.add(exchange);
        if (exchangesByDeadline.first() == exchange) {
            scheduleDeadlineCheck();
        }
        loadBalancerExecutor.submit(
                "request",
                loadBalancer -> loadBalancer.onRequest(clock.nowMicros(), exchange.request()),
                () -> fail(exchange, FailureReason.DECISION_FAILED));
    }

    /**
     * Completes a request without a response, because its client has disconnected. An attempt that is already written
     * to its endpoint stays in flight until its outcome is known.
     */
    void clientDisconnected(RequestExchange exchange) {
        if (!exchange.isCompleted()) {
            statistics.clientDisconnected();
            complete(exchange);
            reportExpired(exchange);
        }
    }

    /**
     * Fails the requests whose deadline passed at least {@link #RESPONSE_GRACE_MICROS} ago, the earliest deadline
     * first. Called before each new request or connection is handled: if the event loop is late, an error response that
     * is written now may still reach its client in time, but one that is written after a hundred more requests may not.
     */
    void failOverdueRequests() {
        long nowMicros = clock.nowMicros();
        while (!exchangesByDeadline.isEmpty() && overdueAtMicros(exchangesByDeadline.first()) <= nowMicros) {
            failAndReportExpired(exchangesByDeadline.pollFirst(), FailureReason.DEADLINE_PASSED);
        }
    }

    private static long overdueAtMicros(RequestExchange exchange) {
        return exchange.deadlineMicros() + RESPONSE_GRACE_MICROS;
    }

    private void scheduleDeadlineCheck() {
        if (deadlineCheck != null) {
            deadlineCheck.cancel(false);
        }
        long delayMicros = overdueAtMicros(exchangesByDeadline.first()) - clock.nowMicros();
        deadlineCheck = loop.schedule(this::checkDeadlines, delayMicros, TimeUnit.MICROSECONDS);
    }

    private void checkDeadlines() {
        deadlineCheck = null;
        FaultIsolation.run("overdue_responses", this::failOverdueRequests);
        if (!exchangesByDeadline.isEmpty()) {
            scheduleDeadlineCheck();
        }
    }

    /**
     * Fails the open requests that have no attempt in flight. Called after the load balancer has thrown an exception in
     * a timer and may have lost track of these requests.
     */
    public void failRequestsWithoutAttemptInFlight() {
        for (RequestExchange exchange : List.copyOf(exchanges.values())) {
            if (!exchange.hasAttemptInFlight()) {
                failAndReportExpired(exchange, FailureReason.DECISION_FAILED);
            }
        }
    }

    private void failAndReportExpired(RequestExchange exchange, FailureReason reason) {
        if (!exchange.isCompleted()) {
            fail(exchange, reason);
            reportExpired(exchange);
        }
    }

    private void reportExpired(RequestExchange exchange) {
        loadBalancerExecutor.submit(
                "request_expired",
                loadBalancer -> loadBalancer.onRequestExpired(clock.nowMicros(), exchange.requestId()),
                () -> {});
    }

    /**
     * Starts an attempt of a request. The attempt ends at once as {@link AttemptOutcome#NOT_SENT} if its timeout has
     * already passed, the request already has the maximum number of attempts, or the request is completed.
     *
     * @param deadlineMicros when the attempt times out; if it is 0, negative or later than the request's deadline, the
     *     attempt times out at that deadline
     */
    public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {
        RequestExchange exchange = exchanges.get(requestId);
        if (exchange == null) {
            return;
        }
        int attemptNumber = exchange.attempts().size();
        long requestDeadlineMicros = exchange.deadlineMicros();
        long attemptDeadlineMicros =
                deadlineMicros <= 0 ? requestDeadlineMicros : Math.min(deadlineMicros, requestDeadlineMicros);
        boolean maySend =
                !exchange.isCompleted() && attemptNumber < maxAttempts && attemptDeadlineMicros > clock.nowMicros();
        UpstreamCall attempt = createAttempt(exchange, attemptNumber, endpointId, attemptDeadlineMicros);
        if (attemptNumber == 0) {
            statistics.firstAttemptStarted(clock.nowMicros() - exchange.dispatchedMicros());
        } else {
            log.retried(clock.nowMicros(), exchange, endpointId);
        }
        exchange.attempts().add(attempt);
        if (maySend) {
            upstreamPool.startCall(attempt);
        } else {
            attempt.endAsNotSent(clock.nowMicros());
        }
    }

    private UpstreamCall createAttempt(
            RequestExchange exchange, int attemptNumber, String endpointId, long attemptDeadlineMicros) {
        return UpstreamCall.attempt(
                endpointId,
                attemptDeadlineMicros,
                exchange.source()::isInputRead,
                remainingMicros -> exchange.payload().toHttpRequest(exchange.requestId(), remainingMicros),
                (call, outcome, report, body) -> {
                    attemptEnded(exchange, call, outcome, body);
                    reportOutcome(exchange, attemptNumber, report);
                });
    }

    /**
     * Completes the request if the outcome is {@link AttemptOutcome#OK}. {@code body} is owned by the caller, and null
     * for any other outcome.
     */
    private void attemptEnded(RequestExchange exchange, UpstreamCall attempt, AttemptOutcome outcome, ByteBuf body) {
        attempt.recordEndTime(clock.nowMicros());
        statistics.attemptCompleted(outcome);
        if (outcome == AttemptOutcome.OK && !exchange.isCompleted()) {
            statistics.requestServed(exchange.request().requestClassName());
            complete(exchange);
            exchange.responseHandler().onServed(body.retain());
        }
        removeIfEnded(exchange);
    }

    private void reportOutcome(RequestExchange exchange, int attemptNumber, LoadReport report) {
        long nowMicros = clock.nowMicros();
        UpstreamCall attempt = exchange.attempts().get(attemptNumber);
        loadBalancerExecutor.submit(
                "attempt_outcome",
                loadBalancer -> loadBalancer.onAttemptOutcome(
                        nowMicros,
                        new AttemptResult(
                                exchange.requestId(),
                                attemptNumber,
                                attempt.endpointId(),
                                attempt.outcome(),
                                nowMicros - attempt.startedMicros(),
                                exchange.isCompleted(),
                                report)),
                () -> failIfNoAttemptInFlight(exchange));
    }

    private void failIfNoAttemptInFlight(RequestExchange exchange) {
        if (!exchange.hasAttemptInFlight()) {
            fail(exchange, FailureReason.DECISION_FAILED);
        }
    }

    /** Cancels one attempt of a request. Has no effect if there is no attempt with that number or it has ended. */
    public void cancelAttempt(String requestId, int attemptNumber) {
        RequestExchange exchange = exchanges.get(requestId);
        if (exchange != null
                && attemptNumber >= 0
                && attemptNumber < exchange.attempts().size()) {
            exchange.attempts().get(attemptNumber).cancel();
        }
    }

    /** Rejects a request. If {@code retryAfterMicros} is 0, the response has no {@code Retry-After} header. */
    public void reject(String requestId, long retryAfterMicros) {
        RequestExchange exchange = exchanges.get(requestId);
        if (exchange != null && !exchange.isCompleted()) {
            statistics.requestRejected(exchange.request().requestClassName());
            log.rejected(clock.nowMicros(), exchange, upstreamPool);
            complete(exchange);
            exchange.responseHandler().onRejected(retryAfterMicros);
        }
    }

    /** Fails a request: its client gets an error response. An endpoint may have executed it. */
    public void fail(String requestId) {
        RequestExchange exchange = exchanges.get(requestId);
        if (exchange != null) {
            fail(exchange, FailureReason.NO_FURTHER_ATTEMPT);
        }
    }

    private void fail(RequestExchange exchange, FailureReason reason) {
        if (!exchange.isCompleted()) {
            statistics.requestFailed();
            log.failed(clock.nowMicros(), exchange, reason);
            complete(exchange);
            exchange.responseHandler().onFailed();
        }
    }

    /**
     * Marks the request as completed and withdraws the attempts that are not written yet, because no endpoint needs to
     * execute them any more.
     */
    private void complete(RequestExchange exchange) {
        exchange.markCompleted();
        logIfLate(exchange);
        exchangesByDeadline.remove(exchange);
        exchange.attempts().forEach(UpstreamCall::withdraw);
        removeIfEnded(exchange);
    }

    private void logIfLate(RequestExchange exchange) {
        long nowMicros = clock.nowMicros();
        boolean late = nowMicros - exchange.deadlineMicros() > LATE_RESPONSE_LOG_THRESHOLD_MICROS;
        // The deadline of a pipelined request may pass before it is dispatched, which is no fault of this program.
        if (late && exchange.dispatchedMicros() < exchange.deadlineMicros()) {
            log.late(nowMicros, exchange);
        }
    }

    private void removeIfEnded(RequestExchange exchange) {
        if (exchange.hasEnded() && exchanges.remove(exchange.requestId()) != null) {
            onEnded.accept(exchange);
        }
    }
}
