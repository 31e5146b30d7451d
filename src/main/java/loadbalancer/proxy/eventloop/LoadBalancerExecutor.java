package loadbalancer.proxy.eventloop;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Function;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;

/**
 * Holds the load balancer and makes all calls to it, one at a time. The actions that the load balancer requests during
 * a call are carried out after the call has returned; calls that result from these actions are made after the last of
 * them. So the load balancer is never re-entered. If a call or an action throws, the failure is logged and the
 * remaining calls and actions are run. Confined to the event loop.
 */
public final class LoadBalancerExecutor {
    private final ArrayDeque<Runnable> calls = new ArrayDeque<>();
    private final ArrayDeque<Runnable> actions = new ArrayDeque<>();
    private final MonotonicClock clock;
    private final EventLoopMonitor monitor;
    private LoadBalancer loadBalancer;
    private boolean running;

    public LoadBalancerExecutor(MonotonicClock clock, EventLoopMonitor monitor) {
        this.clock = clock;
        this.monitor = monitor;
    }

    /**
     * Creates the load balancer, which may already request actions in its constructor. {@code actionHandler} carries
     * out all of its actions. An exception that {@code factory} throws is passed on to the caller.
     */
    public void start(Function<LoadBalancerActions, LoadBalancer> factory, LoadBalancerActions actionHandler) {
        calls.add(() -> loadBalancer = factory.apply(new DeferredActions(actions, actionHandler)));
        runPending();
    }

    /**
     * Makes a call to the load balancer: at once if none is in progress, otherwise after the current call, its actions
     * and the calls submitted earlier. Must not be called before {@link #start}.
     *
     * @param callName names the call in the log
     * @param onFailure runs if the call throws, after the actions that the call requested before it threw
     */
    public void submit(String callName, Consumer<LoadBalancer> call, Runnable onFailure) {
        calls.add(() -> {
            long startMicros = clock.nowMicros();
            if (!FaultIsolation.run(callName, () -> call.accept(loadBalancer))) {
                actions.add(onFailure);
            }
            monitor.recordFinishedTask(callName, startMicros);
        });
        if (!running) {
            runPending();
        }
    }

    private void runPending() {
        running = true;
        try {
            for (Runnable call; (call = calls.poll()) != null; ) {
                call.run();
                runActions();
            }
        } finally {
            running = false;
        }
    }

    private void runActions() {
        for (Runnable action; (action = actions.poll()) != null; ) {
            long startMicros = clock.nowMicros();
            FaultIsolation.run("action", action);
            monitor.recordFinishedTask("action", startMicros);
        }
    }
}
