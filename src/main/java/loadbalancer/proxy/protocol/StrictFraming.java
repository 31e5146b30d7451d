package loadbalancer.proxy.protocol;

import io.netty.handler.codec.http.HttpDecoderConfig;

/**
 * Checks that the decoders of requests and responses make in addition to Netty's. A message with ambiguous framing is
 * rejected, because another message could be smuggled in its body. Stateless.
 */
public final class StrictFraming {
    private StrictFraming() {}

    /** The configuration of both decoders: lines end with CR LF and nothing else. */
    public static HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig().setStrictLineParsing(true);
    }

    /** Creates the exception for a message with both headers; by default Netty ignores {@code Content-Length} then. */
    public static IllegalArgumentException contentLengthWithTransferEncoding() {
        return new IllegalArgumentException("Content-Length beside Transfer-Encoding");
    }

    /**
     * Checks that a header name is not empty and is directly followed by a colon. Netty also accepts a line without a
     * colon, or with a space before it.
     *
     * @param start the index of the name in {@code line}
     * @param length the length of the name
     * @throws IllegalArgumentException if the name is empty or not followed by a colon
     */
    public static void checkHeaderName(byte[] line, int start, int length) {
        int end = start + length;
        if (length == 0 || end >= line.length || line[end] != ':') {
            throw new IllegalArgumentException("a header line without a name");
        }
    }
}
