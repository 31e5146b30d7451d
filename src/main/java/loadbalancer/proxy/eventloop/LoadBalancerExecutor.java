package loadbalancer.proxy.eventloop;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Function;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;

/**
 * Holds the load balancer and makes all calls to it, one after the other. Its actions are deferred until the call has
 * returned, and calls that actions lead to until all actions are done: no call ever re-enters the load balancer. A
 * failure of a call or an action is logged and affects nothing behind it. Used on the event loop only.
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

    /** Creates the load balancer, which may act from its constructor on; {@code executor} carries its actions out. */
    public void start(Function<LoadBalancerActions, LoadBalancer> factory, LoadBalancerActions executor) {
        calls.add(() -> loadBalancer = factory.apply(new DeferredActions(actions, executor)));
        runPending();
    }

    /**
     * Makes a call, at once unless one is being made.
     *
     * @param callName names the call in the log
     * @param onFailure runs in place of the load balancer's actions where the call failed
     */
    public void submit(String callName, Consumer<LoadBalancer> call, Runnable onFailure) {
        calls.add(() -> {
            long startMicros = clock.nowMicros();
            if (!FaultBarrier.run(callName, () -> call.accept(loadBalancer))) {
                actions.add(onFailure);
            }
            monitor.taskFinished(callName, startMicros);
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
            FaultBarrier.run("action", action);
            monitor.taskFinished("action", startMicros);
        }
    }
}
