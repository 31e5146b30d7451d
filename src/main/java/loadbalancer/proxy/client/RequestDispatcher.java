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
import loadbalancer.proxy.eventloop.FaultIsolation;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.upstream.UpstreamCall;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;

/**
 * Carries requests between clients, the load balancer and the upstream connections: reports each request and each
 * attempt's outcome to the load balancer, carries out its decisions, and gives every request exactly one final
 * response. If the load balancer throws or decides nothing in time, the dispatcher fails the request itself.
 *
 * <p>Confined to the event loop, as are the exchanges that it holds. Unknown request ids are ignored, because a
 * decision may arrive after the request has ended.
 */
public final class RequestDispatcher {
    /**
     * How long after a request's deadline the load balancer may still respond to it. Attempts time out at the deadline
     * itself, so this leaves time to decide on that outcome.
     */
    private static final long RESPONSE_GRACE_MICROS = 2_000;

    /**
     * A response more than this long after its deadline is logged, as it indicates a fault of this program or an
     * overloaded machine.
     */
    private static final long LATE_RESPONSE_LOG_MICROS = 100_000;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final LoadBalancerExecutor loadBalancerExecutor;
    private final UpstreamConnectionPool upstreams;
    private int maxAttempts;
    private final TrafficStatistics statistics;
    /** Requests without a final response or with an attempt in flight, by id. */
    private final Map<String, RequestExchange> exchanges = new HashMap<>();
    /** Requests without a final response, the earliest deadline first. */
    private final TreeSet<RequestExchange> pendingResponses = new TreeSet<>(
            Comparator.comparingLong(RequestExchange::deadlineMicros).thenComparing(RequestExchange::requestId));
    /**
     * The timer that runs {@link #checkDeadlines} when the first pending response becomes overdue, or earlier; null if
     * none is scheduled.
     */
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
            LoadBalancerExecutor loadBalancerExecutor,
            UpstreamConnectionPool upstreams,
            int maxAttempts,
            TrafficStatistics statistics) {
        this.loop = loop;
        this.clock = clock;
        this.loadBalancerExecutor = loadBalancerExecutor;
        this.upstreams = upstreams;
        this.maxAttempts = maxAttempts;
        this.statistics = statistics;
    }

    /** Sets how many attempts a request may have from now on. Further ones end as {@link AttemptOutcome#NOT_SENT}. */
    public void updateMaxAttempts(int attempts) {
        maxAttempts = attempts;
    }

    /** How many requests have no final response yet, or still have an attempt in flight. */
    public int openRequests() {
        return exchanges.size();
    }

    /** Whether a request of this id is among the {@link #openRequests}. */
    boolean isOpen(String requestId) {
        return exchanges.containsKey(requestId);
    }

    /**
     * Takes charge of a new request. Other requests that are overdue are failed first. If the deadline of this one has
     * already passed, it fails at once and the load balancer does not learn of it.
     */
    void dispatch(RequestExchange exchange) {
        failOverdueRequests();
        exchange.dispatchedAt(clock.nowMicros());
        statistics.requestAccepted(exchange.request().requestClassName());
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
        loadBalancerExecutor.submit(
                "request",
                loadBalancer -> loadBalancer.onRequest(clock.nowMicros(), exchange.request()),
                () -> fail(exchange));
    }

    /**
     * Ends a request without a response. An attempt whose request is already written stays in flight until its outcome.
     */
    void clientDisconnected(RequestExchange exchange) {
        if (!exchange.isCompleted()) {
            statistics.clientDisconnected();
            complete(exchange);
            reportExpired(exchange);
        }
    }

    /**
     * Fails the requests whose deadline plus {@link #RESPONSE_GRACE_MICROS} has passed, the earliest deadline first. It
     * is called before each new request and connection is handled: if the event loop is late, a failure written now may
     * still reach its client in time, but not after a hundred more requests.
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
        FaultIsolation.run("overdue_responses", this::failOverdueRequests);
        if (!pendingResponses.isEmpty()) {
            scheduleDeadlineCheck();
        }
    }

    /**
     * Fails the open requests that have no attempt in flight. Called after the load balancer failed in a timer, when it
     * may have lost track of them.
     */
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
        loadBalancerExecutor.submit(
                "request_expired",
                loadBalancer -> loadBalancer.onRequestExpired(clock.nowMicros(), exchange.requestId()),
                () -> {});
    }

    /**
     * Starts an attempt of a request. The attempt ends at once as {@link AttemptOutcome#NOT_SENT} if its time is over,
     * the request has had the maximum of attempts, or the request already has its final response.
     *
     * @param untilMicros when the attempt times out; the request's deadline if this is 0, negative or later than that
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

    /** {@code body} is owned by the caller, and null unless the outcome is {@link AttemptOutcome#OK}. */
    private void attemptEnded(RequestExchange exchange, UpstreamCall attempt, AttemptOutcome outcome, ByteBuf body) {
        attempt.recordEnd(clock.nowMicros());
        statistics.attemptCompleted(outcome);
        if (outcome == AttemptOutcome.OK && !exchange.isCompleted()) {
            statistics.requestServed(exchange.request().requestClassName());
            complete(exchange);
            exchange.responseHandler().onServed(body.retain());
        }
        removeIfSettled(exchange);
    }

    private void reportOutcome(RequestExchange exchange, int number, LoadReport report) {
        long nowMicros = clock.nowMicros();
        UpstreamCall attempt = exchange.attempts().get(number);
        loadBalancerExecutor.submit(
                "attempt_outcome",
                loadBalancer -> loadBalancer.onAttemptOutcome(
                        nowMicros,
                        new AttemptResult(
                                exchange.requestId(),
                                number,
                                attempt.endpointId(),
                                attempt.outcome(),
                                nowMicros - attempt.startedMicros(),
                                exchange.isCompleted(),
                                report)),
                () -> failUnlessInFlight(exchange));
    }

    private void failUnlessInFlight(RequestExchange exchange) {
        if (!exchange.hasAttemptInFlight()) {
            fail(exchange);
        }
    }

    /** Cancels one attempt of a request. Has no effect if there is no attempt of that number or it has ended. */
    public void cancelAttempt(String requestId, int number) {
        RequestExchange exchange = exchanges.get(requestId);
        if (exchange != null && number >= 0 && number < exchange.attempts().size()) {
            exchange.attempts().get(number).cancel();
        }
    }

    /** Rejects a request; {@code retryAfterMicros} is 0 if no {@code Retry-After} header is to be sent. */
    public void reject(String requestId, long retryAfterMicros) {
        RequestExchange exchange = exchanges.get(requestId);
        if (exchange != null && !exchange.isCompleted()) {
            statistics.requestRejected(exchange.request().requestClassName());
            complete(exchange);
            exchange.responseHandler().onRejected(retryAfterMicros);
        }
    }

    /** Gives a request its final response: it has failed, and an attempt may have run. */
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

    /**
     * Marks the request as completed and withdraws the attempts that are not written yet, as no endpoint has to run
     * them any more.
     */
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
        // A pipelined request may be past its deadline before it is dispatched, which is no fault of this program.
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
