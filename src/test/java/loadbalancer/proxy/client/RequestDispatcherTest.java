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
import loadbalancer.proxy.upstream.UpstreamConnectionPool;
import loadbalancer.proxy.upstream.UpstreamTimeouts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Events that cross within one turn of the loop, where no connection can come up in between. */
@Timeout(60)
class RequestDispatcherTest {
    private final MonotonicClock clock = new MonotonicClock();
    private final ReadTrackingEventLoop reads = new ReadTrackingEventLoop(clock);
    private final EventLoop loop = reads.eventLoop();
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private RequestDispatcher requests;
    private UpstreamConnectionPool upstreams;

    @BeforeEach
    void start() throws Exception {
        loop.submit(() -> {
                    LoadBalancerExecutor decisions = new LoadBalancerExecutor(clock, new EventLoopMonitor(clock));
                    decisions.start(
                            out -> (LoadBalancer) Proxy.newProxyInstance(
                                    getClass().getClassLoader(),
                                    new Class<?>[] {LoadBalancer.class},
                                    (self, method, arguments) -> {
                                        String outcome = arguments[arguments.length - 1] instanceof AttemptResult result
                                                ? " " + result.requestId() + " " + result.outcome() + " "
                                                        + result.requestDone()
                                                : "";
                                        told.add(method.getName() + outcome);
                                        return null;
                                    }),
                            null);
                    upstreams = new UpstreamConnectionPool(
                            reads,
                            new UpstreamTimeouts(15_000_000, 2_000_000, 20_000),
                            0,
                            () -> 100,
                            new TrafficStatistics());
                    requests = new RequestDispatcher(loop, clock, decisions, upstreams, 4, new TrafficStatistics());
                })
                .sync();
    }

    @AfterEach
    void end() {
        reads.shutDown();
    }

    private RequestExchange exchange(String id) {
        return new RequestExchange(
                new Request(id, -1, false, false, 0, 20_000_000, "t", "c"),
                HttpMethod.GET,
                "/api",
                null,
                new byte[0],
                clock.nowMicros() + 20_000_000,
                new RequestExchange.Answer() {
                    @Override
                    public void served(ByteBuf body) {
                        told.add("served " + id + " " + body.toString(StandardCharsets.US_ASCII));
                        body.release();
                    }

                    @Override
                    public void refused(long retryAfterUs) {
                        told.add("refused " + id);
                    }

                    @Override
                    public void failed() {
                        told.add("failed " + id);
                    }
                });
    }

    private void await(String line) throws InterruptedException {
        for (String t; (t = told.poll(20, TimeUnit.SECONDS)) != null; ) {
            if (t.equals(line)) {
                return;
            }
        }
        throw new AssertionError("never told: " + line);
    }

    /** Whether its client left or the answer was given: what waits for its connection must not be sent any more. */
    @Test
    void whatWaitsForItsConnectionWhenItsRequestIsOverIsNeverSent() throws Exception {
        try (StubServer up = new StubServer((m, line) -> line.answer("200 OK", "", m.header("X-Txn")))) {
            loop.submit(() -> upstreams.updateEndpoints(EndpointList.parse(JsonObject.parse(
                            SidecarFixture.list(1, true, SidecarFixture.entry("u0", up.address(), "Ready", 0))
                                    .getBytes(StandardCharsets.UTF_8)))))
                    .sync();
            for (String how : new String[] {"left", "refused", "failed"}) {
                loop.execute(() -> {
                    RequestExchange x = exchange(how);
                    requests.take(x);
                    requests.sendAttempt(how, "u0", 0);
                    switch (how) {
                        case "left" -> requests.left(x);
                        case "refused" -> requests.reject(how, 0);
                        default -> requests.fail(how);
                    }
                });
                await("onAttemptOutcome " + how + " NOT_SENT true");
            }
            assertEquals(0, loop.submit(requests::openRequests).get());
            loop.execute(() -> {
                requests.take(exchange("next"));
                requests.sendAttempt("next", "u0", 0);
            });
            await("served next next");
            assertEquals(1, up.messages.size(), "a request was sent on for nobody");
        }
    }

    /** Who looks for a lost request finds its steps under its id. */
    @Test
    void whatIsAnsweredLongAfterItsTimeTellsItsSteps() throws Exception {
        try (StubServer up = new StubServer((m, line) -> line.answer("500 No", "", ""))) {
            loop.submit(() -> upstreams.updateEndpoints(EndpointList.parse(JsonObject.parse(
                            SidecarFixture.list(1, true, SidecarFixture.entry("u0", up.address(), "Ready", 0))
                                    .getBytes(StandardCharsets.UTF_8)))))
                    .sync();
            RequestExchange x = exchange("late");
            loop.execute(() -> {
                requests.take(x);
                requests.sendAttempt("late", "u0", 0);
            });
            await("onAttemptOutcome late ERROR false");
            String story = loop.submit(() -> x.story(x.deadlineUs + 250_000)).get();
            assertTrue(
                    story.matches("late was over 250 ms after its time, \\d+ after it was taken:"
                            + " u0 at \\d+ ERROR at \\d+"),
                    story);
        }
    }
}
