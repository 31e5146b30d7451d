package loadbalancer.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import loadbalancer.proxy.memory.HeadMemory;
import loadbalancer.proxy.protocol.StrictFraming;

/**
 * Decodes requests, and rejects those whose framing is ambiguous so that no request can be smuggled in the body of
 * another; see {@link StrictFraming}.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private final HeadMemory headMemory = new HeadMemory();
    /** Whether the first line but not the end of a request has been decoded. */
    private boolean withinRequest;

    RequestDecoder() {
        super(StrictFraming.decoderConfig());
    }

    /** Returns whether the first byte but not the last byte of a request has been received. */
    boolean hasPartialRequest() {
        return withinRequest || actualReadableBytes() > 0;
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
        headMemory.begin();
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> decoded) throws Exception {
        int startIndex = input.readerIndex();
        super.decode(context, input, decoded);
        headMemory.recordDecodeCall(input.readerIndex() - startIndex, decoded);
        boolean requestEnded = !decoded.isEmpty() && decoded.get(decoded.size() - 1) instanceof LastHttpContent;
        withinRequest = withinRequest && !requestEnded;
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
