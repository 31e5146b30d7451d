package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;
import org.junit.jupiter.api.Test;

class LoadBalancerExecutorTest {
    private final MonotonicClock clock = new MonotonicClock();
    private final LoadBalancerExecutor executor = new LoadBalancerExecutor(clock, new EventLoopMonitor(clock));
    private final List<String> events = new ArrayList<>();
    /** The actions that the executor passes to the load balancer. */
    private LoadBalancerActions actions;

    /** Starts a load balancer whose methods all throw. {@code handler} carries out its actions. */
    private void start(CallHandler handler) {
        executor.start(
                deferred -> {
                    actions = deferred;
                    actions.fail("from the constructor");
                    events.add("created");
                    return stub(LoadBalancer.class, (name, argument) -> {
                        throw new IllegalStateException("thrown by the test");
                    });
                },
                stub(LoadBalancerActions.class, handler));
    }

    private interface CallHandler {
        void handle(String method, Object argument);
    }

    private static <T> T stub(Class<T> type, CallHandler handler) {
        return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (proxy, method, args) -> {
            handler.handle(method.getName(), args[0]);
            return null;
        }));
    }

    @Test
    void carriesOutActionsAfterCallHasReturned() {
        start((name, argument) -> events.add(name + " " + argument));
        executor.submit(
                "call",
                loadBalancer -> {
                    actions.fail("r1");
                    events.add("returning");
                },
                () -> {});
        assertEquals(List.of("created", "fail from the constructor", "returning", "fail r1"), events);
    }

    @Test
    void makesCallSubmittedByActionAfterRemainingActions() {
        start((name, argument) -> {
            events.add(name + " " + argument);
            if (argument.equals("r1")) {
                executor.submit("nested", loadBalancer -> events.add("nested call"), () -> {});
            }
        });
        events.clear();
        executor.submit(
                "call",
                loadBalancer -> {
                    actions.fail("r1");
                    actions.fail("r2");
                },
                () -> {});
        assertEquals(List.of("fail r1", "fail r2", "nested call"), events);
    }

    @Test
    void reportsFailedCallAndMakesNextCall() {
        start((name, argument) -> {});
        events.clear();
        executor.submit("failing", loadBalancer -> loadBalancer.onTimer(0, "t"), () -> events.add("failed"));
        executor.submit("next", loadBalancer -> events.add("next call"), () -> events.add("failed too"));
        assertEquals(List.of("failed", "next call"), events);
    }

    @Test
    void carriesOutNextActionAfterFailedAction() {
        start((name, argument) -> {
            if (argument.equals("r1")) {
                throw new IllegalStateException("thrown by the test");
            }
            events.add(name + " " + argument);
        });
        events.clear();
        executor.submit(
                "call",
                loadBalancer -> {
                    actions.fail("r1");
                    actions.fail("r2");
                },
                () -> {});
        assertEquals(List.of("fail r2"), events);
    }
}
