package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;
import loadbalancer.proxy.eventloop.DecodedParts;
import loadbalancer.proxy.memory.HeadMemory;
import loadbalancer.proxy.protocol.StrictFraming;

/** Decodes responses under the rules of {@link StrictFraming}. Used by one connection, on its event loop. */
final class ResponseDecoder extends HttpResponseDecoder {
    private final HeadMemory headMemory = new HeadMemory();

    ResponseDecoder() {
        super(StrictFraming.decoderConfig());
    }

    /** Returns the memory that received but undecoded bytes hold. */
    long undecodedBytes() {
        return actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
    }

    /** Returns the estimated memory of the head of the response that has not been decoded completely. */
    long headBytes() {
        return headMemory.bytes();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        headMemory.begin();
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> decoded) throws Exception {
        int startIndex = input.readerIndex();
        super.decode(context, input, decoded);
        int parts = headMemory.recordDecodeCall(input.readerIndex() - startIndex, decoded);
        DecodedParts.record(context.channel(), parts);
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

    /**
     * Returns whether bytes have been read that do not belong to a decoded message. They are the start of a response,
     * or data after a response.
     */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }
}
