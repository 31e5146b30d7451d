package loadbalancer.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import loadbalancer.proxy.eventloop.DecodedParts;
import loadbalancer.proxy.memory.HeadMemory;
import loadbalancer.proxy.protocol.ProtocolConstants;
import loadbalancer.proxy.protocol.StrictFraming;

/**
 * Decodes requests, and rejects those whose framing is ambiguous so that no request can be smuggled in the body of
 * another; see {@link StrictFraming}.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MIN_ORDINARY_BYTES_PER_PART = 64;
    private static final int MAX_ORDINARY_PARTS =
            ProtocolConstants.MAX_REQUEST_BODY_BYTES / MIN_ORDINARY_BYTES_PER_PART;

    private final HeadMemory headMemory = new HeadMemory();
    /** Whether the first line but not the end of a request has been decoded. */
    private boolean withinRequest;
    /** Whether the first line of a request has been decoded in the present call. */
    private boolean requestBegun;
    /** How many parts of the request that has not ended have been decoded. */
    private int partsOfRequest;

    RequestDecoder() {
        super(StrictFraming.decoderConfig());
    }

    /** Returns whether the first byte but not the last byte of a request has been received. */
    boolean hasPartialRequest() {
        return withinRequest || actualReadableBytes() > 0;
    }

    /**
     * Returns whether the incomplete request has more parts than a request with the longest body in ordinary pieces.
     */
    boolean hasCostlyRequest() {
        return partsOfRequest > MAX_ORDINARY_PARTS;
    }

    /** Returns the memory that received but undecoded bytes hold. */
    long undecodedBytes() {
        return actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
    }

    /** Returns the estimated memory of the head of the request that has not been decoded completely. */
    long headBytes() {
        return headMemory.bytes();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        withinRequest = true;
        requestBegun = true;
        partsOfRequest = 0;
        headMemory.begin();
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> decoded) throws Exception {
        int startIndex = input.readerIndex();
        super.decode(context, input, decoded);
        int parts = headMemory.recordDecodeCall(input.readerIndex() - startIndex, decoded);
        boolean requestEnded = !decoded.isEmpty() && decoded.get(decoded.size() - 1) instanceof LastHttpContent;
        withinRequest = withinRequest && !requestEnded;
        partsOfRequest = requestEnded ? 0 : partsOfRequest + parts;
        DecodedParts.record(context.channel(), requestBegun ? parts + DecodedParts.PARTS_PER_REQUEST : parts);
        requestBegun = false;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw StrictFraming.contentLengthWithTransferEncoding();
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        StrictFraming.checkHeaderName(line, start, length);
        headMemory.addField();
        return super.splitHeaderName(line, start, length);
    }
}
