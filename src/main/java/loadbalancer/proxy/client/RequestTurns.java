package loadbalancer.proxy.client;

import java.util.concurrent.Executor;

/**
 * Limits how many pipelined requests of one connection are handled in a row, so that the event loop serves the other
 * connections in between. Confined to the event loop.
 */
final class RequestTurns {
    private static final int MAX_REQUESTS_PER_TURN = 32;

    private final Executor eventLoop;
    private final Runnable handleRequests;
    private int requestsInTurn;
    private boolean turnScheduled;

    /** {@code handleRequests} handles the requests that wait. */
    RequestTurns(Executor eventLoop, Runnable handleRequests) {
        this.eventLoop = eventLoop;
        this.handleRequests = handleRequests;
    }

    /** Counts one request and returns true if it may be handled now; otherwise schedules the next turn. */
    boolean tryTake() {
        if (requestsInTurn >= MAX_REQUESTS_PER_TURN) {
            schedule();
            return false;
        }
        requestsInTurn++;
        return true;
    }

    /** Handles the waiting requests in a later task. */
    void schedule() {
        if (!turnScheduled) {
            turnScheduled = true;
            eventLoop.execute(() -> {
                turnScheduled = false;
                requestsInTurn = 0;
                handleRequests.run();
            });
        }
    }

    /** Begins a new turn, because everything that was read is handled. */
    void readCompleted() {
        requestsInTurn = 0;
    }
}
