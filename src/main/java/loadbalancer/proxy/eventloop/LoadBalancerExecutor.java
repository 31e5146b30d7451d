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
        calls.add(() -> loadBalancer = factory.apply(deferred(executor)));
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

    private LoadBalancerActions deferred(LoadBalancerActions executor) {
        return new LoadBalancerActions() {
            @Override
            public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {
                actions.add(() -> executor.sendAttempt(requestId, endpointId, deadlineMicros));
            }

            @Override
            public void reject(String requestId, long retryAfterMicros) {
                actions.add(() -> executor.reject(requestId, retryAfterMicros));
            }

            @Override
            public void fail(String requestId) {
                actions.add(() -> executor.fail(requestId));
            }

            @Override
            public void cancelAttempt(String requestId, int attempt) {
                actions.add(() -> executor.cancelAttempt(requestId, attempt));
            }

            @Override
            public void checkHealth(String endpointId) {
                actions.add(() -> executor.checkHealth(endpointId));
            }

            @Override
            public void pollEndpoints() {
                actions.add(executor::pollEndpoints);
            }

            @Override
            public void sendGossip(int sidecarIndex, byte[] message) {
                actions.add(() -> executor.sendGossip(sidecarIndex, message));
            }

            @Override
            public void closeIdleConnections(String endpointId) {
                actions.add(() -> executor.closeIdleConnections(endpointId));
            }

            @Override
            public void startTimer(String timerName, long delayMicros) {
                actions.add(() -> executor.startTimer(timerName, delayMicros));
            }

            @Override
            public void log(String text) {
                actions.add(() -> executor.log(text));
            }
        };
    }
}
