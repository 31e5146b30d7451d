package loadbalancer.proxy.client;

import io.netty.buffer.ByteBuf;

/**
 * Receives the final response to one request. Exactly one of the methods is called, exactly once, on the event loop. If
 * the client disconnects before that, none is called.
 */
interface ResponseHandler {
    /** Called when an endpoint has served the request. The handler owns {@code body} and has to release it. */
    void onServed(ByteBuf body);

    /**
     * Called when the request was rejected; no endpoint has executed it. If {@code retryAfterMicros} is 0, the response
     * has no {@code Retry-After} header.
     */
    void onRejected(long retryAfterMicros);

    /** Called when the request failed; an endpoint may have executed it. */
    void onFailed();
}
