package loadbalancer.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import loadbalancer.proxy.protocol.StrictFraming;

/**
 * Decodes requests, and rejects those whose framing is ambiguous so that no request can be smuggled in the body of
 * another; see {@link StrictFraming}.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Whether the first line but not the end of a request has been decoded. */
    private boolean withinRequest;

    RequestDecoder() {
        super(StrictFraming.decoderConfig());
    }

    /** Returns whether the first byte but not the last byte of a request has been received. */
    boolean hasPartialRequest() {
        return withinRequest || actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        withinRequest = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> decoded) throws Exception {
        super.decode(context, input, decoded);
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
        return super.splitHeaderName(line, start, length);
    }
}
