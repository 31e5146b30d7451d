package loadbalancer.proxy.client;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import loadbalancer.proxy.protocol.StrictFraming;

/**
 * Decodes requests, and rejects those whose framing is ambiguous so that no request can be smuggled in the body of
 * another; see {@link StrictFraming}.
 */
final class RequestDecoder extends HttpRequestDecoder {
    RequestDecoder() {
        super(StrictFraming.decoderConfig());
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
