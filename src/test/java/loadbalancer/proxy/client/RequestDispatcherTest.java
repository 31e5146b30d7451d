package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.AttemptResult;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.Request;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.protocol.JsonObject;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import loadbalancer.proxy.testing.TestMemory;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;
import loadbalancer.proxy.upstream.UpstreamTimeouts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Checks the withdrawal of attempts whose request is completed in the same iteration of the event loop, in which no
 * connection can be established, and the log line of a late response.
 */
@Timeout(60)
class RequestDispatcherTest {
    private final MonotonicClock clock = new MonotonicClock();
    private final ReadTrackingEventLoop eventLoop = new ReadTrackingEventLoop(clock);
    private final EventLoop loop = eventLoop.nettyEventLoop();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private RequestDispatcher dispatcher;
    private UpstreamConnectionPool upstreamPool;

    @BeforeEach
    void createDispatcher() throws Exception {
        loop.submit(() -> {
                    LoadBalancerExecutor loadBalancerExecutor =
                            new LoadBalancerExecutor(clock, new EventLoopMonitor(clock));
                    loadBalancerExecutor.start(actions -> recordingLoadBalancer(), null);
                    upstreamPool = new UpstreamConnectionPool(
                            eventLoop,
                            new UpstreamTimeouts(15_000_000, 2_000_000, 20_000),
                            0,
                            () -> 100,
                            new TrafficStatistics(),
                            TestMemory.unlimited());
                    dispatcher = new RequestDispatcher(
                            loop, clock, loadBalancerExecutor, upstreamPool, 4, new TrafficStatistics());
                })
                .sync();
    }

    @AfterEach
    void shutDownEventLoop() {
        eventLoop.shutDown();
    }

    /**
     * Creates a load balancer that does nothing but record each call: the name of the method and the result of an
     * attempt, if there is one.
     */
    private LoadBalancer recordingLoadBalancer() {
        return (LoadBalancer) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {LoadBalancer.class}, (self, method, arguments) -> {
                    events.add(method.getName() + describeResult(arguments[arguments.length - 1]));
                    return null;
                });
    }

    private static String describeResult(Object argument) {
        return argument instanceof AttemptResult result
                ? " " + result.requestId() + " " + result.outcome() + " " + result.requestFinished()
                : "";
    }

    private RequestExchange exchange(String id) {
        return new RequestExchange(
                new Request(id, Request.NO_ROUTING_KEY, false, false, 0, 20_000_000, "t", "c"),
                new RequestPayload(HttpMethod.GET, "/api", null, new byte[0]),
                clock.nowMicros() + 20_000_000,
                source,
                new ResponseHandler() {
                    @Override
                    public void onServed(ByteBuf body) {
                        events.add("served " + id + " " + body.toString(StandardCharsets.US_ASCII));
                        body.release();
                    }

                    @Override
                    public void onRejected(long retryAfterMicros) {
                        events.add("rejected " + id);
                    }

                    @Override
                    public void onFailed() {
                        events.add("failed " + id);
                    }
                });
    }

    private final RequestSource source = new RequestSource() {
        @Override
        public boolean isInputRead() {
            return true;
        }

        @Override
        public RecentRequestIds.Share recentIds() {
            return new RecentRequestIds.Share();
        }
    };

    private void awaitEvent(String expected) throws InterruptedException {
        for (String event; (event = events.poll(20, TimeUnit.SECONDS)) != null; ) {
            if (event.equals(expected)) {
                return;
            }
        }
        throw new AssertionError("no event: " + expected);
    }

    private void setEndpoint(String id, StubServer server) throws Exception {
        String list =
                SidecarFixture.endpointListJson(1, true, SidecarFixture.endpointJson(id, server.address(), "Ready", 0));
        loop.submit(() -> upstreamPool.updateEndpoints(
                        EndpointList.parse(JsonObject.parse(list.getBytes(StandardCharsets.UTF_8)))))
                .sync();
    }

    /**
     * An attempt that waits for its connection is not sent once its request is completed, whether by the client's
     * disconnection, a rejection or a failure.
     */
    @Test
    void withdrawsWaitingAttemptOfCompletedRequest() throws Exception {
        try (StubServer server =
                new StubServer((request, connection) -> connection.respond("200 OK", "", request.header("X-Txn")))) {
            setEndpoint("u0", server);
            for (String completion : new String[] {"disconnected", "rejected", "failed"}) {
                loop.execute(() -> {
                    RequestExchange exchange = exchange(completion);
                    dispatcher.dispatch(exchange);
                    dispatcher.sendAttempt(completion, "u0", 0);
                    switch (completion) {
                        case "disconnected" -> dispatcher.clientDisconnected(exchange);
                        case "rejected" -> dispatcher.reject(completion, 0);
                        default -> dispatcher.fail(completion);
                    }
                });
                awaitEvent("onAttemptOutcome " + completion + " NOT_SENT true");
            }
            assertEquals(0, loop.submit(dispatcher::openRequestCount).get());
            loop.execute(() -> {
                dispatcher.dispatch(exchange("next"));
                dispatcher.sendAttempt("next", "u0", 0);
            });
            awaitEvent("served next next");
            assertEquals(1, server.receivedRequests.size(), "an attempt of a completed request was sent");
        }
    }

    /**
     * The line has the id of the request and all of its attempts, so that the log shows the cause of a late response.
     */
    @Test
    void listsAttemptsInLogLineOfLateResponse() throws Exception {
        try (StubServer server = new StubServer((request, connection) -> connection.respond("500 No", "", ""))) {
            setEndpoint("u0", server);
            RequestExchange exchange = exchange("late");
            loop.execute(() -> {
                dispatcher.dispatch(exchange);
                dispatcher.sendAttempt("late", "u0", 0);
            });
            awaitEvent("onAttemptOutcome late ERROR false");
            String line = loop.submit(() -> exchange.describeLateResponse(exchange.deadlineMicros() + 250_000))
                    .get();
            assertTrue(
                    line.matches("response_late request=late late_millis=250 elapsed_millis=\\d+ attempts=1"
                            + " attempt=0 endpoint=u0 started_millis=\\d+ outcome=ERROR ended_millis=\\d+"),
                    line);
        }
    }
}
