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

    /** Whether bytes were read that belong to no decoded message yet: the start of a response, or data after one. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }
}
