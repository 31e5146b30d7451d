package loadbalancer.proxy.client;

import loadbalancer.proxy.memory.MemoryAccount;

/**
 * Adds up what the requests and responses of one connection hold, and keeps the connection's account up to date.
 * Confined to the event loop.
 */
final class ConnectionMemory {
    private final RequestInput input;
    private final PipelinedRequests pipelinedRequests;
    private final UnsentResponses unsentResponses;
    private final MemoryAccount account;
    /** The memory of the request that is being handled; 0 if there is none. */
    private long handledRequestBytes;

    ConnectionMemory(
            RequestInput input,
            PipelinedRequests pipelinedRequests,
            UnsentResponses unsentResponses,
            MemoryAccount account) {
        this.input = input;
        this.pipelinedRequests = pipelinedRequests;
        this.unsentResponses = unsentResponses;
        this.account = account;
    }

    void requestHandlingStarted(long requestBytes) {
        handledRequestBytes = requestBytes;
    }

    void requestHandlingEnded() {
        handledRequestBytes = 0;
    }

    /** Returns what the requests hold that are not being handled: those received in part and those that wait. */
    long waitingRequestBytes() {
        return input.heldBytes() + pipelinedRequests.sizeBytes();
    }

    /** Updates the account. What a request holds while it is being handled can't be reclaimed. */
    void update() {
        long reclaimableBytes = waitingRequestBytes() + unsentResponses.bytes();
        account.update(handledRequestBytes + reclaimableBytes, reclaimableBytes);
    }

    /** Closes the account, together with the connection. */
    void close() {
        account.close();
    }
}
