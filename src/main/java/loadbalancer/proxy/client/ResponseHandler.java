package loadbalancer.proxy.client;

import io.netty.buffer.ByteBuf;

/**
 * Receives the final response to one request. Exactly one of the methods is called, once, on the event loop; none is
 * called after the client has disconnected.
 */
interface ResponseHandler {
    /** An endpoint has served the request. The handler owns {@code body} and has to release it. */
    void onServed(ByteBuf body);

    /**
     * The request was rejected and nothing has run; {@code retryAfterMicros} is 0 if no {@code Retry-After} header is
     * to be sent.
     */
    void onRejected(long retryAfterMicros);

    /** The request failed; an attempt may have run. */
    void onFailed();
}
