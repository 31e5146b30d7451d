package loadbalancer.proxy.client;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Limits how many pipelined requests of one connection are handled in a row, so that the event loop serves the other
 * connections in between. Confined to the event loop.
 */
final class RequestTurns {
    private static final int MAX_REQUESTS_PER_TURN = 32;

    private final ScheduledExecutorService eventLoop;
    private final Runnable handleRequests;
    private int requestsInTurn;
    private boolean turnScheduled;

    /** {@code handleRequests} handles the requests that wait. */
    RequestTurns(ScheduledExecutorService eventLoop, Runnable handleRequests) {
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

    /** Handles the waiting requests in the next iteration of the event loop. */
    void schedule() {
        if (!turnScheduled) {
            turnScheduled = true;
            // The loop reads its sockets before it runs the timer, though the timer is due at once.
            eventLoop.schedule(this::startTurn, 1, TimeUnit.NANOSECONDS);
        }
    }

    private void startTurn() {
        turnScheduled = false;
        requestsInTurn = 0;
        handleRequests.run();
    }

    /** Begins a new turn, because everything that was read is handled. */
    void readCompleted() {
        requestsInTurn = 0;
    }
}
