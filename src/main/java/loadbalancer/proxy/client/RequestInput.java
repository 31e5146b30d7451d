package loadbalancer.proxy.client;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.function.BooleanSupplier;
import loadbalancer.proxy.memory.ContentAccumulator;
import loadbalancer.proxy.protocol.ProtocolConstants;

/**
 * The handlers of one connection that turn received bytes into requests. They hold the parts of the request that is
 * being received. Confined to the event loop.
 */
final class RequestInput {
    private final RequestDecoder decoder = new RequestDecoder();
    private final ContentAccumulator body = new ContentAccumulator(ProtocolConstants.MAX_REQUEST_BODY_BYTES);
    private final RequestAggregator aggregator;
    private boolean discarded;

    /** {@code responsePending} returns whether a response to an earlier request is pending. */
    RequestInput(BooleanSupplier responsePending) {
        aggregator = new RequestAggregator(responsePending);
    }

    /** Adds the handlers of a connection, which itself receives the requests. */
    void addHandlers(ChannelPipeline pipeline, ClientConnection connection) {
        pipeline.addLast(
                new ReceivedBytesHandler(connection, decoder),
                decoder,
                new HttpResponseEncoder(),
                body,
                aggregator,
                connection);
    }

    /** Returns the status of the response to input that the handlers can't decode. */
    static HttpResponseStatus errorStatus(CodecException cause) {
        return cause instanceof TooLongFrameException
                ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    /** Returns the estimated memory of the incomplete request. */
    long heldBytes() {
        return discarded ? 0 : decoder.undecodedBytes() + decoder.headBytes() + body.heldBytes();
    }

    /**
     * Releases the incomplete request and decodes no further one. Must not be called from within the handlers, and only
     * after the connection has stopped accepting requests.
     */
    void discard(ChannelPipeline pipeline) {
        discarded = true;
        for (ChannelHandler handler : List.of(decoder, body, aggregator)) {
            if (pipeline.context(handler) != null) {
                pipeline.remove(handler);
            }
        }
    }
}
