package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.AttemptResult;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancingPolicy;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A warm-up serves some requests before the sidecar is ready, and ends when the first request of a client arrives. */
@Timeout(60)
class StartupWarmUpTest {
    @Test
    void servesSomeRequestsThroughLoadBalancerAndSockets() throws Exception {
        AtomicInteger servedAttempts = new AtomicInteger();
        CountDownLatch enoughServed = new CountDownLatch(1);
        LoadBalancerFactory countingFactory = (config, nowMicros, actions) -> {
            LoadBalancer policy = new LoadBalancingPolicy(config.settings(), config.seed(), nowMicros, actions);
            return (LoadBalancer) Proxy.newProxyInstance(
                    LoadBalancer.class.getClassLoader(),
                    new Class<?>[] {LoadBalancer.class},
                    (proxy, method, arguments) -> {
                        if (arguments[arguments.length - 1] instanceof AttemptResult result
                                && result.outcome() == AttemptOutcome.OK
                                && servedAttempts.incrementAndGet() >= 10) {
                            enoughServed.countDown();
                        }
                        return method.invoke(policy, arguments);
                    });
        };
        StartupWarmUp warmUp = new StartupWarmUp(
                SidecarFixture.parseConfiguration("{\"name\":\"n\",\"listen\":\"127.0.0.1:0\","
                        + "\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\",\"known\":"
                        + SidecarFixture.endpointListJson(1, true)
                        + ",\"settings\":"
                        + SidecarFixture.SETTINGS_JSON + "}"),
                countingFactory);
        warmUp.run();
        assertTrue(enoughServed.await(0, TimeUnit.SECONDS), servedAttempts + " were served");
        // The number of requests is limited because the application waits for the end of the warm-up.
        assertTrue(servedAttempts.get() < 20, servedAttempts + " were served");
    }

    @Test
    void servesRequestBeforeReadinessAndThenEndsWarmUp() throws Exception {
        CountDownLatch warmUpCancelled = new CountDownLatch(1);
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint(StubServer.respondingWith("ok"));
            fixture.onRequestDuringWarmUp = warmUpCancelled::countDown;
            fixture.start();
            fixture.awaitEvent("list FULL");
            try (StubServer.Client client = fixture.client()) {
                client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(503, client.readStatus());
                assertEquals(1, warmUpCancelled.getCount());
                client.send(SidecarFixture.idempotentRequest("a1", 20_000));
                assertEquals(200, client.readStatus());
                assertTrue(warmUpCancelled.await(20, TimeUnit.SECONDS));
                fixture.sidecar.warmUpCompleted();
                client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(200, client.readStatus());
            }
        }
    }
}
