package loadbalancer.proxy.upstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import loadbalancer.proxy.protocol.StrictFraming;

/** Decodes responses under the rules of {@link StrictFraming}. Used by one connection, on its event loop. */
final class ResponseDecoder extends HttpResponseDecoder {
    ResponseDecoder() {
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

    /**
     * Returns whether bytes have been read that do not belong to a decoded message. They are the start of a response,
     * or data after a response.
     */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }
}
