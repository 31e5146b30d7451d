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

/** Code that has never run is slow: full traffic must not be what warms it up, and must not wait for it either. */
@Timeout(60)
class StartupWarmUpTest {
    @Test
    void itPlaysRequestsThroughTheModuleAndTheSockets() throws Exception {
        AtomicInteger served = new AtomicInteger();
        CountDownLatch many = new CountDownLatch(1);
        LoadBalancerFactory counting = (config, now, actions) -> {
            LoadBalancer policy = new LoadBalancingPolicy(config.settings(), config.seed(), now, actions);
            return (LoadBalancer) Proxy.newProxyInstance(
                    LoadBalancer.class.getClassLoader(),
                    new Class<?>[] {LoadBalancer.class},
                    (proxy, method, arguments) -> {
                        if (arguments[arguments.length - 1] instanceof AttemptResult result
                                && result.outcome() == AttemptOutcome.OK
                                && served.incrementAndGet() >= 10) {
                            many.countDown();
                        }
                        return method.invoke(policy, arguments);
                    });
        };
        StartupWarmUp warmUp = new StartupWarmUp(
                SidecarFixture.config("{\"name\":\"n\",\"listen\":\"127.0.0.1:0\","
                        + "\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\",\"known\":" + SidecarFixture.list(1, true)
                        + ",\"settings\":"
                        + SidecarFixture.SETTINGS + "}"),
                counting);
        warmUp.run();
        assertTrue(many.await(0, TimeUnit.SECONDS), served + " were served");
        // Nor any longer than it helps: the application waits for its end.
        assertTrue(served.get() < 20, served + " were served");
    }

    @Test
    void untilItIsOverTheSidecarIsNotReadyButARequestIsServedAndEndsIt() throws Exception {
        CountDownLatch interrupted = new CountDownLatch(1);
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.upstream((m, line) -> line.answer("200 OK", "", "ok"));
            fixture.warmUpInterrupt = interrupted::countDown;
            fixture.start();
            fixture.await("list DELTA");
            try (StubServer.Client client = fixture.client()) {
                client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(503, client.status());
                assertEquals(1, interrupted.getCount());
                client.send(SidecarFixture.get("a1", 20_000));
                assertEquals(200, client.status());
                assertTrue(interrupted.await(20, TimeUnit.SECONDS));
                fixture.sidecar.warmUpCompleted();
                client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(200, client.status());
            }
        }
    }
}
