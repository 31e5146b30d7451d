package loadbalancer.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.proxy.protocol.HeaderValues;

/**
 * A final response to a client. Owns {@code body} until {@link #toHttpResponse} is called. If {@code retryAfterMicros}
 * is 0, the response has no {@code Retry-After} header.
 */
record ClientResponse(HttpResponseStatus status, ByteBuf body, long retryAfterMicros) {
    private static final long NO_RETRY_AFTER = 0;
    /** Estimated memory of a response without its body. */
    private static final int OVERHEAD_BYTES = 512;

    static ClientResponse served(ByteBuf body) {
        return new ClientResponse(HttpResponseStatus.OK, body, NO_RETRY_AFTER);
    }

    static ClientResponse rejected() {
        return rejected(NO_RETRY_AFTER);
    }

    static ClientResponse rejected(long retryAfterMicros) {
        return new ClientResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, retryAfterMicros);
    }

    static ClientResponse withoutBody(HttpResponseStatus status) {
        return new ClientResponse(status, Unpooled.EMPTY_BUFFER, NO_RETRY_AFTER);
    }

    /** Returns the estimated memory of the response, in bytes. Must be called before {@link #toHttpResponse}. */
    long sizeBytes() {
        return OVERHEAD_BYTES + body.readableBytes();
    }

    /** Creates the message to write, which owns the body from then on. */
    FullHttpResponse toHttpResponse(ConnectionReuse reuse) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        HttpHeaders headers = response.headers();
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (reuse == ConnectionReuse.CLOSE) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (retryAfterMicros > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, HeaderValues.formatSeconds(retryAfterMicros));
        }
        return response;
    }
}
