package loadbalancer.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpVersion;
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
import loadbalancer.proxy.protocol.HeaderNames;
import loadbalancer.proxy.upstream.UpstreamCall;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;

/** The requests held: each is told to the module, carried through its attempts and answered exactly once. */
public final class RequestDispatcher {
    /** The module answers at the deadline, when attempts time out; what it has not by then is answered here. */
    private static final long OVERDUE_US = 2_000;

    /** An answer so long after its time is a fault to be looked into, here or of the machine. */
    private static final long LATE_US = 100_000;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final LoadBalancerExecutor decisions;
    private final UpstreamConnectionPool upstreams;
    private int maxAttempts;
    private final TrafficStatistics totals;
    private final Map<String, RequestExchange> open = new HashMap<>();
    /** Those without their answer, the earliest deadline first. */
    private final TreeSet<RequestExchange> unanswered = new TreeSet<>(
            Comparator.comparingLong((RequestExchange x) -> x.deadlineUs).thenComparing(x -> x.request.id()));
    /** When the first of them is overdue, at the latest. Null where none is waited for. */
    private Future<?> nextLook;

    public RequestDispatcher(
            EventLoop loop,
            MonotonicClock clock,
            LoadBalancerExecutor decisions,
            UpstreamConnectionPool upstreams,
            int maxAttempts,
            TrafficStatistics totals) {
        this.loop = loop;
        this.clock = clock;
        this.decisions = decisions;
        this.upstreams = upstreams;
        this.maxAttempts = maxAttempts;
        this.totals = totals;
    }

    public void updateMaxAttempts(int attempts) {
        maxAttempts = attempts;
    }

    boolean knows(String id) {
        return open.containsKey(id);
    }

    /** How many are held: without their answer, or with an attempt still out. */
    public int openRequests() {
        return open.size();
    }

    /** What is owed already goes out before; one whose own time is up is answered at once, and the module not told. */
    void take(RequestExchange x) {
        answerOverdue();
        x.takenUs = clock.nowMicros();
        totals.requestAccepted(x.request.requestClass());
        if (x.takenUs >= x.deadlineUs) {
            x.over = true;
            totals.requestFailed();
            x.answer.failed();
            return;
        }
        open.put(x.request.id(), x);
        unanswered.add(x);
        if (unanswered.first() == x) {
            lookAt(x.deadlineUs + OVERDUE_US);
        }
        decisions.submit("a request", m -> m.onRequest(clock.nowMicros(), x.request), () -> fail(x));
    }

    /** The client has left: nothing is owed any more, and what an upstream already has ends by itself. */
    void left(RequestExchange x) {
        if (!x.over) {
            totals.clientDisconnected();
            finish(x);
            expired(x);
        }
    }

    /**
     * Answers what should have been answered by now, oldest deadline first. In a loop that was late this comes before
     * anything else that waits: a short answer may still be in time where one behind a hundred requests is not.
     */
    void answerOverdue() {
        long now = clock.nowMicros();
        while (!unanswered.isEmpty() && unanswered.first().deadlineUs + OVERDUE_US <= now) {
            overdue(unanswered.pollFirst());
        }
    }

    private void lookAt(long timeUs) {
        if (nextLook != null) {
            nextLook.cancel(false);
        }
        nextLook = loop.schedule(this::look, timeUs - clock.nowMicros(), TimeUnit.MICROSECONDS);
    }

    private void look() {
        nextLook = null;
        FaultBarrier.run("an overdue answer", this::answerOverdue);
        if (!unanswered.isEmpty()) {
            lookAt(unanswered.first().deadlineUs + OVERDUE_US);
        }
    }

    private void overdue(RequestExchange x) {
        if (!x.over) {
            fail(x);
            expired(x);
        }
    }

    private void expired(RequestExchange x) {
        decisions.submit("a client that left", m -> m.onRequestExpired(clock.nowMicros(), x.request.id()), () -> {});
    }

