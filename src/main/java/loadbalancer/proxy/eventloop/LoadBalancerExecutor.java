package loadbalancer.proxy.eventloop;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Function;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;

/**
 * The module and the one way in and out of it. What the module does during a call is kept until the call has returned:
 * no action re-enters it. An exception, the module's or a handler's, is logged and ends neither the program nor what
 * waits behind it.
 */
public final class LoadBalancerExecutor {
    private final ArrayDeque<Runnable> calls = new ArrayDeque<>();
    private final ArrayDeque<Runnable> actions = new ArrayDeque<>();
    private LoadBalancer module;
    private final MonotonicClock clock;
    private final EventLoopMonitor monitor;
    private boolean running;

    public LoadBalancerExecutor(MonotonicClock clock, EventLoopMonitor monitor) {
        this.clock = clock;
        this.monitor = monitor;
    }

    /** {@code build} makes the module, which may act from its constructor on. */
    public void start(Function<LoadBalancerActions, LoadBalancer> build, LoadBalancerActions executor) {
        calls.add(() -> module = build.apply(later(executor)));
        run();
    }

    /** {@code event} names the call in the log; {@code broken} runs where the module could not take it. */
    public void submit(String event, Consumer<LoadBalancer> call, Runnable broken) {
        calls.add(() -> {
            long begunUs = clock.nowMicros();
            if (!FaultBarrier.run("the module", () -> call.accept(module))) {
                actions.add(broken);
            }
            monitor.taskFinished(event, begunUs);
        });
        if (!running) {
            run();
        }
    }

    private void run() {
        running = true;
        try {
            for (Runnable call; (call = calls.poll()) != null; ) {
                call.run();
                for (Runnable action; (action = actions.poll()) != null; ) {
                    long begunUs = clock.nowMicros();
                    FaultBarrier.run("an action", action);
                    monitor.taskFinished("carrying out a decision", begunUs);
                }
            }
        } finally {
            running = false;
        }
    }

    private LoadBalancerActions later(LoadBalancerActions executor) {
        return new LoadBalancerActions() {
            @Override
            public void sendAttempt(String request, String upstream, long untilUs) {
                actions.add(() -> executor.sendAttempt(request, upstream, untilUs));
            }

            @Override
            public void reject(String request, long retryAfterUs) {
                actions.add(() -> executor.reject(request, retryAfterUs));
            }

            @Override
            public void fail(String request) {
                actions.add(() -> executor.fail(request));
            }

            @Override
            public void cancelAttempt(String request, int attempt) {
                actions.add(() -> executor.cancelAttempt(request, attempt));
            }

            @Override
            public void checkHealth(String upstream) {
                actions.add(() -> executor.checkHealth(upstream));
            }

            @Override
            public void pollEndpoints() {
                actions.add(executor::pollEndpoints);
            }

            @Override
            public void sendGossip(int peer, byte[] message) {
                actions.add(() -> executor.sendGossip(peer, message));
            }

            @Override
            public void closeIdleConnections(String upstream) {
                actions.add(() -> executor.closeIdleConnections(upstream));
            }

            @Override
            public void startTimer(String mark, long delayUs) {
                actions.add(() -> executor.startTimer(mark, delayUs));
            }

            @Override
            public void log(String text) {
                actions.add(() -> executor.log(text));
            }
        };
    }
}
