package loadbalancer.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.List;
import java.util.function.BooleanSupplier;
import loadbalancer.proxy.protocol.ProtocolConstants;

/**
 * Aggregates requests with bodies of up to {@link ProtocolConstants#MAX_REQUEST_BODY_BYTES}. Writes status 100
 * (continue) to a client that expects it, and status 417 (expectation failed) to one with an unknown expectation, whose
 * request is dropped. Writes neither while a response to an earlier request is pending, because it would be sent before
 * that response. For a request that can't be aggregated, an exception is passed along the pipeline:
 * {@link TooLongFrameException} or {@link CorruptedFrameException}.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private final BooleanSupplier responsePending;

    RequestAggregator(BooleanSupplier responsePending) {
        super(ProtocolConstants.MAX_REQUEST_BODY_BYTES);
        this.responsePending = responsePending;
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        boolean allowed = !responsePending.getAsBoolean() && !isContentLengthInvalid(start, maxContentLength);
        return allowed ? super.newContinueResponse(start, maxContentLength, pipeline) : null;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
        if (!start.decoderResult().isSuccess() || !hasKnownEnd(start)) {
            content.release();
            throw new CorruptedFrameException(
                    "expected a valid request head with no transfer encoding or only chunked");
        }
        return super.beginAggregation(start, content);
    }

    /**
     * Returns whether the request has no transfer encoding or only {@code chunked}. With any other it is ambiguous
     * whether the next bytes are the body or another request.
     */
    private static boolean hasKnownEnd(HttpMessage start) {
        List<String> encodings = start.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return encodings.isEmpty()
                || encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        throw new TooLongFrameException(
                "request body exceeds the maximum of " + ProtocolConstants.MAX_REQUEST_BODY_BYTES + " bytes");
    }
}