    /** After a call that broke off: what the module held may be forgotten, so it is answered now. */
    public void failHeld() {
        for (RequestExchange x : List.copyOf(open.values())) {
            if (x.noneOut()) {
                overdue(x);
            }
        }
    }

    public void sendAttempt(String id, String upstream, long untilUs) {
        RequestExchange x = open.get(id);
        if (x == null) {
            return;
        }
        int number = x.attempts.size();
        long until = untilUs <= 0 ? x.deadlineUs : Math.min(untilUs, x.deadlineUs);
        boolean moot = x.over || number >= maxAttempts || until <= clock.nowMicros();
        UpstreamCall call = UpstreamCall.attempt(
                upstream,
                until,
                left -> message(x, left),
                (c, outcome, report, body) -> ended(x, number, c, outcome, report, body));
        if (number == 0) {
            totals.firstAttemptStarted(clock.nowMicros() - x.takenUs);
        }
        x.attempts.add(call);
        if (moot) {
            call.endUnsent(clock.nowMicros());
        } else {
            upstreams.startCall(call);
        }
    }

    private static FullHttpRequest message(RequestExchange x, long leftUs) {
        FullHttpRequest message =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, x.method, x.uri, Unpooled.wrappedBuffer(x.body));
        message.headers()
                .set(HeaderNames.REQUEST_ID, x.request.id())
                .set(HeaderNames.REMAINING_MILLIS, Math.max(1, leftUs / 1000));
        if (x.idempotencyKey != null) {
            message.headers().set(HeaderNames.IDEMPOTENCY_KEY, x.idempotencyKey);
        }
        return message;
    }

    private void ended(
            RequestExchange x, int number, UpstreamCall call, AttemptOutcome outcome, LoadReport report, ByteBuf body) {
        call.noteEnd(clock.nowMicros());
        totals.attemptCompleted(outcome);
        if (outcome == AttemptOutcome.OK && !x.over) {
            totals.requestServed(x.request.requestClass());
            finish(x);
            x.answer.served(body.retain());
        }
        forgetIfSettled(x);
        long now = clock.nowMicros();
        decisions.submit(
                "an outcome",
                m -> m.onAttemptOutcome(
                        now,
                        new AttemptResult(
                                x.request.id(),
                                number,
                                call.endpoint(),
                                outcome,
                                now - call.sentMicros(),
                                x.over,
                                report)),
                () -> failUnlessOut(x));
    }

    private void failUnlessOut(RequestExchange x) {
        if (x.noneOut()) {
            fail(x);
        }
    }

    public void reject(String id, long retryAfterUs) {
        RequestExchange x = open.get(id);
        if (x != null && !x.over) {
            totals.requestRejected(x.request.requestClass());
            finish(x);
            x.answer.refused(retryAfterUs);
        }
    }

    public void fail(String id) {
        if (open.containsKey(id)) {
            fail(open.get(id));
        }
    }

    private void fail(RequestExchange x) {
        if (!x.over) {
            totals.requestFailed();
            finish(x);
            x.answer.failed();
        }
    }

    public void cancelAttempt(String id, int attempt) {
        RequestExchange x = open.get(id);
        if (x != null && attempt >= 0 && attempt < x.attempts.size()) {
            x.attempts.get(attempt).cancel();
        }
    }

    /** An attempt whose connection is still coming up would be sent on for nobody, as late as that takes. */
    private void finish(RequestExchange x) {
        x.over = true;
        long now = clock.nowMicros();
        // One whose time was up behind others of its connection, sent ahead, was late before it was taken.
        if (now - x.deadlineUs > LATE_US && x.takenUs < x.deadlineUs) {
            SidecarLog.info(x.story(now));
        }
        unanswered.remove(x);
        x.attempts.forEach(UpstreamCall::withdraw);
        forgetIfSettled(x);
    }

    private void forgetIfSettled(RequestExchange x) {
        if (x.settled()) {
            open.remove(x.request.id());
        }
    }
}
